"""Reclaimed engines lose no stream, also none that may run only once."""

from __future__ import annotations

import testtools
import trio

from martenquay_platform_standins import soak

_LIMIT_S = 120.0
_SEED = 12
# With three, between none and eight runs were moved on a busy machine.
_RECLAIMS = 6


class ReclaimTest(testtools.TestCase):
    def test_reclaimed_engines_lose_no_stream(self) -> None:
        report = trio.run(self._run)
        self.assertEqual([], report.breaches)
        seen = report.history
        reclaims = [one for one in seen.disturbances if one.name == "reclaim"]
        self.assertEqual(_RECLAIMS, len(reclaims))
        moved = {run.call for run in seen.runs if run.moved}
        whole = [call for call in moved if seen.calls[call].is_complete]
        # Without any, the soak would not have tested moves.
        self.assertNotEqual([], whole)

    async def _run(self) -> soak.SoakReport:
        plan = soak.SoakPlan(
            _SEED, faults=0, reclaims=_RECLAIMS, daemons=4, runners=3
        )
        with trio.fail_after(_LIMIT_S):
            return await soak.run_soak(plan)
