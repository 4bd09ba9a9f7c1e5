"""A runner's end is known from its entry, or assumed from its answers."""

from __future__ import annotations

import testtools
import trio
import trio.testing

from martenquay_core.serving import ports
from martenquay_daemon.discovery import contact, runner_directory
from martenquay_daemon.migration import departures
from tests import serving_builders as builders

_DRAIN_S = 3.0


class DeparturesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.records = builders.FakeRecords()
        self.directory = runner_directory.RunnerDirectory(
            self.records, contact.LogContact()
        )
        self.departures = departures.Departures(self.directory, _DRAIN_S)
        self.runner = builders.build_runner(born_ms=1000)
        self.offset = 0

    def play(self, scenario) -> None:
        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))

    def put(self, **changes) -> None:
        """Apply an entry of the runner."""
        self.offset += 1
        value = b"entry %d" % self.offset
        self.records.runners[value] = builders.build_runner(
            **({"born_ms": 1000} | changes)
        )
        self.directory.apply_change(
            ports.KeyedRecord(self.offset, self.runner.id, value)
        )

    def find_time_left(self) -> float | None:
        return self.departures.find_time_left(self.runner)

    def test_a_runner_that_serves_does_not_leave(self) -> None:
        async def scenario() -> None:
            self.put()
            self.assertIsNone(self.find_time_left())

        self.play(scenario)

    def test_a_reported_end_replaces_an_assumed_earlier_one(self) -> None:
        """No stream was moved after the assumed end had passed."""

        async def scenario() -> None:
            self.put(is_leaving=True)
            self.assertAlmostEqual(_DRAIN_S, self.find_time_left())
            await trio.sleep(_DRAIN_S - 1.0)
            self.put()
            self.put(is_leaving=True, leaves_in_s=2.4)
            self.assertAlmostEqual(2.4, self.find_time_left())

        self.play(scenario)

    def test_the_entry_of_a_reclaimed_runner_tells_its_end(self) -> None:
        async def scenario() -> None:
            self.put(is_leaving=True, leaves_in_s=2.4)
            self.assertAlmostEqual(2.4, self.find_time_left())
            await trio.sleep(1.0)
            self.assertAlmostEqual(1.4, self.find_time_left())

        self.play(scenario)

    def test_a_planned_drain_lasts_for_the_drain_bound(self) -> None:
        async def scenario() -> None:
            self.put(is_leaving=True)
            self.assertAlmostEqual(_DRAIN_S, self.find_time_left())
            await trio.sleep(1.0)
            self.assertAlmostEqual(2.0, self.find_time_left())

        self.play(scenario)

    def test_an_answer_tells_the_drain_before_the_entry_does(self) -> None:
        async def scenario() -> None:
            self.put()
            self.directory.leaving.note_answer(self.runner)
            self.assertAlmostEqual(_DRAIN_S, self.find_time_left())
            await trio.sleep(0.5)
            self.put(is_leaving=True, leaves_in_s=2.0)
            self.assertAlmostEqual(2.0, self.find_time_left())

        self.play(scenario)

    def test_a_reclaimable_runner_is_assumed_to_be_reclaimed(self) -> None:
        # Its answer names no time, and waiting for its entry would use it up.
        async def scenario() -> None:
            self.runner = builders.build_runner(
                born_ms=1000, is_reclaimable=True
            )
            self.put(is_reclaimable=True)
            self.directory.leaving.note_answer(self.runner)
            self.assertAlmostEqual(2.4, self.find_time_left())

        self.play(scenario)

    def test_a_later_process_with_the_same_id_does_not_leave(self) -> None:
        async def scenario() -> None:
            self.put(is_leaving=True, leaves_in_s=2.4)
            self.runner = builders.build_runner(born_ms=2000)
            self.put(born_ms=2000)
            self.assertIsNone(self.find_time_left())

        self.play(scenario)

    def test_a_leaving_runner_keeps_its_end_when_its_entry_ends(self) -> None:
        async def scenario() -> None:
            self.put(is_leaving=True, leaves_in_s=2.4)
            self.find_time_left()
            await trio.sleep(1.0)
            self.directory.apply_change(
                ports.KeyedRecord(9, self.runner.id, None)
            )
            self.assertAlmostEqual(1.4, self.find_time_left())

        self.play(scenario)
