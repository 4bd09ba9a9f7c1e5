"""Checks the snapshot model and that ConfigStore never rolls back."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies
from proofs import checker, configuration

from martenquay_core.config import fold, records, snapshot
from martenquay_daemon.configuration import store
from tests import builders

_DEPTH = 8


class ConfigSpecificationTest(testtools.TestCase):
    def test_the_invariant_is_inductive_and_implies_safety(self):
        findings = checker.prove_inductive(
            configuration.ConfigSpecification(),
            configuration.satisfies_invariant,
        )
        for name, found in findings.items():
            self.assertEqual(
                checker.Verdict.HOLDS, found.verdict, f"{name} {found.trace}"
            )

    def test_each_injected_bug_is_found(self):
        for bug in list(configuration.InjectedBug)[1:]:
            buggy = configuration.ConfigSpecification(bug)
            found = checker.search_violation(buggy, _DEPTH)
            self.assertEqual(checker.Verdict.VIOLATED, found.verdict, bug)


_ACTIONS = strategies.lists(
    strategies.sampled_from(
        ["append", "fold", "publish", "take"] * 3 + ["forget", "restart"]
    ),
    min_size=12,
    max_size=40,
)


class StoreTest(testtools.TestCase):
    def test_an_older_snapshot_changes_nothing(self):
        partners = builders.build_partners()
        config_store = store.ConfigStore(
            ["serrana", "lindqvist"], partners.verifier
        )
        log = [_append(partners, offset) for offset in (1, 2)]
        config_store.apply(*log[0])
        older = _publish(partners, config_store)
        config_store.apply(*log[1])
        _take_snapshot(partners, config_store, older)
        self.assertEqual(_fold_log(partners, log, 2), config_store.state)

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=80, database=None
    )
    @hypothesis.given(actions=_ACTIONS)
    def test_the_store_takes_the_specified_steps_and_never_goes_back(
        self, actions
    ):
        partners = builders.build_partners()
        log: list[tuple[int, bytes]] = []
        start = 1
        published = []
        config_store = store.ConfigStore(
            ["serrana", "lindqvist"], partners.verifier
        )
        highest = 0
        for action in actions:
            match action:
                case "append":
                    log.append(_append(partners, len(log) + 1))
                case "forget":
                    start = min(start + 1, len(log) + 1)
                case "fold" if config_store.can_continue(start):
                    for offset, raw in log[config_store.applied.value :][:1]:
                        config_store.apply(offset, raw)
                case "publish":
                    published = _publish(partners, config_store)
                case "take":
                    _take_snapshot(partners, config_store, published)
                case "restart":
                    config_store = store.ConfigStore(
                        ["serrana", "lindqvist"], partners.verifier
                    )
                    highest = 0
            self.assertGreaterEqual(config_store.applied.value, highest)
            highest = config_store.applied.value
            self.assertEqual(
                _fold_log(partners, log, highest), config_store.state
            )


def _append(partners, offset: int) -> tuple[int, bytes]:
    change = builders.build_change(
        name=f"pool-{offset}", change_id=f"change-{offset}"
    )
    return offset, records.encode_change(change, partners.serrana)


def _publish(partners, config_store: store.ConfigStore) -> list[bytes]:
    return [
        chunk
        for signer in (partners.serrana, partners.lindqvist)
        for chunk in snapshot.encode_snapshot(
            config_store.state.partners[signer.partner], signer
        )
    ]


def _take_snapshot(
    partners, config_store: store.ConfigStore, chunks: list[bytes]
) -> None:
    buffer = snapshot.SnapshotBuffer(partners.verifier)
    for chunk in chunks:
        buffer.add(chunk)
    config_store.apply_snapshots(buffer)


def _fold_log(partners, log, end: int) -> fold.ConfigState:
    state = partners.start_state()
    for offset, raw in log[:end]:
        fold.apply_record(state, offset, raw, partners.verifier)
    return state
