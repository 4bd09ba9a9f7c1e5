"""Rejected callers return one after the other, while their time lasts."""

from __future__ import annotations

import testtools

from martenquay_daemon.overload import returns


def _schedule(schedule: returns.ReturnSchedule, now: float, **changes) -> float:
    fields = {
        "service": "model",
        "urgency": 1,
        "tokens": 1000,
        "drain_s": 0.2,
        "remaining_s": 12.0,
    }
    return schedule.schedule(**(fields | changes), now=now)


class ReturnScheduleTest(testtools.TestCase):
    def test_callers_return_in_order_and_not_together(self) -> None:
        schedule = returns.ReturnSchedule()
        for number in range(40):
            schedule.note_admitted("model", 1, 1000, number / 10)
        times = [4.0 + _schedule(schedule, 4.0) for _ in range(5)]
        self.assertEqual(times, sorted(times))
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreater(min(gaps), 0.05)

    def test_none_returns_before_the_queue_is_short_enough(self) -> None:
        schedule = returns.ReturnSchedule()
        schedule.note_admitted("model", 1, 100_000, 0.0)
        self.assertGreaterEqual(_schedule(schedule, 0.0, drain_s=0.8), 0.8)

    def test_no_caller_is_asked_to_wait_longer_than_it_will(self) -> None:
        """It would return at a third of its time, earlier than scheduled."""
        schedule = returns.ReturnSchedule()
        waits = [
            _schedule(schedule, 0.1 * number, remaining_s=3.0)
            for number in range(50)
        ]
        self.assertLessEqual(max(waits), 1.0)

    def test_urgencies_have_schedules_of_their_own(self) -> None:
        schedule = returns.ReturnSchedule()
        for urgency in (0, 1):
            schedule.note_admitted("model", urgency, 4000, 0.0)
        for _ in range(20):
            _schedule(schedule, 0.0, urgency=1)
        self.assertLess(_schedule(schedule, 0.0, urgency=0), 1.1)
