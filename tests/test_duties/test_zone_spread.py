"""Guard against runners in dear zones, and against too few after a loss."""

from __future__ import annotations

import math

import testtools
from hypothesis import given
from hypothesis import strategies as st

from martenquay_daemon.duties import zone_spread

_PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}


def _spread(needed: int, **rooms: int) -> dict[str, int]:
    return zone_spread.spread_over_zones(
        needed, dict.fromkeys(_PRICES, 10) | rooms, _PRICES
    )


def _count_after_loss(counts: dict[str, int]) -> int:
    return sum(counts.values()) - max(counts.values())


class SpreadOverZonesTest(testtools.TestCase):
    def test_what_is_not_needed_is_left_out_in_the_dearest_zone(self) -> None:
        """An even spread for 14 has 20 runners in zones of any price."""
        self.assertEqual({"a": 5, "b": 5, "c": 4, "d": 5}, _spread(14))
        self.assertEqual({"a": 5, "b": 5, "c": 3, "d": 5}, _spread(13))

    def test_a_spread_without_surplus_is_even(self) -> None:
        self.assertEqual({"a": 5, "b": 5, "c": 5, "d": 5}, _spread(15))

    def test_a_surplus_larger_than_one_zone_goes_on_in_the_next_one(
        self,
    ) -> None:
        self.assertEqual({"a": 0, "b": 1, "c": 0, "d": 1}, _spread(1))

    def test_full_zones_are_not_made_up_for_by_larger_losses(self) -> None:
        """Shifting runners with each on-demand one would drain others."""
        counts = _spread(15, b=2)
        self.assertEqual({"a": 5, "b": 2, "c": 5, "d": 5}, counts)

    def test_one_zone_gets_all(self) -> None:
        self.assertEqual(
            {"a": 4}, zone_spread.spread_over_zones(4, {"a": 9}, {})
        )
        self.assertEqual({}, zone_spread.spread_over_zones(4, {}, {}))

    @given(
        st.integers(1, 45),
        st.lists(
            st.tuples(st.integers(0, 20), st.floats(0.1, 5.0)),
            min_size=1,
            max_size=5,
        ),
    )
    def test_as_many_remain_after_a_loss_as_of_an_even_spread(
        self, needed: int, zones: list[tuple[int, float]]
    ) -> None:
        rooms = {f"z{n}": room for n, (room, _) in enumerate(zones)}
        prices = {f"z{n}": price for n, (_, price) in enumerate(zones)}
        counts = zone_spread.spread_over_zones(needed, rooms, prices)
        share = math.ceil(needed / max(1, len(rooms) - 1))
        even = {zone: min(share, room) for zone, room in rooms.items()}
        for zone, count in counts.items():
            self.assertGreaterEqual(count, 0)
            self.assertLessEqual(count, even[zone])
        if len(rooms) > 1:
            self.assertGreaterEqual(
                _count_after_loss(counts),
                min(needed, _count_after_loss(even)),
            )
