"""Every daemon knows of a crash within the contact time, or reads it later."""

from __future__ import annotations

from unittest import mock

import trio

from martenquay_daemon.discovery import contact, keyed_follower
from martenquay_daemon.quarantine import manager, records
from martenquay_standins.ports import log
from tests import clocked
from tests import serving_builders as builders

_TOPIC = builders.TOPICS.strikes
_CRASH = records.Crash("desk", "lookup")
# The shortest that any deployment gives.
_CONTACT_S = 3.0
# As a large fleet reads.
_PACE = keyed_follower.ReadSchedule(wait_s=30.0, pause_s=0.3)


class DeskTest(clocked.ClockedTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = log.MemoryLog()

    def test_a_fleet_of_any_size_knows_within_the_contact_time(self) -> None:
        for size in (2, 25, 195):
            with self.subTest(size=size):
                self.log = log.MemoryLog()
                self.run_clocked(lambda size=size: self._tell_fleet(size))

    async def _tell_fleet(self, size: int) -> None:
        async with trio.open_nursery() as nursery:
            fleet = [self._start(nursery) for _ in range(size)]
            await trio.sleep(1.0)
            for number in range(3):
                finder = fleet[number % size]
                finder.note_crash(
                    "a", finder.find_latest("a"), "runner-1", _CRASH
                )
                await trio.sleep(_CONTACT_S)
            self.assertEqual(
                0, sum(one.find_hold("a") is None for one in fleet)
            )
            nursery.cancel_scope.cancel()

    def test_all_that_start_anew_at_once_know_it(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                before = self._start(nursery)
                self._strike_out(before, "a")
                await trio.sleep(_CONTACT_S)
                nursery.cancel_scope.cancel()
            async with trio.open_nursery() as nursery:
                after = [self._start(nursery) for _ in range(6)]
                await trio.sleep(0.1)
                for one in after:
                    self.assertIsNotNone(one.find_hold("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_a_log_that_was_away_gets_what_was_found_meanwhile(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = self._start(nursery), self._start(nursery)
                await trio.sleep(1.0)
                self.log.faults.is_down = True
                self._strike_out(finder, "a")
                self.assertIsNotNone(finder.find_hold("a"))
                await trio.sleep(20.0)
                self.assertIsNone(other.find_hold("a"))
                self.log.faults.is_down = False
                await trio.sleep(_CONTACT_S)
                self.assertIsNotNone(other.find_hold("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_a_lost_answer_of_the_log_changes_nothing(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = self._start(nursery), self._start(nursery)
                await trio.sleep(1.0)
                self.log.faults.lost_answers = 2
                finder.note_crash("a", 0, "runner-1", _CRASH)
                await trio.sleep(_CONTACT_S)
                self.assertEqual(1, other.find_latest("a"))
                self.assertIsNone(other.find_hold("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_a_log_that_forgets_its_records_keeps_the_strikes(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder = self._start(nursery)
                await trio.sleep(1.0)
                self._strike_out(finder, "a")
                await trio.sleep(1.0)
                self.log.forget(_TOPIC)
                late = self._start(nursery)
                await trio.sleep(1.0)
                self.assertIsNotNone(late.find_hold("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_an_answer_anywhere_frees_the_content_everywhere(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = self._start(nursery), self._start(nursery)
                await trio.sleep(1.0)
                for number in range(2):
                    finder.note_crash("a", number, "runner-1", _CRASH)
                await trio.sleep(1.0)
                other.note_answer("a")
                await trio.sleep(1.0)
                self.assertTrue(finder.is_empty)
                late = self._start(nursery)
                await trio.sleep(1.0)
                self.assertTrue(late.is_empty)
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_an_answer_that_overtakes_its_strike_ends_it_in_the_log(
        self,
    ) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder = self._start(nursery)
                await trio.sleep(1.0)
                self.log.faults.append_s = 0.5
                finder.note_crash("a", 0, "runner-1", _CRASH)
                await trio.sleep(0.1)
                finder.note_answer("a")
                await trio.sleep(_CONTACT_S)
                late = self._start(nursery)
                await trio.sleep(1.0)
                self.assertTrue(late.is_empty)
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_foreign_records_name_no_strike_and_the_others_hold(self) -> None:
        async def scenario() -> None:
            self.log.put(_TOPIC, "a.x.r", b"1")
            self.log.put(_TOPIC, "b", b"\xff")
            self.log.put(_TOPIC, "a.1.r-1", b"\xff")
            async with trio.open_nursery() as nursery:
                reader = self._start(nursery)
                await trio.sleep(1.0)
                self.log.put(_TOPIC, ".2.r-1", b"x")
                self.log.put(_TOPIC, "a.2.r.1", b"x")
                await trio.sleep(1.0)
                self.assertEqual(2, reader.find_latest("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_a_strike_is_told_with_all_that_it_rests_on(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = self._start(nursery), self._start(nursery)
                await trio.sleep(1.0)
                with mock.patch.object(manager, "_LOG") as lines:
                    finder.note_crash("a", 0, "runner-1", _CRASH)
                    await trio.sleep(1.0)
                told = [call.kwargs for call in lines.write.call_args_list]
                self.assertEqual(
                    ["this daemon", "log offset 0"],
                    [line["found_at"] for line in told],
                )
                for line in told:
                    # It names the daemon in each line.
                    self.assertNotIn("source", line)
                    self.assertEqual("a", line["content"])
                self.assertEqual("runner-1", told[0]["runner"])
                self.assertFalse(other.is_empty)
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def _strike_out(
        self, found: manager.QuarantineManager, content: str
    ) -> None:
        for number in range(3):
            found.note_crash(content, number, "runner-1", _CRASH)

    def _start(self, nursery: trio.Nursery) -> manager.QuarantineManager:
        found = manager.create_quarantine_manager(self.log, _TOPIC)
        follower = keyed_follower.KeyedFollower(
            self.log, contact.LogContact(), _TOPIC, found, _PACE
        )
        nursery.start_soon(follower.run)
        nursery.start_soon(found.run)
        return found
