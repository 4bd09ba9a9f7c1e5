"""Tell which requests still come to their end before a planned stop."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core.serving import catalog

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.engines import durations

__all__ = ["LastRequest", "StopWindow"]

# How many times the mean of streams that ask for as many tokens one may take.
# Of 2,467 chats of some seconds on a day of high load one in a hundred took
# more than 2.3 times it, of 8,514 streams of all lengths one in twenty 2.6
# times. A stream that is cut is lost with all that its caller has waited; one
# that is turned away begins elsewhere within milliseconds.
_LONGEST_FACTOR = 3.0


@dataclasses.dataclass(frozen=True)
class LastRequest:
    """A request that comes while this daemon may be stopping.

    Attributes:
        service: Whose runner is to answer it.
        kind: Of its route.
        tokens: The most tokens that it asks for; None if it does not say.
        left_s: Until its caller or its route gives it up.
    """

    service: str
    kind: catalog.CallKind
    tokens: int | None
    left_s: float


class StopWindow:
    """How much time a stop leaves, and who can use it."""

    def __init__(self, streams: durations.StreamDurations) -> None:
        self._streams = streams
        self._find_end: Callable[[], float] | None = None

    def begin(self, find_end: Callable[[], float]) -> None:
        """Begin to stop.

        Args:
            find_end: Returns when all has to be over, in trio's time;
                operators may move it.
        """
        self._find_end = find_end

    def find_overrun(self, request: LastRequest) -> float:
        """Return by how much a request may outlast the stop.

        Args:
            request: The request, not yet sent to anybody.

        Returns:
            Seconds; 0 if there is no stop or its time suffices.
        """
        if self._find_end is None:
            return 0.0
        longest_s = self._find_longest(request)
        return max(0.0, trio.current_time() + longest_s - self._find_end())

    def _find_longest(self, request: LastRequest) -> float:
        """Return the longest time that an answer takes, as far as known."""
        is_stream = request.kind is catalog.CallKind.STREAM
        if not is_stream or request.tokens is None:
            return request.left_s
        mean_s = self._streams.find_mean_s(request.service, request.tokens)
        if mean_s is None:
            return request.left_s
        return min(request.left_s, _LONGEST_FACTOR * mean_s)
