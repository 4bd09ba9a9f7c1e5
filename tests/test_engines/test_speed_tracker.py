"""The tracker learns from watched requests, if the setting asks for it."""

from __future__ import annotations

import trio

from martenquay_daemon.engines import speed_tracker
from tests import clocked
from tests import speed_builders as builders


async def _serve(tracker: speed_tracker.SpeedTracker, **changes) -> None:
    """Serve requests on two engines, the first of which is slow."""
    for _ in range(30):
        await trio.sleep(0.1)
        for runner_id, took_s in (("r-0", 0.21), ("r-1", 0.09)):
            placement = builders.build_placement(runner_id, **changes)
            with tracker.watch(placement, "model", 0) as watch:
                now = trio.current_time()
                tracker.note_first_event(watch, took_s, now)


class SpeedTrackerTest(clocked.ClockedTestCase):
    def test_watched_requests_tell_a_slow_engine_apart(self) -> None:
        async def scenario() -> None:
            tracker = speed_tracker.create_speed_tracker()
            await _serve(tracker)
            self.assertLess(tracker.find_usual("r-0"), 0.85)
            self.assertIn("r-0", tracker.list_own())

        self.run_clocked(scenario)

    def test_with_the_setting_off_all_speeds_are_one(self) -> None:
        async def scenario() -> None:
            tracker = speed_tracker.create_speed_tracker(is_enabled=False)
            await _serve(tracker)
            self.assertEqual(1.0, tracker.find("r-0"))
            self.assertEqual({}, tracker.list_own())

        self.run_clocked(scenario)

    def test_a_wait_for_a_slot_is_no_evidence(self) -> None:
        # It depends on the length of other streams.
        async def scenario() -> None:
            tracker = speed_tracker.create_speed_tracker()
            await _serve(tracker, has_free_slot=False)
            self.assertEqual(1.0, tracker.find("r-0"))

        self.run_clocked(scenario)

    def test_a_request_of_a_former_process_is_no_evidence(self) -> None:
        async def scenario() -> None:
            tracker = speed_tracker.create_speed_tracker()
            for _ in range(20):
                placement = builders.build_placement()
                with tracker.watch(placement, "model", 0) as watch:
                    tracker.forget_runner("r-0")
                    tracker.note_first_event(watch, 5.0, trio.current_time())
            self.assertEqual(1.0, tracker.find("r-0"))

        self.run_clocked(scenario)
