"""Concurrent runs under seeded faults violate no guarantee to callers."""

from __future__ import annotations

import testtools
import trio

from martenquay_standins.chaos import run


class ChaosTest(testtools.TestCase):
    def _check(self, seed: int) -> None:
        plan = run.ChaosPlan(seed, faults=9, callers=1)
        report = trio.run(run.run_chaos, plan)
        self.assertEqual([], report.breaches)
        # A run without faults and traffic would pass without checking anything.
        self.assertEqual(9, len(report.faults))
        self.assertGreater(len(report.history.bookings), 10)
        self.assertGreater(len(report.history.accepted), 3)
        self.assertGreater(len(report.history.observations), 10)


class FirstSeedTest(ChaosTest):
    def test_the_first_seed_keeps_every_promise(self):
        self._check(101)


class SecondSeedTest(ChaosTest):
    def test_the_second_seed_keeps_every_promise(self):
        self._check(202)
