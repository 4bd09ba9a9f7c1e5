"""A zone's sums must count each daemon once, also if silent or excluded."""

from __future__ import annotations

import testtools

from martenquay_daemon.fleet import messages, zone_aggregator
from martenquay_daemon.overload import messages as overload
from tests import serving_builders as builders

_SILENT_S = 2.0


class ZoneAggregatorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.aggregator = zone_aggregator.ZoneAggregator()

    def _apply_digest(
        self, name: str, number: int, now: float, **changes
    ) -> None:
        self.aggregator.apply_digest(
            builders.build_digest(
                member=f"{name}.aa", instance=name, number=number, **changes
            ),
            now,
        )

    def _sum_digests(self, now: float) -> zone_aggregator.ZoneTotals:
        return self.aggregator.sum_digests(now, _SILENT_S)

    def test_a_silent_daemon_has_no_load_but_its_counts_stay(self) -> None:
        self._apply_digest(
            "entry-1",
            1,
            0.0,
            loads={"r-1": messages.LoadEntry(2, 50)},
            begun={7: {"florists": 3}},
        )
        totals = self._sum_digests(5.0)
        self.assertEqual({}, totals.loads)
        self.assertEqual({7: {"florists": 3}}, totals.begun)

    def test_excluding_a_daemon_equals_the_sums_of_the_others(self) -> None:
        fields = {
            "loads": {"r-1": messages.LoadEntry(2, 50)},
            "begun": {7: {"florists": 3}},
            "demand": {"model": 10.0},
            "reading": {"model": messages.PrefillEntry(5, 900, 40)},
            "backlog": {"model": {1: overload.BacklogEntry(3, 700, 90)}},
        }
        self._apply_digest("entry-1", 1, 0.0, **fields, window=8)
        others = self._sum_digests(0.0)
        self._apply_digest("entry-2", 1, 0.0, **fields, window=7)
        total = self._sum_digests(0.0)
        totals = self.aggregator.exclude_member(
            total, "entry-2.aa", 0.0, _SILENT_S
        )
        self.assertEqual(others, totals)
        self.assertEqual(2, total.daemons)
        self.assertEqual(7, total.window)

    def test_a_restarted_daemon_is_counted_once(self) -> None:
        self._apply_digest("entry-1", 9, 0.0)
        again = builders.build_digest(member="entry-1.bb", instance="entry-1")
        self.aggregator.apply_digest(again, 0.2)
        self.assertEqual(1, self._sum_digests(0.2).daemons)

    def test_the_age_of_the_digest_reduces_the_validity_of_the_lease(
        self,
    ) -> None:
        status = messages.LeaseStatus(4, 9, 2000)
        self._apply_digest("entry-1", 1, 0.0, lease=status)
        totals = self._sum_digests(0.5)
        self.assertEqual(messages.LeaseStatus(4, 9, 1500), totals.lease)
        self.assertEqual("entry-1.aa", totals.lease_member)
