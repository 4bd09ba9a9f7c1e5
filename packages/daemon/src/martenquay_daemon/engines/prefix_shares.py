"""Measure which share of a service's requests has a shared prompt part."""

from __future__ import annotations

import dataclasses
import math

import trio

__all__ = ["PrefixShares"]

# Short enough to follow a burst of one prompt, long enough to count requests
# of a daemon that gets a few per second.
_DECAY_TIME_S = 10.0
# After this long without a request nothing is left of the counts. The weight of
# a new request would overflow after two hours.
_MAX_IDLE_S = 50 * _DECAY_TIME_S
# Fewer requests say nothing about shares.
_MIN_REQUESTS = 20.0
# Parts counted at once; the rarest half is dropped beyond it.
_MAX_PARTS = 1024
# Weights are scaled down before they lose precision.
_MAX_WEIGHT = 1e6
# A part whose decayed count is smaller has not been requested for long.
_MIN_COUNT = 0.01


@dataclasses.dataclass
class _PartCounts:
    """Decaying counts of one service.

    Counts grow with time instead of decaying one by one: each request counts
    `weight`, relative to which older ones are smaller.

    Attributes:
        started_at: When the weight was 1, in trio's time.
        total: Weighted number of requests.
        parts: Weighted number of requests by part.
    """

    started_at: float
    total: float = 0.0
    parts: dict[str, float] = dataclasses.field(default_factory=dict)


class PrefixShares:
    """Shares of prompt parts in the recent requests of this daemon."""

    def __init__(self) -> None:
        self._services: dict[str, _PartCounts] = {}

    def note(self, service: str, part: str) -> float:
        """Count a request with a prompt part; return the part's share.

        Args:
            service: Name of the service.
            part: Id of the innermost shared part.

        Returns:
            The share from 0 to 1; 0 after too few requests.
        """
        now = trio.current_time()
        counts = self._services.setdefault(service, _PartCounts(now))
        if now - counts.started_at > _MAX_IDLE_S:
            counts = self._services[service] = _PartCounts(now)
        weight = math.exp((now - counts.started_at) / _DECAY_TIME_S)
        counts.total += weight
        counts.parts[part] = counts.parts.get(part, 0.0) + weight
        if len(counts.parts) > _MAX_PARTS:
            _drop_rarest(counts)
        share = 0.0
        if counts.total >= _MIN_REQUESTS * weight:
            share = counts.parts.get(part, 0.0) / counts.total
        if weight > _MAX_WEIGHT:
            self._rescale(counts, weight, now)
        return share

    def count_parts(self, service: str) -> int:
        """Return the number of parts that are counted."""
        counts = self._services.get(service)
        return 0 if counts is None else len(counts.parts)

    def _rescale(self, counts: _PartCounts, weight: float, now: float) -> None:
        counts.started_at = now
        counts.total /= weight
        counts.parts = {
            part: count / weight
            for part, count in counts.parts.items()
            if count > _MIN_COUNT * weight
        }


def _drop_rarest(counts: _PartCounts) -> None:
    kept = sorted(counts.parts, key=counts.parts.__getitem__, reverse=True)
    counts.parts = {
        part: counts.parts[part] for part in kept[: _MAX_PARTS // 2]
    }
