"""Daemons obey runners' limits, backoffs and drains, also beside faults."""

from __future__ import annotations

import testtools
import trio

from martenquay_platform_standins import history, soak

_LIMIT_S = 200.0
_REPORTS_ALONE = soak.SoakPlan(3, faults=0, reports=3)
_REPORTS_WITH_FAULTS = soak.SoakPlan(4, faults=6, reports=6)


class RunnerReportsTest(testtools.TestCase):
    def test_each_report_is_obeyed(self) -> None:
        self._run_soak(_REPORTS_ALONE)

    def test_reports_beside_faults_are_obeyed(self) -> None:
        self._run_soak(_REPORTS_WITH_FAULTS)

    def _run_soak(self, plan: soak.SoakPlan) -> None:
        report = trio.run(self._run, plan)
        self.assertEqual([], report.breaches)
        # Otherwise a kind of report was never tested.
        reported = {one.need for one in report.history.reports}
        self.assertEqual(set(history.ReportKind), reported)

    async def _run(self, plan: soak.SoakPlan) -> soak.SoakReport:
        with trio.fail_after(_LIMIT_S):
            return await soak.run_soak(plan)
