"""All daemons learn of a crash in time, also after log outages."""

from __future__ import annotations

from unittest import mock

import trio

from martenquay_daemon.discovery import contact, keyed_follower
from martenquay_daemon.quarantine import manager, records
from martenquay_standins.ports import log
from tests import clocked
from tests import serving_builders as builders

_TOPIC = builders.TOPICS.strikes
_CRASH = records.CrashDetails("desk", "lookup")
# The shortest contact time of any deployment.
_CONTACT_S = 3.0
# The schedule of a large fleet.
_SCHEDULE = keyed_follower.ReadSchedule(wait_s=30.0, pause_s=0.3)


class QuarantineManagerTest(clocked.ClockedTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = log.MemoryLog()

    def test_a_fleet_of_any_size_learns_of_crashes_within_the_contact_time(
        self,
    ) -> None:
        for size in (2, 25, 195):
            with self.subTest(size=size):
                self.log = log.MemoryLog()
                self.run_clocked(lambda size=size: self._check_fleet(size))

    async def _check_fleet(self, size: int) -> None:
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
                0, sum(one.find_quarantine_s("a") is None for one in fleet)
            )
            nursery.cancel_scope.cancel()

    def test_daemons_that_restart_together_read_the_records(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                former = self._start(nursery)
                self._quarantine(former, "a")
                await trio.sleep(_CONTACT_S)
                nursery.cancel_scope.cancel()
            async with trio.open_nursery() as nursery:
                restarted = [self._start(nursery) for _ in range(6)]
                await trio.sleep(0.1)
                for one in restarted:
                    self.assertIsNotNone(one.find_quarantine_s("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_records_are_written_after_a_log_outage(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = self._start(nursery), self._start(nursery)
                await trio.sleep(1.0)
                self.log.faults.is_down = True
                self._quarantine(finder, "a")
                self.assertIsNotNone(finder.find_quarantine_s("a"))
                await trio.sleep(20.0)
                self.assertIsNone(other.find_quarantine_s("a"))
                self.log.faults.is_down = False
                await trio.sleep(_CONTACT_S)
                self.assertIsNotNone(other.find_quarantine_s("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_a_lost_response_of_the_log_adds_no_second_crash(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = self._start(nursery), self._start(nursery)
                await trio.sleep(1.0)
                self.log.faults.lost_answers = 2
                finder.note_crash("a", 0, "runner-1", _CRASH)
                await trio.sleep(_CONTACT_S)
                self.assertEqual(1, other.find_latest("a"))
                self.assertIsNone(other.find_quarantine_s("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_records_survive_a_log_that_drops_its_history(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder = self._start(nursery)
                await trio.sleep(1.0)
                self._quarantine(finder, "a")
                await trio.sleep(1.0)
                self.log.forget(_TOPIC)
                late = self._start(nursery)
                await trio.sleep(1.0)
                self.assertIsNotNone(late.find_quarantine_s("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_an_answer_at_one_daemon_ends_the_quarantine_at_all(self) -> None:
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

    def test_a_part_that_is_answered_elsewhere_keeps_no_crash(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = (self._start(nursery) for _ in range(2))
                other.answered.note(["part-a"])
                for part in ("part-a", "part-b"):
                    for runner in ("runner-1", "runner-2", "runner-3"):
                        latest = finder.find_latest(part)
                        finder.note_crash(part, latest, runner, _CRASH)
                await trio.sleep(_CONTACT_S)
                for one in (finder, other):
                    self.assertIsNone(one.find_quarantine_s("part-a"))
                    self.assertIsNotNone(one.find_quarantine_s("part-b"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_an_answer_during_the_write_removes_the_record_from_the_log(
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

    def test_invalid_records_are_ignored_and_valid_ones_apply(self) -> None:
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

    def test_each_daemon_logs_a_crash_with_its_origin(self) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = self._start(nursery), self._start(nursery)
                await trio.sleep(1.0)
                with mock.patch.object(manager, "_LOG") as lines:
                    finder.note_crash("a", 0, "runner-1", _CRASH)
                    await trio.sleep(1.0)
                fields = [call.kwargs for call in lines.write.call_args_list]
                self.assertEqual(
                    ["this daemon", "log offset 0"],
                    [line["found_at"] for line in fields],
                )
                for line in fields:
                    # The log adds the daemon's name to each line.
                    self.assertNotIn("source", line)
                    self.assertEqual("a", line["content"])
                self.assertEqual("runner-1", fields[0]["runner"])
                self.assertFalse(other.is_empty)
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def _quarantine(
        self, quarantine: manager.QuarantineManager, content: str
    ) -> None:
        for number in range(3):
            quarantine.note_crash(content, number, "runner-1", _CRASH)

    def _start(self, nursery: trio.Nursery) -> manager.QuarantineManager:
        quarantine = manager.create_quarantine_manager(self.log, _TOPIC)
        follower = keyed_follower.KeyedFollower(
            self.log, contact.LogContact(), _TOPIC, quarantine, _SCHEDULE
        )
        nursery.start_soon(follower.run)
        nursery.start_soon(quarantine.run)
        return quarantine

    def test_records_that_a_restored_log_lacks_are_kept_and_written_again(
        self,
    ) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = self._start(nursery), self._start(nursery)
                await trio.sleep(1.0)
                older = self.log.take_copy()
                self._quarantine(finder, "a")
                await trio.sleep(_CONTACT_S)
                self.log.restore(older)
                await trio.sleep(_CONTACT_S)
                self.assertIsNotNone(other.find_quarantine_s("a"))
                restarted = self._start(nursery)
                await trio.sleep(1.0)
                self.assertIsNotNone(restarted.find_quarantine_s("a"))
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_a_removal_that_a_restored_log_lacks_is_written_again(
        self,
    ) -> None:
        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                finder, other = self._start(nursery), self._start(nursery)
                await trio.sleep(1.0)
                self._quarantine(finder, "a")
                await trio.sleep(_CONTACT_S)
                older = self.log.take_copy()
                finder.note_answer("a")
                await trio.sleep(_CONTACT_S)
                self.log.restore(older)
                await trio.sleep(_CONTACT_S)
                self.assertTrue(finder.is_empty)
                self.assertTrue(other.is_empty)
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)
