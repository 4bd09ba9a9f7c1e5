"""No team of a large fleet gets more than is tolerated, whatever fails.

Guards against quota that is spent twice when daemons delegate it to hubs and
learn of each other late.
"""

from __future__ import annotations

import dataclasses

import testtools

from tests import allowance_days, allowance_fleet, zone_days

# Seeds by the number of daemons.
_SEEDS = {25: range(24), 77: range(3), 195: range(1)}
# Separate test classes run on separate workers.
_PARTS = 4


def _find_spent_ratio(size: int, seed: int) -> float:
    """Return the most units spent in a window, as a ratio of the bound."""
    played = zone_days.play_zone_day(zone_days.draw_zone_day(seed, size))
    window_s = allowance_fleet.BOUNDS.window_s
    max_spent = allowance_days.find_most_spent(played.spent, window_s)
    return max_spent / allowance_fleet.find_bound()


class _DrawnDays:
    """A part of the simulated days."""

    part = 0

    def test_no_sequence_of_faults_exceeds_the_bound(
        self,
    ) -> None:
        days = [(size, seed) for size in _SEEDS for seed in _SEEDS[size]]
        ratios = {
            day: _find_spent_ratio(*day) for day in days[self.part :: _PARTS]
        }
        exceeded = {day: ratio for day, ratio in ratios.items() if ratio > 1}
        self.assertEqual({}, exceeded)


class LargeBoundTest(_DrawnDays, testtools.TestCase):
    part = 0


class SecondLargeBoundTest(_DrawnDays, testtools.TestCase):
    part = 1


class ThirdLargeBoundTest(_DrawnDays, testtools.TestCase):
    part = 2


class FourthLargeBoundTest(_DrawnDays, testtools.TestCase):
    part = 3


class UsedRoomTest(testtools.TestCase):
    """Teams within their allowance are not refused to keep the bound."""

    def _play(self, seed: int, demand: float) -> allowance_days.Played:
        day = zone_days.draw_zone_day(seed, 25)
        return zone_days.play_zone_day(
            dataclasses.replace(day, troubles=(), demand=demand)
        )

    def test_an_overloading_team_gets_its_rate_in_a_healthy_fleet(
        self,
    ) -> None:
        spent = self._play(0, 6.0).spent
        units = sum(amount for at_s, amount in spent if at_s >= 14.0)
        self.assertGreater(units / 10.0, 0.85 * allowance_fleet.TEAM.rate)

    def test_a_team_at_half_its_rate_is_refused_long_prompts_only(self) -> None:
        played = self._play(1, 0.55)
        for size in (1.0, 200.0, 1_150.0, 1_735.0):
            asked = [u for at, u in played.asked if u == size and at > 12.0]
            spent = [u for at, u in played.spent if u == size and at > 12.0]
            self.assertGreater(len(spent), 0.97 * len(asked))
