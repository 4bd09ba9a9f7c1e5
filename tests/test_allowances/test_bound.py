"""Whatever happens to a fleet, no team gets more than is tolerated.

A team that asked for 6 to 15 times its usual got 1 to 12% more than the
operators tolerate on 15 of 52 days, on which daemons were cut off, killed,
frozen or added meanwhile. Each daemon went by its own estimate of what all had
spent, and nothing kept anybody to what the others took it to spend: for seconds
one half of a fleet believed that 400,000 of 460,000 units were used and went
on, while the other half believed 500,000 and waited.
"""

from __future__ import annotations

import dataclasses

import testtools

from tests import allowance_days, allowance_fleet

_SEEDS = 1000
# So that test runners can spread them over several workers.
_PARTS = 4


class _DrawnDays:
    """A part of the thousand days."""

    part = 0

    def test_no_order_of_cuts_kills_freezes_joins_and_late_news_exceeds_it(
        self,
    ) -> None:
        window_s = allowance_fleet.BOUNDS.window_s
        bound = allowance_fleet.find_bound()
        broken = {}
        for seed in range(self.part, _SEEDS, _PARTS):
            day = allowance_days.draw_day(seed)
            played = allowance_days.play_day(day)
            most = allowance_days.find_most_spent(played.spent, window_s)
            if most > bound:
                broken[seed] = round(most / bound, 3)
        self.assertEqual({}, broken)


class BoundTest(_DrawnDays, testtools.TestCase):
    part = 0


class SecondBoundTest(_DrawnDays, testtools.TestCase):
    part = 1


class ThirdBoundTest(_DrawnDays, testtools.TestCase):
    part = 2


class FourthBoundTest(_DrawnDays, testtools.TestCase):
    part = 3


class UsedRoomTest(testtools.TestCase):
    """The bound is not kept by refusing what the team is owed."""

    def test_a_greedy_team_gets_its_rate_in_a_fleet_without_trouble(
        self,
    ) -> None:
        given = []
        for seed in range(20):
            day = allowance_days.draw_day(seed)
            day = dataclasses.replace(day, troubles=())
            spent = allowance_days.play_day(day).spent
            start_s = day.greedy_s + 1.0
            units = sum(one for at_s, one in spent if at_s >= start_s)
            given.append(units / (day.length_s - start_s))
        self.assertGreater(min(given), 0.95 * allowance_fleet.TEAM.rate)

    def test_a_team_within_its_rate_gets_nearly_all_that_it_asks_for(
        self,
    ) -> None:
        served = []
        for seed in range(20):
            drawn = allowance_days.draw_day(seed)
            day = dataclasses.replace(drawn, troubles=(), demand=0.8)
            served.append(allowance_days.play_day(day).find_served(9.0))
        self.assertGreater(min(served), 0.99)
