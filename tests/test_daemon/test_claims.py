"""Idempotency keys stay claimed after their outcomes leave the memory."""

from __future__ import annotations

import testtools

from martenquay_daemon.claims import records, table
from martenquay_daemon.journal import offset_index
from martenquay_standins import partners
from tests import scenarios


def _apply_call(claims: table.ClaimTable, offset: int, key: str) -> int:
    for record in (
        records.Claim(key, f"a-{key}", "d-1", "x"),
        records.Outcome(key, f"a-{key}", 200, "text/plain", b"ok", "x"),
    ):
        offset += 1
        claims.apply(offset, records.encode(record))
    return offset


class OffsetIndexTest(testtools.TestCase):
    def test_a_record_range_is_found_by_name_until_it_is_removed(self):
        index = offset_index.OffsetIndex()
        for number in range(1, 6):
            index.add(
                f"key-{number}",
                10 * number,
                offset_index.RecordRange(number, 3),
            )
        self.assertEqual(offset_index.RecordRange(4, 3), index.find("key-4"))
        index.forget_before(40)
        self.assertIsNone(index.find("key-3"))
        self.assertEqual(2, len(index))


class ClaimTableTest(testtools.TestCase):
    def test_an_archived_key_is_still_claimed_and_its_outcome_is_found(self):
        claims = table.ClaimTable(full_outcomes=2)
        offset = 0
        for number in range(5):
            offset = _apply_call(claims, offset, f"key-{number}")
        self.assertIsNone(claims.find("key-0"))
        self.assertEqual(
            offset_index.RecordRange(2, 1), claims.find_archived("key-0")
        )
        late = records.Claim("key-0", "another", "d-2", "x")
        claims.apply(offset + 1, records.encode(late))
        self.assertIsNone(claims.find("key-0"))
        self.assertEqual(5, len(claims))

    def test_keys_are_removed_when_the_log_no_longer_retains_them(self):
        claims = table.ClaimTable(full_outcomes=2)
        offset = 0
        for number in range(5):
            offset = _apply_call(claims, offset, f"key-{number}")
        claims.forget_before(offset + 1)
        self.assertEqual(0, len(claims))


class OldOutcomeTest(scenarios.ScenarioTestCase):
    def test_a_repeated_old_booking_is_answered_from_the_log(self):
        async def scenario(scene: scenarios.Scene) -> None:
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            daemons = await scene.start_daemons(
                partners.SERRANA, 2, limits={"full_outcomes": 1}
            )
            first = await scene.caller.book(daemons[0], "slot-1")
            for number in range(2, 30):
                await scene.caller.book(daemons[0], f"slot-{number}")
            again = await scene.caller.book(daemons[1], "slot-1")
            self.assertEqual(first.body, again.body)
            scene.world.log.set_faults({"down": True})
            unread = await scene.caller.book(daemons[1], "slot-1")
            # The call was made, so "not run" would invite the caller to retry.
            self.assertEqual(4001, unread.code)
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)
