"""Spread a service's reclaimable runners over zones, the cheapest first."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["spread_over_zones"]


def spread_over_zones(
    needed: int, rooms: Mapping[str, int], prices: Mapping[str, float]
) -> dict[str, int]:
    """Return how many runners each zone should have.

    The needed number remains if any one zone is lost. No zone has more than in
    an even spread, since each one more would be lost with it. What an even
    spread has beyond the needed number is left out in the dearest zones.

    Args:
        needed: Runners that must remain.
        rooms: The most runners that each zone may have.
        prices: Price of a runner by zone; 1.0 for others.
    """
    share = math.ceil(needed / max(1, len(rooms) - 1))
    counts = {zone: min(share, room) for zone, room in rooms.items()}
    surplus = sum(counts.values()) - max(counts.values(), default=0) - needed
    if max(counts.values(), default=0) < share or len(counts) <= 1:
        # Every zone is full, or there is no other one.
        return counts
    by_price = sorted(
        counts, key=lambda name: (prices.get(name, 1.0), name), reverse=True
    )
    # The cheapest zone keeps its share: it is the one whose loss is planned
    # for.
    for zone in by_price[:-1]:
        left_out = max(0, min(surplus, counts[zone]))
        counts[zone] -= left_out
        surplus -= left_out
    return counts
