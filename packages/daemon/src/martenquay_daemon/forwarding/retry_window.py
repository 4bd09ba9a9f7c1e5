"""Retry budget by service, shared evenly among all daemons."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RetryBounds", "RetryWindow"]

# The rest covers requests that arrive late, and restarted daemons that have
# lost their counts.
_USABLE_FRACTION = 0.6


@dataclasses.dataclass(frozen=True)
class RetryBounds:
    """Size of the retry budget of each service.

    Attributes:
        ratio: Retries allowed per request within the window.
        window_s: Length of the sliding window.
        slack: Retries allowed beyond the ratio, over all daemons together.
    """

    ratio: float
    window_s: float
    slack: float


@dataclasses.dataclass
class _Counts:
    requests: collections.deque[float]
    retries: collections.deque[float]


class RetryWindow:
    """Counts requests and retries by service in a sliding window.

    Attributes:
        bounds: Size of the budget; may be replaced at any time.
    """

    def __init__(
        self, bounds: RetryBounds, count_daemons: Callable[[], int]
    ) -> None:
        self.bounds = bounds
        self._count_daemons = count_daemons
        self._services: dict[str, _Counts] = {}

    def count_request(self, service: str) -> None:
        """Count a request, once for all its attempts."""
        self._find_counts(service).requests.append(trio.current_time())

    def has_retry_left(self, service: str) -> bool:
        """Return whether the budget allows a retry, without spending it."""
        counts = self._find_counts(service)
        bounds = self.bounds
        share = bounds.slack / max(1, self._count_daemons())
        allowed = _USABLE_FRACTION * (
            bounds.ratio * len(counts.requests) + share
        )
        return len(counts.retries) + 1 <= allowed

    def try_spend(self, service: str) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
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
