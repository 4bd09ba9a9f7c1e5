"""Estimate whether a new request can finish before a graceful stop ends."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core.serving import catalog

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.engines import durations

__all__ = ["NewRequest", "StopWindow"]

# Longest duration of a stream as a multiple of the mean for its token count.
# Generous, since a truncated stream costs its caller more than a rejected one:
# of 2,467 chats 1% took more than 2.3 times the mean, of 8,514 streams of all
# lengths 5% more than 2.6 times.
_MAX_DURATION_FACTOR = 3.0


@dataclasses.dataclass(frozen=True)
class NewRequest:
    """A request that is not sent to a runner yet.

    Attributes:
        service: The service that it is for.
        kind: The kind of its route.
        max_tokens: Limit of generated tokens; None if the request has none.
        time_left_s: Time until its deadline.
    """

    service: str
    kind: catalog.CallKind
    max_tokens: int | None
    time_left_s: float


class StopWindow:
    """Time that a graceful stop leaves for new requests."""

    def __init__(self, stream_durations: durations.StreamDurations) -> None:
        self._stream_durations = stream_durations
        self._find_deadline: Callable[[], float] | None = None
        self._began_at = math.inf

    def begin(self, find_deadline: Callable[[], float]) -> None:
        """Start the stop.

        Args:
            find_deadline: Returns when all requests must have ended, on trio's
                clock; operators may change it during the stop.
        """
        self._find_deadline = find_deadline
        self._began_at = trio.current_time()

    def find_age(self) -> float | None:
        """Return how long ago the stop began in seconds; None without one."""
        if self._find_deadline is None:
            return None
        return trio.current_time() - self._began_at

    def find_overrun(self, request: NewRequest) -> float:
        """Return by how many seconds a request may outlast the stop.

        Args:
            request: A request that is not sent to a runner yet.

        Returns:
            Seconds; 0 if there is no stop or the request fits into it.
        """
        if self._find_deadline is None:
            return 0.0
        max_duration_s = self._estimate_max_duration(request)
        return max(
            0.0, trio.current_time() + max_duration_s - self._find_deadline()
        )

    def _estimate_max_duration(self, request: NewRequest) -> float:
        """Return the longest expected duration of a request in seconds."""
        is_stream = request.kind is catalog.CallKind.STREAM
        if not is_stream or request.max_tokens is None:
            return request.time_left_s
        mean_s = self._stream_durations.find_mean_s(
            request.service, request.max_tokens
        )
        if mean_s is None:
            return request.time_left_s
        return min(request.time_left_s, _MAX_DURATION_FACTOR * mean_s)
