"""What a process of a runner has said of its leaving holds for that process."""

from __future__ import annotations

import trio

from martenquay_core.serving import ports
from martenquay_daemon.backpressure import drain_reports
from martenquay_daemon.discovery import contact, runner_directory
from tests import clocked
from tests import serving_builders as builders

_RUNNER = builders.build_runner(born_ms=7)


class LeavingWordsTest(clocked.ClockedTestCase):
    def test_a_process_that_has_said_so_leaves_for_good(self) -> None:
        async def scenario() -> None:
            words = drain_reports.DrainReports()
            words.note_answer(_RUNNER)
            await trio.sleep(600.0)
            self.assertTrue(words.holds(_RUNNER))

        self.run_clocked(scenario)

    def test_the_next_process_does_not_leave(self) -> None:
        async def scenario() -> None:
            words = drain_reports.DrainReports()
            words.note_answer(_RUNNER)
            fresh = builders.build_runner(born_ms=8)
            self.assertFalse(words.holds(fresh))
            words.note_answer(fresh)
            self.assertTrue(words.holds(fresh))
            # An older daemon's news of the process before changes nothing.
            words.apply_gossip({_RUNNER.id: 7})
            self.assertTrue(words.holds(fresh))

        self.run_clocked(scenario)

    def test_others_are_told_for_a_while(self) -> None:
        async def scenario() -> None:
            words = drain_reports.DrainReports()
            words.note_answer(_RUNNER)
            other = drain_reports.DrainReports()
            other.apply_gossip(words.list_recent_reports())
            self.assertTrue(other.holds(_RUNNER))
            await trio.sleep(31.0)
            self.assertEqual({}, words.list_recent_reports())

        self.run_clocked(scenario)

    def test_no_entry_brings_it_back(self) -> None:
        async def scenario() -> None:
            records = builders.FakeRecords()
            directory = runner_directory.RunnerDirectory(
                records, contact.LogContact()
            )
            records.runners[b"ready"] = _RUNNER
            entry = ports.KeyedRecord(4, _RUNNER.id, b"ready")
            directory.apply_change(entry)
            directory.leaving.note_answer(_RUNNER)
            directory.apply_change(ports.KeyedRecord(5, _RUNNER.id, b"ready"))
            self.assertEqual([], directory.list_usable("desk"))
            directory.replace_all(ports.Snapshot((entry,), 6))
            self.assertEqual([], directory.list_usable("desk"))
            directory.apply_change(ports.KeyedRecord(7, _RUNNER.id, None))
            directory.apply_change(ports.KeyedRecord(8, _RUNNER.id, b"ready"))
            self.assertEqual([], directory.list_usable("desk"))

        self.run_clocked(scenario)

    def test_memory_is_bounded(self) -> None:
        async def scenario() -> None:
            words = drain_reports.DrainReports()
            for number in range(5000):
                words.note_answer(builders.build_runner(id=f"r-{number}"))
            self.assertTrue(words.holds(builders.build_runner(id="r-4999")))
            self.assertFalse(words.holds(builders.build_runner(id="r-0")))
            self.assertEqual(32, len(words.list_recent_reports()))

        self.run_clocked(scenario)
