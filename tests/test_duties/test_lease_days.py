"""No order of faults and stops makes lease holders act in a wrong order.

Guards against holders that overlap, that return within a lease's length, and
that act with a former fence.
"""

from __future__ import annotations

import testtools

from tests import lease_days

_SEEDS = 300
# Separate test classes run on separate workers.
_PARTS = 3


class _DrawnDays:
    """A part of the simulated days, by seed."""

    part = 0

    def test_no_order_of_faults_and_stops_breaks_the_rule(self) -> None:
        breaches = {}
        for seed in range(self.part, _SEEDS, _PARTS):
            played = lease_days.play_day(lease_days.draw_day(seed))
            found = lease_days.find_breaches(played)
            if found:
                breaches[seed] = found[0]
        self.assertEqual({}, breaches)


class LeaseDaysTest(_DrawnDays, testtools.TestCase):
    part = 0


class SecondLeaseDaysTest(_DrawnDays, testtools.TestCase):
    part = 1


class ThirdLeaseDaysTest(_DrawnDays, testtools.TestCase):
    part = 2
