"""Daemons heed what runners say they need, alone and beside faults."""

from __future__ import annotations

import testtools
import trio

from martenquay_platform_standins import history, soak

_LIMIT_S = 200.0
_ALONE = soak.SoakPlan(3, faults=0, needs=3)
_BESIDE_FAULTS = soak.SoakPlan(4, faults=6, needs=6)


class NeedsTest(testtools.TestCase):
    def test_each_need_is_heeded(self) -> None:
        self._play(_ALONE)

    def test_needs_beside_faults_are_heeded(self) -> None:
        self._play(_BESIDE_FAULTS)

    def _play(self, plan: soak.SoakPlan) -> None:
        report = trio.run(self._run, plan)
        self.assertEqual([], report.breaches)
        # Each kind was said to somebody.
        said = {one.need for one in report.history.said}
        self.assertEqual(set(history.NeedKind), said)

    async def _run(self, plan: soak.SoakPlan) -> soak.SoakReport:
        with trio.fail_after(_LIMIT_S):
            return await soak.run_soak(plan)
