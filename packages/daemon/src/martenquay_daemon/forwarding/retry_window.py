"""Bound what is sent again to a service, over all daemons together."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RetryBounds", "RetryWindow"]

# Kept free for what this daemon cannot see: requests that arrived late, and
# daemons that start anew and forget what they have spent.
_USABLE_FRACTION = 0.6


@dataclasses.dataclass(frozen=True)
class RetryBounds:
    """How much may be sent again.

    Attributes:
        ratio: Of the requests of the same time.
        window_s: The time over which both are counted.
        slack: Beyond the ratio, for all daemons together.
    """

    ratio: float
    window_s: float
    slack: float


@dataclasses.dataclass
class _Counts:
    requests: collections.deque[float]
    retries: collections.deque[float]


class RetryWindow:
    """Count requests and retries by service in a sliding window.

    Attributes:
        bounds: How much may be sent again; may be replaced.
    """

    def __init__(
        self, bounds: RetryBounds, count_daemons: Callable[[], int]
    ) -> None:
        self.bounds = bounds
        self._count_daemons = count_daemons
        self._services: dict[str, _Counts] = {}

    def count_request(self, service: str) -> None:
        """Note the first time that a request is sent."""
        self._find_counts(service).requests.append(trio.current_time())

    def has_retry_left(self, service: str) -> bool:
        """Tell whether the budget has a repeat, without spending it."""
        counts = self._find_counts(service)
        bounds = self.bounds
        share = bounds.slack / max(1, self._count_daemons())
        allowed = _USABLE_FRACTION * (
            bounds.ratio * len(counts.requests) + share
        )
        return len(counts.retries) + 1 <= allowed

    def try_spend(self, service: str) -> bool:
        """Spend one repeat if the budget has one."""
        if not self.has_retry_left(service):
            return False
        self._find_counts(service).retries.append(trio.current_time())
        return True

    def _find_counts(self, service: str) -> _Counts:
        counts = self._services.get(service)
        if counts is None:
            counts = _Counts(collections.deque(), collections.deque())
            self._services[service] = counts
        oldest = trio.current_time() - self.bounds.window_s
        for times in (counts.requests, counts.retries):
            while times and times[0] < oldest:
                times.popleft()
        return counts
