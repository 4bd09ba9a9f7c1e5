"""The newest limit report holds although answers overtake each other."""

from __future__ import annotations

import testtools

from martenquay_daemon.backpressure import limit_reports


def _build_report(
    limit: float | None, sent_at: float, heard_at: float, born: int = 1
) -> limit_reports.LimitReport:
    return limit_reports.LimitReport(limit, born, sent_at, heard_at)


class MergeReportTest(testtools.TestCase):
    def test_an_answer_without_a_limit_needs_no_report(self) -> None:
        found = limit_reports.merge_report(None, _build_report(None, 1.0, 1.1))
        self.assertIsNone(found)

    def test_an_answer_to_a_later_request_lifts_a_limit(self) -> None:
        known = _build_report(1.0, 1.0, 1.5)
        lifted = _build_report(None, 1.6, 1.7)
        self.assertEqual(lifted, limit_reports.merge_report(known, lifted))

    def test_an_overtaken_answer_does_not_lift_a_limit(
        self,
    ) -> None:
        known = _build_report(1.0, 1.0, 1.5)
        for sent_at in (0.5, 1.2):
            old = _build_report(None, sent_at, 1.6)
            self.assertEqual(known, limit_reports.merge_report(known, old))

    def test_an_overtaken_answer_does_not_restore_a_lifted_limit(
        self,
    ) -> None:
        lifted = _build_report(None, 2.0, 2.1)
        old = _build_report(1.0, 1.9, 3.0)
        self.assertEqual(lifted, limit_reports.merge_report(lifted, old))

    def test_a_limit_set_again_after_being_lifted_holds(self) -> None:
        lifted = _build_report(None, 2.0, 2.1)
        again = _build_report(1.0, 2.05, 2.2)
        self.assertEqual(again, limit_reports.merge_report(lifted, again))

    def test_of_concurrent_answers_the_lower_limit_holds(
        self,
    ) -> None:
        known = _build_report(5.0, 1.0, 1.5)
        lower = limit_reports.merge_report(known, _build_report(1.0, 1.2, 1.6))
        higher = limit_reports.merge_report(known, _build_report(9.0, 1.2, 1.6))
        self.assertEqual((1.0, 1.6), (lower.limit_per_s, lower.heard_at))
        self.assertEqual(5.0, higher.limit_per_s)

    def test_a_later_limit_replaces_a_lower_one(self) -> None:
        known = _build_report(1.0, 1.0, 1.5)
        later = _build_report(9.0, 1.6, 1.7)
        self.assertEqual(later, limit_reports.merge_report(known, later))

    def test_a_new_process_has_no_limit(self) -> None:
        known = _build_report(1.0, 1.0, 1.5)
        fresh = _build_report(None, 0.9, 1.6, born=2)
        self.assertIsNone(limit_reports.merge_report(known, fresh))

    def test_an_answer_of_an_older_process_is_ignored(self) -> None:
        known = _build_report(1.0, 1.0, 1.5, born=2)
        old = _build_report(None, 2.0, 2.1, born=1)
        self.assertEqual(known, limit_reports.merge_report(known, old))


class MergeGossipedReportTest(testtools.TestCase):
    def test_an_echoed_report_does_not_become_newer(self) -> None:
        known = _build_report(1.0, 1.0, 1.5)
        echo = _build_report(1.0, 1.0, 1.9)
        self.assertEqual(
            known, limit_reports.merge_gossiped_report(known, echo)
        )

    def test_a_newer_gossiped_report_is_accepted(self) -> None:
        known = _build_report(1.0, 1.0, 1.5)
        later = _build_report(1.0, 2.9, 3.0)
        found = limit_reports.merge_gossiped_report(known, later)
        self.assertEqual(3.0, found.heard_at)

    def test_delayed_gossip_does_not_lift_a_newer_limit(
        self,
    ) -> None:
        known = _build_report(1.0, 1.0, 1.5)
        late = _build_report(None, 1.6, 1.7)
        self.assertEqual(
            known, limit_reports.merge_gossiped_report(known, late)
        )
