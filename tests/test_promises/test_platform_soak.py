"""Daemons keep the guarantees to callers under faults drawn from a seed."""

from __future__ import annotations

import testtools
import trio

from martenquay_platform_standins import history, soak
from martenquay_platform_standins.history import CallKind

_LIMIT_S = 240.0
# Seeds that found a fault are added here, each with a line on the cause.
_SEEDS = (1,)
_FAULTS = 8
_CRASHING_REQUEST_SEED = 2
_CALM_S = 12.0


class PlatformSoakTest(testtools.TestCase):
    def test_no_guarantee_is_broken(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                plan = soak.SoakPlan(seed, faults=_FAULTS)
                report = trio.run(self._run, plan)
                self.assertEqual([], report.breaches)
                seen = report.history
                for kind in CallKind:
                    served = [
                        call
                        for call in seen.calls.values()
                        if call.kind is kind and call.status == 200
                    ]
                    self.assertNotEqual([], served)
                self.assertNotEqual([], seen.duties)

    def test_a_request_that_crashes_runners_ends_few_of_them(self) -> None:
        plan = soak.SoakPlan(
            _CRASHING_REQUEST_SEED,
            faults=_FAULTS,
            crashing_callers=1,
            calm_s=_CALM_S,
        )
        report = trio.run(self._run, plan)
        self.assertEqual([], report.breaches)
        crashing_runs = [
            run
            for run in report.history.runs
            if run.path == history.CRASHING_PATH
        ]
        # With fewer, quarantine would never be reached.
        self.assertGreaterEqual(len(crashing_runs), 3)

    async def _run(self, plan: soak.SoakPlan) -> soak.SoakReport:
        with trio.fail_after(_LIMIT_S):
            return await soak.run_soak(plan)
