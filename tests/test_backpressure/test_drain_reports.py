"""A drain report holds for its process whatever the runner's entry says."""

from __future__ import annotations

import trio

from martenquay_core.serving import ports
from martenquay_daemon.backpressure import drain_reports
from martenquay_daemon.discovery import contact, runner_directory
from tests import clocked
from tests import serving_builders as builders

_RUNNER = builders.build_runner(born_ms=7)


class DrainReportsTest(clocked.ClockedTestCase):
    def test_a_reported_process_drains_until_it_ends(self) -> None:
        async def scenario() -> None:
            reports = drain_reports.DrainReports()
            reports.note_answer(_RUNNER)
            await trio.sleep(600.0)
            self.assertTrue(reports.is_draining(_RUNNER))

        self.run_clocked(scenario)

    def test_the_next_process_is_not_draining(self) -> None:
        async def scenario() -> None:
            reports = drain_reports.DrainReports()
            reports.note_answer(_RUNNER)
            fresh = builders.build_runner(born_ms=8)
            self.assertFalse(reports.is_draining(fresh))
            reports.note_answer(fresh)
            self.assertTrue(reports.is_draining(fresh))
            # Old gossip about the former process changes nothing.
            reports.apply_gossip({_RUNNER.id: 7})
            self.assertTrue(reports.is_draining(fresh))

        self.run_clocked(scenario)

    def test_reports_are_gossiped_for_a_limited_time(self) -> None:
        async def scenario() -> None:
            reports = drain_reports.DrainReports()
            reports.note_answer(_RUNNER)
            other = drain_reports.DrainReports()
            other.apply_gossip(reports.list_recent_reports())
            self.assertTrue(other.is_draining(_RUNNER))
            await trio.sleep(31.0)
            self.assertEqual({}, reports.list_recent_reports())

        self.run_clocked(scenario)

    def test_no_entry_overrides_a_drain_report(self) -> None:
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
            reports = drain_reports.DrainReports()
            for number in range(5000):
                reports.note_answer(builders.build_runner(id=f"r-{number}"))
            self.assertTrue(
                reports.is_draining(builders.build_runner(id="r-4999"))
            )
            self.assertFalse(
                reports.is_draining(builders.build_runner(id="r-0"))
            )
            self.assertEqual(32, len(reports.list_recent_reports()))

        self.run_clocked(scenario)
