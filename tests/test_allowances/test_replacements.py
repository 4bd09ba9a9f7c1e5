"""Instances that are replaced for good leave each team its rate.

Guards against new instances that get no part of a rate while those that they
replace are still listed.
"""

from __future__ import annotations

import math

import testtools

from tests import allowance_days

_SEEDS = 40
# Time after the last change, and the least part of what a team within its rate
# asks for, that is to be served from then on; both are the users'.
_RECOVERY_S = 12.0
_MIN_SERVED = 0.25


class ReplacementsTest(testtools.TestCase):
    def test_teams_within_their_rate_are_served_after_replacements(
        self,
    ) -> None:
        refused = {}
        for seed in range(_SEEDS):
            day = allowance_days.draw_replacements(seed)
            changed_s = max(
                trouble.at_s if math.isinf(trouble.until_s) else trouble.until_s
                for trouble in day.troubles
            )
            played = allowance_days.play_day(day)
            served = played.find_served(changed_s + _RECOVERY_S)
            if served < _MIN_SERVED:
                refused[seed] = round(served, 3)
        self.assertEqual({}, refused)
