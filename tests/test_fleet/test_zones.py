"""A zone's spending goes on from one hub to the next without a jump."""

from __future__ import annotations

import testtools

from martenquay_daemon.fleet import zones
from tests import serving_builders as builders


class ZoneTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = zones.ZoneTable()

    def _take(self, hub: str, number: int, spent: float, now: float) -> bool:
        summary = builders.build_summary(
            hub=hub, number=number, spending={"florists": spent}
        )
        return self.table.take(summary, {}, now)

    def _find_spent(self) -> float:
        return self.table.find_spending("b")["florists"]

    def test_an_old_summary_is_no_news(self) -> None:
        self.assertTrue(self._take("one", 2, 5.0, 0.0))
        self.assertFalse(self._take("one", 1, 4.0, 0.1))
        self.assertEqual(5.0, self._find_spent())

    def test_only_one_hub_counts_while_it_is_heard(self) -> None:
        self._take("one", 1, 5.0, 0.0)
        self.assertFalse(self._take("two", 1, 900.0, 0.1))
        self.assertTrue(self._take("one", 2, 6.0, 0.2))
        self.assertEqual(6.0, self._find_spent())

    def test_the_next_hub_goes_on_where_the_last_one_ended(self) -> None:
        self._take("one", 1, 5.0, 0.0)
        self._take("two", 1, 900.0, 0.1)
        self._take("one", 2, 6.0, 0.2)
        self._take("two", 2, 903.0, 1.0)
        self.assertEqual(6.0, self._find_spent())
        self.assertTrue(self._take("two", 3, 907.0, 2.5))
        self.assertEqual(6.0 + 7.0, self._find_spent())

    def test_a_hub_that_was_not_heard_before_adds_nothing_of_the_past(
        self,
    ) -> None:
        self._take("one", 1, 5.0, 0.0)
        self.assertTrue(self._take("two", 1, 900.0, 5.0))
        self.assertEqual(5.0, self._find_spent())
        self._take("two", 2, 902.0, 5.5)
        self.assertEqual(7.0, self._find_spent())
