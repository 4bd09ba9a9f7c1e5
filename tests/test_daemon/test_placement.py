"""Requests are placed on the runner with the least expected cost."""

from __future__ import annotations

import random

import testtools
import trio
import trio.testing

from martenquay_core.config import objects, records
from martenquay_core.peers import messages
from martenquay_core.util import blocks
from martenquay_daemon.configuration import store
from martenquay_daemon.limits import ejection
from martenquay_daemon.membership import directory, table
from martenquay_daemon.routing import loads, placement, prefixes
from tests import builders

_PROMPT = " ".join(f"w{number}" for number in range(640))


class PlacerTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def start() -> None:
            self._build()
            scenario()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(start, clock=clock)

    def _build(self) -> None:
        partners = builders.build_partners()
        self.config = store.ConfigStore(
            ["serrana", "lindqvist"], partners.verifier
        )
        share = builders.build_change(
            partner="lindqvist",
            key_partner="lindqvist",
            name="lend",
            kind=objects.Kind.SHARE,
            fields={
                "pool": "model",
                "to": "serrana",
                "serves": "reviews",
                "fraction": 0.25,
            },
        )
        self.config.apply(1, records.encode_change(share, partners.lindqvist))
        self.members = table.MemberTable(builders.build_member(), 5)
        self.runners = directory.RunnerDirectory(self.config, self.members)
        own = [
            builders.build_runner(name=f"own-{n}", zone=f"serra-{'abc'[n % 3]}")
            for n in range(6)
        ]
        lent = [
            builders.build_runner(
                name=f"lent-{n}",
                partner="lindqvist",
                pool="model",
                zone="lakes-a",
            )
            for n in range(4)
        ]
        self.runners.replace_all([*own, *lent])
        self.loads = loads.LoadBook()
        self.index = prefixes.PrefixIndex()
        self.ejector = ejection.Ejector()
        self.placer = placement.Placer(
            "serra-a",
            self.runners,
            self.loads,
            self.index,
            self.ejector,
            random.Random(1),
        )

    def _place(self, **changes):
        fields = {
            "partner": "serrana",
            "pool": "reviews",
            "chain": blocks.chain_blocks(_PROMPT),
            "prompt_tokens": 640,
        }
        return self.placer.place(
            placement.PlacementRequest(**(fields | changes))
        )

    def test_a_runner_that_holds_the_prefix_is_chosen(self):
        def scenario() -> None:
            self.index.note_held("own-4", blocks.chain_blocks(_PROMPT))
            chosen = self._place()
            self.assertEqual("own-4", chosen.runner.name)
            self.assertEqual(640, chosen.chosen.cached_tokens)

        self._run(scenario)

    def test_a_long_queue_outweighs_a_held_prefix(self):
        def scenario() -> None:
            self.index.note_held("own-4", blocks.chain_blocks(_PROMPT))
            self.loads.note_report("own-4", 8, 30)
            self.assertNotEqual("own-4", self._place().runner.name)

        self._run(scenario)

    def test_two_daemons_give_an_unseen_prefix_the_same_home(self):
        def scenario() -> None:
            homes = set()
            for seed in range(20):
                other = placement.Placer(
                    "serra-a",
                    self.runners,
                    loads.LoadBook(),
                    prefixes.PrefixIndex(),
                    self.ejector,
                    random.Random(seed),
                )
                ask = placement.PlacementRequest(
                    "serrana", "reviews", blocks.chain_blocks(_PROMPT), 640
                )
                considered = other.place(ask).considered
                names = [candidate.runner for candidate in considered]
                homes.add(tuple(names[:2]))
            self.assertEqual(1, len(homes))

        self._run(scenario)

    def test_draining_failed_and_ejected_runners_are_not_considered(self):
        def scenario() -> None:
            self.members.merge(messages.RunnerLeaving("own-0"))
            for _ in range(3):
                self.ejector.note_failure("own-1")
            excluded = frozenset({"own-2"})
            for _ in range(50):
                chosen = self._place(excluded=excluded)
                names = {c.runner for c in chosen.considered}
                self.assertEqual(set(), names & {"own-0", "own-1", "own-2"})

        self._run(scenario)

    def test_if_all_runners_are_ejected_all_are_usable(self):
        def scenario() -> None:
            for number in range(6):
                for _ in range(3):
                    self.ejector.note_failure(f"own-{number}")
            # If most of a pool is ejected, no single runner is the cause.
            self.assertEqual(
                6,
                len(self.ejector.filter_usable([f"own-{n}" for n in range(6)])),
            )

        self._run(scenario)

    def test_lent_runners_are_used_only_if_the_own_ones_are_full(self):
        def scenario() -> None:
            for _ in range(30):
                self.assertFalse(self._place().is_borrowed)
            for number in range(6):
                self.loads.note_report(f"own-{number}", 8, 20)
            borrowed = [self._place() for _ in range(30)]
            used = {p.runner.name for p in borrowed if p.is_borrowed}
            # This daemon's share is a quarter of four runners, so one is used.
            self.assertEqual(1, len(used))

        self._run(scenario)

    def test_a_busy_lent_runner_is_not_used(self):
        def scenario() -> None:
            for number in range(6):
                self.loads.note_report(f"own-{number}", 8, 20)
            for number in range(4):
                self.loads.note_report(f"lent-{number}", 5, 0)
            for _ in range(30):
                self.assertFalse(self._place().is_borrowed)

        self._run(scenario)
