"""All daemons reach the same verdict on each configuration record."""

from __future__ import annotations

import hypothesis
import msgspec
import testtools
from hypothesis import strategies

from martenquay_core.config import fold, objects, records, snapshot
from tests import builders

_Verdict = fold.Verdict


class FoldTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.partners = builders.build_partners()
        self.state = self.partners.start_state()
        self.offset = 0

    def _apply(self, change: records.Change, signer=None):
        self.offset += 1
        raw = records.encode_change(change, signer or self.partners.serrana)
        return fold.apply_record(
            self.state, self.offset, raw, self.partners.verifier
        )

    def test_a_new_object_is_accepted_and_gets_its_offset_as_version(self):
        judgement = self._apply(builders.build_change())
        self.assertEqual(_Verdict.ACCEPTED, judgement.verdict)
        key = builders.build_change().key
        self.assertEqual(1, self.state.find(key).version)

    def test_a_change_to_an_older_version_is_a_conflict(self):
        self._apply(builders.build_change())
        again = builders.build_change(change_id="change-2")
        self.assertEqual(_Verdict.CONFLICT, self._apply(again).verdict)

    def test_a_repeated_change_id_gets_the_first_verdict_again(self):
        first = self._apply(builders.build_change())
        self._apply(
            builders.build_change(
                change_id="change-2", base_version=1, fields=None
            )
        )
        again = self._apply(builders.build_change())
        self.assertEqual(first, again)
        self.assertIsNone(self.state.find(builders.build_change().key))

    def test_the_other_partners_object_is_forbidden(self):
        change = builders.build_change(key_partner="lindqvist")
        self.assertEqual(_Verdict.FORBIDDEN, self._apply(change).verdict)

    def test_a_record_with_an_invalid_signature_is_ignored(self):
        change = builders.build_change()
        self.assertIsNone(self._apply(change, self.partners.lindqvist))
        self.assertIsNone(self.state.find(change.key))
        self.assertIsNone(
            fold.apply_record(self.state, 9, b"noise", self.partners.verifier)
        )

    def test_a_signature_by_another_partner_is_invalid(self):
        body = msgspec.msgpack.encode(builders.build_change())
        signature = self.partners.lindqvist.key.sign(body)
        forged = records.SignedPayload("serrana", signature, body)
        raw = msgspec.msgpack.encode(forged)
        verifier = self.partners.verifier
        self.assertIsNone(fold.apply_record(self.state, 1, raw, verifier))
        self.assertIsNone(self.state.find(builders.build_change().key))

    def test_an_object_with_an_invalid_field_is_rejected(self):
        change = builders.build_change(fields={"kind": "oven"})
        judgement = self._apply(change)
        self.assertEqual(_Verdict.INVALID, judgement.verdict)
        self.assertIn("kind", judgement.reason)

    def test_an_older_record_never_changes_a_newer_state(self):
        self._apply(builders.build_change())
        raw = records.encode_change(
            builders.build_change(
                change_id="late", base_version=1, fields=None
            ),
            self.partners.serrana,
        )
        verifier = self.partners.verifier
        self.assertIsNone(fold.apply_record(self.state, 1, raw, verifier))
        self.assertIsNotNone(self.state.find(builders.build_change().key))

    def test_a_snapshot_restores_objects_verdicts_and_offset(self):
        self._apply(builders.build_change())
        partner = self.state.partners["serrana"]
        buffer = snapshot.SnapshotBuffer(self.partners.verifier)
        for chunk in snapshot.encode_snapshot(partner, self.partners.serrana):
            buffer.add(chunk)
        restored = buffer.best["serrana"]
        self.assertEqual(partner, restored)
        self.assertEqual(
            fold.digest_partner(partner), fold.digest_partner(restored)
        )

    def test_a_snapshot_of_the_other_partners_state_is_ignored(self):
        buffer = snapshot.SnapshotBuffer(self.partners.verifier)
        partner = self.state.partners["serrana"]
        for chunk in snapshot.encode_snapshot(partner, self.partners.lindqvist):
            buffer.add(chunk)
        self.assertEqual({}, buffer.best)

    def test_a_large_snapshot_is_complete_only_with_all_chunks(self):
        for number in range(1500):
            self._apply(
                builders.build_change(
                    name=f"pool-{number}", change_id=f"change-{number}"
                )
            )
        partner = self.state.partners["serrana"]
        chunks = snapshot.encode_snapshot(partner, self.partners.serrana)
        self.assertGreater(len(chunks), 1)
        buffer = snapshot.SnapshotBuffer(self.partners.verifier)
        for chunk in reversed(chunks[1:]):
            buffer.add(chunk)
        self.assertEqual({}, buffer.best)
        buffer.add(chunks[0])
        self.assertEqual(partner, buffer.best["serrana"])


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["serrana", "lindqvist"]),
        strategies.sampled_from(["serrana", "lindqvist"]),
        strategies.sampled_from(["reviews", "quotes"]),
        strategies.integers(0, 6),
        strategies.integers(0, 4),
        strategies.booleans(),
    ),
    max_size=25,
)


class FoldPropertyTest(testtools.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=60, database=None
    )
    @hypothesis.given(steps=_STEPS, cut=strategies.integers(0, 25))
    def test_folding_on_from_a_snapshot_is_folding_all(self, steps, cut):
        partners = builders.build_partners()
        raws = [_encode(partners, *step) for step in steps]
        whole = partners.start_state()
        for offset, raw in enumerate(raws, 1):
            fold.apply_record(whole, offset, raw, partners.verifier)
        resumed = self._resume(partners, raws, min(cut, len(raws)))
        for name, state in whole.partners.items():
            self.assertEqual(state, resumed.partners[name])

    def _resume(self, partners, raws, cut):
        earlier = partners.start_state()
        for offset, raw in enumerate(raws[:cut], 1):
            fold.apply_record(earlier, offset, raw, partners.verifier)
        buffer = snapshot.SnapshotBuffer(partners.verifier)
        for signer in (partners.serrana, partners.lindqvist):
            state = earlier.partners[signer.partner]
            for chunk in snapshot.encode_snapshot(state, signer):
                buffer.add(chunk)
        resumed = fold.ConfigState(dict(buffer.best))
        # Also replays the records in the snapshot, which must have no effect.
        for offset, raw in enumerate(raws, 1):
            fold.apply_record(resumed, offset, raw, partners.verifier)
        return resumed


def _encode(partners, signer_name, owner, name, base, change, drops):
    signer = getattr(partners, signer_name)
    return records.encode_change(
        builders.build_change(
            partner=signer_name,
            key_partner=owner,
            name=name,
            kind=objects.Kind.POOL,
            base_version=base,
            change_id=f"change-{change}",
            fields=None if drops else {"kind": "model"},
        ),
        signer,
    )
