"""Estimate how long a stream still takes, from streams that have ended."""

from __future__ import annotations

import dataclasses
import math

__all__ = ["StreamLengths", "StreamProgress"]

# Counted in streams and not in time, so that an idle daemon keeps its estimate.
_MAX_WEIGHT_STREAMS = 50.0
# A mean over fewer would follow a single short stream.
_MIN_STREAMS = 5.0
# Over fewer events a stream's own pace is mostly the jitter of one step.
_MIN_EVENTS_FOR_PACE = 4


@dataclasses.dataclass(frozen=True)
class StreamProgress:
    """Progress of one stream.

    Attributes:
        tokens_out: Maximum length of the answer in tokens; None if unknown.
        events: Events delivered so far, over all its runners.
        events_here: Those of them that the current runner has sent.
        elapsed_s: Seconds since the current runner's first event.
    """

    tokens_out: int | None
    events: int
    events_here: int
    elapsed_s: float


@dataclasses.dataclass
class _LengthSums:
    """Sums over streams; older streams lose weight as new ones are added."""

    streams: float = 0.0
    tokens: float = 0.0
    events: float = 0.0
    generation_s: float = 0.0

    def add(self, tokens: int, events: int, generation_s: float) -> None:
        """Add one stream."""
        factor = min(1.0, _MAX_WEIGHT_STREAMS / (self.streams + 1))
        self.streams = factor * self.streams + 1
        self.tokens = factor * self.tokens + tokens
        self.events = factor * self.events + events
        self.generation_s = factor * self.generation_s + generation_s


class StreamLengths:
    """Events for each token of the limit, and their pace, by service."""

    def __init__(self) -> None:
        self._sums: dict[str, _LengthSums] = {}

    def note(
        self, service: str, tokens_out: int, events: int, generation_s: float
    ) -> None:
        """Record a stream that one runner has sent from begin to end.

        Args:
            service: Service of the runner.
            tokens_out: Maximum length of the answer in tokens.
            events: Events of the stream.
            generation_s: Seconds from the first event to the end.
        """
        sums = self._sums.setdefault(service, _LengthSums())
        sums.add(tokens_out, events, generation_s)

    def find_events(self, service: str, tokens_out: int | None) -> float | None:
        """Return the expected events of a stream; None if too few ended."""
        sums = self._sums.get(service)
        if tokens_out is None or sums is None or sums.streams < _MIN_STREAMS:
            return None
        return tokens_out * sums.events / sums.tokens if sums.tokens else None

    def find_remaining_s(self, service: str, progress: StreamProgress) -> float:
        """Return the expected seconds to a stream's end.

        The stream's own pace counts as soon as there is one, since engines of
        one service differ in speed.

        Returns:
            Seconds; infinity if too few streams have ended.
        """
        expected = self.find_events(service, progress.tokens_out)
        sums = self._sums.get(service)
        if expected is None or sums is None or not sums.events:
            return math.inf
        event_s = sums.generation_s / sums.events
        if progress.events_here >= _MIN_EVENTS_FOR_PACE:
            event_s = progress.elapsed_s / (progress.events_here - 1)
        return max(1.0, expected - progress.events) * event_s
