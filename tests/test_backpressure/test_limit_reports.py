"""Answers overtake each other; the newest word of a runner's limit holds."""

from __future__ import annotations

import testtools

from martenquay_daemon.backpressure import limit_reports


def _word(
    limit: float | None, sent_at: float, heard_at: float, born: int = 1
) -> limit_reports.LimitReport:
    return limit_reports.LimitReport(limit, born, sent_at, heard_at)


class FoldWordTest(testtools.TestCase):
    def test_a_runner_that_names_no_limit_needs_no_word(self) -> None:
        found = limit_reports.merge_report(None, _word(None, 1.0, 1.1))
        self.assertIsNone(found)

    def test_a_request_that_was_sent_after_a_limit_ends_it(self) -> None:
        known = _word(1.0, 1.0, 1.5)
        over = _word(None, 1.6, 1.7)
        self.assertEqual(over, limit_reports.merge_report(known, over))

    def test_an_answer_that_was_overtaken_by_a_limit_does_not_end_it(
        self,
    ) -> None:
        known = _word(1.0, 1.0, 1.5)
        for sent_at in (0.5, 1.2):
            old = _word(None, sent_at, 1.6)
            self.assertEqual(known, limit_reports.merge_report(known, old))

    def test_an_answer_that_is_older_than_the_end_brings_no_limit_back(
        self,
    ) -> None:
        over = _word(None, 2.0, 2.1)
        old = _word(1.0, 1.9, 3.0)
        self.assertEqual(over, limit_reports.merge_report(over, old))

    def test_a_limit_that_is_named_again_after_its_end_holds(self) -> None:
        over = _word(None, 2.0, 2.1)
        again = _word(1.0, 2.05, 2.2)
        self.assertEqual(again, limit_reports.merge_report(over, again))

    def test_of_two_answers_at_the_same_time_the_lower_limit_holds(
        self,
    ) -> None:
        known = _word(5.0, 1.0, 1.5)
        lower = limit_reports.merge_report(known, _word(1.0, 1.2, 1.6))
        higher = limit_reports.merge_report(known, _word(9.0, 1.2, 1.6))
        self.assertEqual((1.0, 1.6), (lower.limit_per_s, lower.heard_at))
        self.assertEqual(5.0, higher.limit_per_s)

    def test_a_later_limit_replaces_a_lower_one(self) -> None:
        known = _word(1.0, 1.0, 1.5)
        later = _word(9.0, 1.6, 1.7)
        self.assertEqual(later, limit_reports.merge_report(known, later))

    def test_a_new_process_owes_nothing_of_the_one_before(self) -> None:
        known = _word(1.0, 1.0, 1.5)
        fresh = _word(None, 0.9, 1.6, born=2)
        self.assertIsNone(limit_reports.merge_report(known, fresh))

    def test_an_older_process_says_nothing_of_the_new_one(self) -> None:
        known = _word(1.0, 1.0, 1.5, born=2)
        old = _word(None, 2.0, 2.1, born=1)
        self.assertEqual(known, limit_reports.merge_report(known, old))


class FoldToldTest(testtools.TestCase):
    def test_a_word_that_comes_back_does_not_grow_younger(self) -> None:
        known = _word(1.0, 1.0, 1.5)
        echo = _word(1.0, 1.0, 1.9)
        self.assertEqual(
            known, limit_reports.merge_gossiped_report(known, echo)
        )

    def test_a_word_that_others_heard_later_is_news(self) -> None:
        known = _word(1.0, 1.0, 1.5)
        later = _word(1.0, 2.9, 3.0)
        found = limit_reports.merge_gossiped_report(known, later)
        self.assertEqual(3.0, found.heard_at)

    def test_news_on_their_way_do_not_end_a_limit_heard_meanwhile(
        self,
    ) -> None:
        known = _word(1.0, 1.0, 1.5)
        late = _word(None, 1.6, 1.7)
        self.assertEqual(
            known, limit_reports.merge_gossiped_report(known, late)
        )
