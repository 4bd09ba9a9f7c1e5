"""Of a zone's hubs one counts, and the next when it is silent."""

from __future__ import annotations

import testtools

from martenquay_daemon.fleet import zones
from tests import serving_builders as builders


class ZoneTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = zones.ZoneTable()

    def _take(self, hub: str, number: int, now: float) -> bool:
        summary = builders.build_summary(hub=hub, number=number)
        return self.table.apply_summary(summary, {}, now)

    def _find_hub(self) -> str:
        known = self.table.find_active("b")
        return known.summary.hub if known is not None else ""

    def test_an_old_summary_is_no_news(self) -> None:
        self.assertTrue(self._take("one", 2, 0.0))
        self.assertFalse(self._take("one", 1, 0.1))

    def test_only_one_hub_counts_while_it_is_heard(self) -> None:
        self._take("one", 1, 0.0)
        self.assertFalse(self._take("two", 1, 0.1))
        self.assertTrue(self._take("one", 2, 0.2))
        self.assertEqual("one", self._find_hub())

    def test_the_next_hub_counts_when_the_last_one_is_silent(self) -> None:
        self._take("one", 1, 0.0)
        self._take("two", 1, 0.1)
        self._take("one", 2, 0.2)
        self._take("two", 2, 1.0)
        self.assertEqual("one", self._find_hub())
        self.assertTrue(self._take("two", 3, 2.5))
        self.assertEqual("two", self._find_hub())
