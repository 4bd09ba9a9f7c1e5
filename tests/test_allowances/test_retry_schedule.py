"""Refused callers return in order, and find the units they were told of.

Guards against callers that return together, and against new requests that
spend what a returning caller was told to come for.
"""

from __future__ import annotations

import testtools

from martenquay_daemon.allowances import retry_schedule

_SUPPLY = retry_schedule.QuotaSupply(
    level=0.0, rate=1_000.0, surplus_rate=100.0, window_s=8.0
)


class RetryScheduleTest(testtools.TestCase):
    def test_delays_grow_with_the_units_expected_by_earlier_callers(
        self,
    ) -> None:
        schedule = retry_schedule.RetrySchedule()
        delays = [
            schedule.schedule(0.0, 500.0, _SUPPLY, is_beyond=False)
            for _ in range(3)
        ]
        self.assertEqual([0.5, 1.0, 1.5], delays)
        schedule.note_refilled(1.0, 1_000.0)
        self.assertEqual(
            1.0, schedule.schedule(1.0, 500.0, _SUPPLY, is_beyond=False)
        )

    def test_callers_of_a_greedy_team_wait_for_what_is_beyond_its_entitlement(
        self,
    ) -> None:
        schedule = retry_schedule.RetrySchedule()
        delays = [
            schedule.schedule(0.0, 200.0, _SUPPLY, is_beyond=True)
            for _ in range(5)
        ]
        self.assertEqual([2.0, 4.0, 6.0, 8.0, 8.0], delays)
        # Nothing is kept for the fifth caller, whose units come too late.
        self.assertEqual(800.0, schedule.promised)

    def test_a_smaller_request_returns_after_one_that_was_refused_before(
        self,
    ) -> None:
        schedule = retry_schedule.RetrySchedule()
        first = schedule.schedule(0.0, 600.0, _SUPPLY, is_beyond=True)
        second = schedule.schedule(0.5, 1.0, _SUPPLY, is_beyond=True)
        self.assertGreater(0.5 + second, first)

    def test_promised_units_are_redeemed_once_and_not_before_they_are_due(
        self,
    ) -> None:
        schedule = retry_schedule.RetrySchedule()
        schedule.schedule(0.0, 200.0, _SUPPLY, is_beyond=True)
        self.assertFalse(schedule.try_redeem(1.9, 200.0))
        self.assertTrue(schedule.try_redeem(2.0, 200.0))
        self.assertFalse(schedule.try_redeem(2.0, 200.0))

    def test_units_of_a_caller_that_does_not_return_are_freed(self) -> None:
        schedule = retry_schedule.RetrySchedule()
        schedule.schedule(0.0, 200.0, _SUPPLY, is_beyond=True)
        schedule.note_refilled(2.4, 0.0)
        self.assertEqual(200.0, schedule.promised)
        schedule.note_refilled(2.6, 0.0)
        self.assertEqual(0.0, schedule.promised)

    def test_a_caller_within_the_entitlement_does_not_wait_for_the_surplus(
        self,
    ) -> None:
        schedule = retry_schedule.RetrySchedule()
        schedule.schedule(0.0, 700.0, _SUPPLY, is_beyond=True)
        delay = schedule.schedule(0.0, 300.0, _SUPPLY, is_beyond=False)
        self.assertAlmostEqual(0.3, delay)
        self.assertTrue(schedule.try_redeem(0.4, 300.0))
        self.assertEqual(700.0, schedule.promised)

    def test_no_units_are_promised_for_later_than_the_longest_delay(
        self,
    ) -> None:
        """They would be kept from callers that are entitled to them."""
        schedule = retry_schedule.RetrySchedule()
        for _ in range(40):
            schedule.schedule(0.0, 1000.0, _SUPPLY, is_beyond=False)
        self.assertLessEqual(schedule.promised, 4.0 * _SUPPLY.rate + 1000.0)

    def test_fractions_of_units_are_redeemed(self) -> None:
        """Rounding left a remainder to take from an empty schedule."""
        schedule = retry_schedule.RetrySchedule()
        for units in (0.1, 0.2):
            schedule.schedule(0.0, units, _SUPPLY, is_beyond=False)
        self.assertTrue(schedule.try_redeem(2.0, 0.1 + 0.2 - 1e-17))
