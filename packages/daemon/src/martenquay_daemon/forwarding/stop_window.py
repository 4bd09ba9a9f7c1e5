"""Tell which requests still come to their end before a planned stop."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core.serving import catalog

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.engines import lengths

__all__ = ["LastRequest", "StopWindow"]

# How many times the mean of streams that ask for as many tokens one may take.
# Of 2,467 chats of some seconds on a day of high load one in a hundred took
# more than 2.3 times it, of 8,514 streams of all lengths one in twenty 2.6
# times. A stream that is cut is lost with all that its caller has waited; one
# that is turned away begins elsewhere within milliseconds.
_MAX_DURATION_FACTOR = 3.0


@dataclasses.dataclass(frozen=True)
class LastRequest:
    """A request that comes while this daemon may be stopping.

    Attributes:
        service: Whose runner is to answer it.
        kind: Of its route.
        tokens: The most tokens that it asks for; None if it does not say.
        time_left_s: Until its caller or its route gives it up.
    """

    service: str
    kind: catalog.CallKind
    max_tokens: int | None
    time_left_s: float


class StopWindow:
    """How much time a stop leaves, and who can use it."""

    def __init__(self, stream_lengths: lengths.StreamLengths) -> None:
        self._stream_lengths = stream_lengths
        self._find_deadline: Callable[[], float] | None = None

    def begin(self, find_deadline: Callable[[], float]) -> None:
        """Begin to stop.

        Args:
            find_deadline: Returns when all has to be over, in trio's time;
                operators may move it.
        """
        self._find_deadline = find_deadline

    def find_overrun(self, request: LastRequest) -> float:
        """Return by how much a request may outlast the stop.

        Args:
            request: The request, not yet sent to anybody.

        Returns:
            Seconds; 0 if there is no stop or its time suffices.
        """
        if self._find_deadline is None:
            return 0.0
        max_duration_s = self._estimate_max_duration(request)
        return max(
            0.0, trio.current_time() + max_duration_s - self._find_deadline()
        )

    def _estimate_max_duration(self, request: LastRequest) -> float:
        """Return the longest time that an answer takes, as far as known."""
        is_stream = request.kind is catalog.CallKind.STREAM
        if not is_stream or request.max_tokens is None:
            return request.time_left_s
        mean_s = self._stream_lengths.find_mean_s(
            request.service, request.max_tokens
        )
        if mean_s is None:
            return request.time_left_s
        return min(request.time_left_s, _MAX_DURATION_FACTOR * mean_s)
