"""Signals, restarts and setting changes at a daemon lose no request."""

from __future__ import annotations

import testtools
import trio

from martenquay_platform_standins import soak

_LIMIT_S = 120.0
_SEED = 11
_SERIES = 4


class PlannedSeriesTest(testtools.TestCase):
    def test_planned_series_lose_nothing(self) -> None:
        report = trio.run(self._run)
        self.assertEqual([], report.breaches)
        seen = report.history
        played = [one for one in seen.disturbances if one.name == "series"]
        self.assertEqual(_SERIES, len(played))
        served = {
            call.kind for call in seen.calls.values() if call.status == 200
        }
        # Slow kinds are the ones in progress when a daemon stops.
        self.assertLessEqual({"book", "note", "wait", "long"}, served)

    async def _run(self) -> soak.SoakReport:
        plan = soak.SoakPlan(
            _SEED, faults=0, series=_SERIES, daemons=4, runners=2
        )
        with trio.fail_after(_LIMIT_S):
            return await soak.run_soak(plan)
