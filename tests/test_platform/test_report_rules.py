"""The judge reports daemons that disobey limits, backoffs and drains."""

from __future__ import annotations

import testtools

from martenquay_platform_standins import history, report_rules, runner
from martenquay_platform_standins.history import CallKind, ReportKind

_RUNNER = "runner-1"


class SelectReportsTest(testtools.TestCase):
    def test_only_a_rejection_asks_for_backoff(self) -> None:
        """Otherwise requests that ran before the backoff count as breaches."""
        reports = {"rest": 3.0, "leaves": 1.0}
        served = runner.select_reports(reports, is_refused=False)
        refused = runner.select_reports(reports, is_refused=True)
        self.assertEqual([(ReportKind.DRAINING, 1.0)], served)
        self.assertIn((ReportKind.BACKOFF, 3.0), refused)


class ReportRulesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.seen = history.History()

    def _send(self, at: float, process: str = "entry-0.1") -> str:
        """Record the arrival of a request at the runner; return its id."""
        call_id = f"call-{len(self.seen.calls)}"
        self.seen.calls[call_id] = history.Call(
            call_id, CallKind.LOOK, "/look/1", "florists", process, at - 0.01
        )
        self.seen.arrivals.append(history.Arrival(at, _RUNNER, call_id))
        return call_id

    def _report(
        self, at: float, kind: ReportKind, value: float, *processes: str
    ) -> None:
        """Record a span of reports and one report to each process."""
        span = history.ReportSpan(_RUNNER, kind, value, at, at + 20.0)
        self.seen.report_spans.append(span)
        for process in processes or ("entry-0.1",):
            call_id = self._send(at, process)
            report = history.RunnerReport(at, _RUNNER, call_id, kind, value)
            self.seen.reports.append(report)

    def _count_breaches(self) -> int:
        return len(report_rules.find_report_breaches(self.seen))

    def test_a_limit_counts_over_all_daemons_that_know_it(self) -> None:
        daemons = [f"entry-{number}.1" for number in range(6)]
        self._report(10.0, ReportKind.LIMIT, 1.0, *daemons)
        for number in range(11):
            self._send(14.0 + number / 4, daemons[number % 6])
        self.assertEqual(0, self._count_breaches())
        self._send(16.9, daemons[5])
        self.assertEqual(1, self._count_breaches())

    def test_a_daemon_that_does_not_know_a_limit_is_not_bound(self) -> None:
        self._report(10.0, ReportKind.LIMIT, 1.0)
        for _ in range(20):
            self._send(15.0, "entry-3.1")
        self.assertEqual(0, self._count_breaches())

    def test_a_limit_binds_from_its_propagation_time_to_its_end(self) -> None:
        self._report(10.0, ReportKind.LIMIT, 1.0)
        for at in (12.9, 30.1):
            for _ in range(20):
                self._send(at)
        self.assertEqual(0, self._count_breaches())

    def test_a_request_long_after_a_drain_report_is_a_breach(self) -> None:
        self._report(10.0, ReportKind.DRAINING, 1.0)
        self._send(11.9)
        self.assertEqual(0, self._count_breaches())
        self._send(12.2)
        self.assertEqual(1, self._count_breaches())

    def test_a_new_process_does_not_know_earlier_reports(self) -> None:
        self._report(10.0, ReportKind.DRAINING, 1.0)
        self._send(15.0, "entry-0.2")
        self.assertEqual(0, self._count_breaches())

    def test_three_requests_during_a_backoff_are_a_breach(self) -> None:
        self._report(10.0, ReportKind.BACKOFF, 3.0)
        for at in (10.4, 11.0, 12.9, 13.1):
            self._send(at)
        self.assertEqual(0, self._count_breaches())
        self._send(12.0)
        self.assertEqual(1, self._count_breaches())

    def test_a_daemon_in_a_fault_is_excused(self) -> None:
        self._report(10.0, ReportKind.BACKOFF, 3.0)
        for _ in range(5):
            self._send(12.0)
        freeze = history.Disturbance("freeze", "entry-0", 10.5, 11.5)
        self.seen.disturbances.append(freeze)
        self.assertEqual(0, self._count_breaches())

    def test_an_outage_of_the_store_excuses_nothing(self) -> None:
        self._report(10.0, ReportKind.DRAINING, 1.0)
        self._send(15.0)
        outage = history.Disturbance("store down", "store", 9.0, 16.0)
        self.seen.disturbances.append(outage)
        self.assertEqual(1, self._count_breaches())
