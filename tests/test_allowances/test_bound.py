"""No team of a small fleet gets more than is tolerated, whatever fails.

Guards against daemons that spend by an estimate of what the others have spent:
the two sides of a partition would both spend the same quota.
"""

from __future__ import annotations

import dataclasses

import testtools

from tests import allowance_days, allowance_fleet

_SEEDS = 1000
# Separate test classes run on separate workers.
_PARTS = 4


class _DrawnDays:
    """A part of the simulated days, by seed."""

    part = 0

    def test_no_sequence_of_faults_exceeds_the_bound(
        self,
    ) -> None:
        window_s = allowance_fleet.BOUNDS.window_s
        bound = allowance_fleet.find_bound()
        exceeded = {}
        for seed in range(self.part, _SEEDS, _PARTS):
            day = allowance_days.draw_day(seed)
            played = allowance_days.play_day(day)
            max_spent = allowance_days.find_most_spent(played.spent, window_s)
            if max_spent > bound:
                exceeded[seed] = round(max_spent / bound, 3)
        self.assertEqual({}, exceeded)


class BoundTest(_DrawnDays, testtools.TestCase):
    part = 0


class SecondBoundTest(_DrawnDays, testtools.TestCase):
    part = 1


class ThirdBoundTest(_DrawnDays, testtools.TestCase):
    part = 2


class FourthBoundTest(_DrawnDays, testtools.TestCase):
    part = 3


class UsedRoomTest(testtools.TestCase):
    """Teams within their allowance are not refused to keep the bound."""

    def test_an_overloading_team_gets_its_rate_in_a_healthy_fleet(
        self,
    ) -> None:
        rates = []
        for seed in range(20):
            day = allowance_days.draw_day(seed)
            day = dataclasses.replace(day, troubles=())
            spent = allowance_days.play_day(day).spent
            start_s = day.greedy_s + 1.0
            units = sum(amount for at_s, amount in spent if at_s >= start_s)
            rates.append(units / (day.length_s - start_s))
        self.assertGreater(min(rates), 0.95 * allowance_fleet.TEAM.rate)

    def test_a_team_within_its_rate_gets_nearly_all_that_it_asks_for(
        self,
    ) -> None:
        served = []
        for seed in range(20):
            drawn = allowance_days.draw_day(seed)
            day = dataclasses.replace(drawn, troubles=(), demand=0.8)
            served.append(allowance_days.play_day(day).find_served(9.0))
        self.assertGreater(min(served), 0.99)
