"""Decide how strongly the engines of this daemon's zone are preferred."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from martenquay_core.serving import runners
    from martenquay_daemon.engines import loads, speed_tracker

__all__ = ["Locality"]

# Loads change little in between, and summing them costs more than a placement.
_REFRESH_S = 0.25
# Daemons see a zone fill up at the same time and late, in gossip. If all
# followed at once, the zone would be full and empty in turn. The preference
# starts at 0 and rises slowly, since too much of it makes requests late.
_RISE_S = 5.0
_FALL_S = 1.0
# Up to the first ratio of the zone's load to that of all engines, the
# preference rises; from the second on, requests go to all zones alike. With 1.3
# as the second, more requests were late in replays of a zone with all demand.
_FULL_WEIGHT_RATIO = 0.95
_NO_WEIGHT_RATIO = 1.15
# Requests by engine below which a ratio means nothing.
_MIN_REQUESTS = 1.0


class Locality:
    """Weight of the preference for this zone, by service.

    Bytes between zones are expensive, but a zone whose daemons have more
    demand than its engines can serve must not queue while others are idle.
    """

    def __init__(
        self,
        zone: str,
        ledger: loads.LoadLedger,
        speeds: speed_tracker.SpeedTracker,
    ) -> None:
        self._zone = zone
        self._ledger = ledger
        self._speeds = speeds
        self._weights: dict[str, tuple[float, float]] = {}

    def find_weight(
        self, service: str, candidates: list[runners.Runner]
    ) -> float:
        """Return the weight of the preference, from 0 to 1.

        Args:
            service: Name of the service.
            candidates: Its engines; at least one.
        """
        now = trio.current_time()
        known = self._weights.get(service)
        if known is None:
            known = now, 0.0
        elif now - known[0] > _REFRESH_S:
            change = self._calculate(candidates) - known[1]
            smoothing_s = _RISE_S if change > 0 else _FALL_S
            share = 1 - math.exp((known[0] - now) / smoothing_s)
            known = now, known[1] + share * change
        self._weights[service] = known
        return known[1]

    def _calculate(self, candidates: list[runners.Runner]) -> float:
        near = [one for one in candidates if one.zone == self._zone]
        if not near:
            return 0.0
        requests = self._ledger.sum_requests()
        mean = max(_MIN_REQUESTS, self._find_mean_load(candidates, requests))
        ratio = self._find_mean_load(near, requests) / mean
        span = _NO_WEIGHT_RATIO - _FULL_WEIGHT_RATIO
        return min(1.0, max(0.0, (_NO_WEIGHT_RATIO - ratio) / span))

    def _find_mean_load(
        self, engines: list[runners.Runner], requests: dict[str, int]
    ) -> float:
        """Return the requests for each engine of the service's mean speed."""
        speed = sum(self._speeds.find_usual(one.id) for one in engines)
        return sum(requests.get(one.id, 0) for one in engines) / speed
