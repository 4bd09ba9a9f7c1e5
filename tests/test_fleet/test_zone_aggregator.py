"""A zone's sums count each daemon once, also when it is gone or left out."""

from __future__ import annotations

import testtools

from martenquay_daemon.fleet import messages, zone_aggregator
from tests import serving_builders as builders

_SILENT_S = 2.0


class ZoneSumTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sum = zone_aggregator.ZoneAggregator()

    def _take(self, name: str, number: int, now: float, **changes) -> None:
        self.sum.apply_digest(
            builders.build_digest(
                member=f"{name}.aa", instance=name, number=number, **changes
            ),
            now,
        )

    def _add_up(self, now: float) -> zone_aggregator.ZoneTotals:
        return self.sum.sum_digests(now, _SILENT_S)

    def test_a_silent_daemon_has_no_load_but_its_counts_stay(self) -> None:
        self._take(
            "entry-1",
            1,
            0.0,
            loads={"r-1": messages.LoadEntry(2, 50)},
            begun={7: {"florists": 3}},
        )
        part = self._add_up(5.0)
        self.assertEqual({}, part.loads)
        self.assertEqual({7: {"florists": 3}}, part.begun)

    def test_leaving_one_out_is_adding_up_the_others(self) -> None:
        fields = {
            "loads": {"r-1": messages.LoadEntry(2, 50)},
            "begun": {7: {"florists": 3}},
            "demand": {"model": 10.0},
            "reading": {"model": messages.PrefillEntry(5, 900, 40)},
        }
        self._take("entry-1", 1, 0.0, **fields, window=8)
        others = self._add_up(0.0)
        self._take("entry-2", 1, 0.0, **fields, window=7)
        total = self._add_up(0.0)
        part = self.sum.exclude_member(total, "entry-2.aa", 0.0, _SILENT_S)
        self.assertEqual(others, part)
        self.assertEqual(2, total.daemons)
        self.assertEqual(7, total.window)

    def test_a_restarted_daemon_is_counted_in_the_place_of_itself(self) -> None:
        self._take("entry-1", 9, 0.0)
        again = builders.build_digest(member="entry-1.bb", instance="entry-1")
        self.sum.apply_digest(again, 0.2)
        self.assertEqual(1, self._add_up(0.2).daemons)

    def test_what_is_left_of_the_lease_grows_less_on_the_way(self) -> None:
        news = messages.LeaseStatus(4, 9, 2000)
        self._take("entry-1", 1, 0.0, lease=news)
        part = self._add_up(0.5)
        self.assertEqual(messages.LeaseStatus(4, 9, 1500), part.lease)
        self.assertEqual("entry-1.aa", part.lease_member)
