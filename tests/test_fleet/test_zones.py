"""Summaries of one hub a zone are used, until that hub is silent."""

from __future__ import annotations

import testtools

from martenquay_daemon.fleet import zones
from tests import serving_builders as builders


class ZoneTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = zones.ZoneTable()

    def _apply_summary(self, hub: str, number: int, now: float) -> bool:
        summary = builders.build_summary(hub=hub, number=number)
        return self.table.apply_summary(summary, {}, now)

    def _find_active_hub(self) -> str:
        known = self.table.find_active("b")
        return known.summary.hub if known is not None else ""

    def test_an_old_summary_is_ignored(self) -> None:
        self.assertTrue(self._apply_summary("one", 2, 0.0))
        self.assertFalse(self._apply_summary("one", 1, 0.1))

    def test_the_active_hub_stays_active_while_it_is_not_silent(self) -> None:
        self._apply_summary("one", 1, 0.0)
        self.assertFalse(self._apply_summary("two", 1, 0.1))
        self.assertTrue(self._apply_summary("one", 2, 0.2))
        self.assertEqual("one", self._find_active_hub())

    def test_another_hub_becomes_active_when_the_active_one_is_silent(
        self,
    ) -> None:
        self._apply_summary("one", 1, 0.0)
        self._apply_summary("two", 1, 0.1)
        self._apply_summary("one", 2, 0.2)
        self._apply_summary("two", 2, 1.0)
        self.assertEqual("one", self._find_active_hub())
        self.assertTrue(self._apply_summary("two", 3, 2.5))
        self.assertEqual("two", self._find_active_hub())
