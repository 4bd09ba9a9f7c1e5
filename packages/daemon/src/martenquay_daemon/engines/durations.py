"""Estimate the duration of streams, by service."""

from __future__ import annotations

import collections
import dataclasses

__all__ = ["StreamDurations"]

# Counted in streams and not in time, so that an idle daemon keeps its estimate.
_MAX_WEIGHT_STREAMS = 50.0
# A mean over fewer would follow a single short stream.
_MIN_STREAMS = 5.0
# The slowest and the longest stream are looked for among so many.
_RECENT_STREAMS = 50
# The pace of fewer events follows a single pause.
_MIN_EVENTS = 5


@dataclasses.dataclass(frozen=True)
class _Stream:
    """A completed stream."""

    first_event_s: float
    tokens: int
    generation_s: float
    events: int


@dataclasses.dataclass
class _StreamSums:
    """Sums over streams; older streams lose weight as new ones are added."""

    streams: float = 0.0
    first_event_s: float = 0.0
    tokens: float = 0.0
    generation_s: float = 0.0
    events: float = 0.0
    recent: collections.deque[_Stream] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_RECENT_STREAMS)
    )

    def add(self, stream: _Stream) -> None:
        """Add one stream."""
        factor = min(1.0, _MAX_WEIGHT_STREAMS / (self.streams + 1))
        self.streams = factor * self.streams + 1
        self.first_event_s = factor * self.first_event_s + stream.first_event_s
        self.tokens = factor * self.tokens + stream.tokens
        self.generation_s = factor * self.generation_s + stream.generation_s
        self.events = factor * self.events + stream.events
        self.recent.append(stream)


class StreamDurations:
    """Stream durations by service, from this daemon's results."""

    def __init__(self) -> None:
        self._sums: dict[str, _StreamSums] = {}

    def note(
        self,
        service: str,
        first_event_s: float,
        tokens: int,
        generation_s: float,
        events: int = 0,
    ) -> None:
        """Record a completed stream.

        Args:
            service: Service of the runner.
            first_event_s: Seconds from sending the request to the first event.
            tokens: Token limit of the request.
            generation_s: Seconds from the first event to the end.
            events: Number of events; 0 if it is not known.
        """
        self._sums.setdefault(service, _StreamSums()).add(
            _Stream(first_event_s, tokens, generation_s, events)
        )

    def find_mean_s(self, service: str, tokens: int) -> float | None:
        """Return the mean time from sending a request to the end of its stream.

        Args:
            service: Service of the runner.
            tokens: Token limit of the request.

        Returns:
            Seconds; None if too few streams have completed.
        """
        sums = self._find_sums(service)
        if sums is None:
            return None
        token_s = sums.generation_s / sums.tokens
        return sums.first_event_s / sums.streams + tokens * token_s

    def find_slowest_s(self, service: str, tokens: int) -> float | None:
        """Return how long a stream took at the slowest recent paces.

        Args:
            service: Service of the runner.
            tokens: Token limit of the request.

        Returns:
            Seconds; None if too few streams have completed, or none of the
            recent ones was as long: a longer one may have another pace.
        """
        sums = self._find_sums(service)
        if sums is None or tokens > max(one.tokens for one in sums.recent):
            return None
        first_event_s = max(one.first_event_s for one in sums.recent)
        token_s = max(one.generation_s / one.tokens for one in sums.recent)
        return first_event_s + tokens * token_s

    def find_slowdown(
        self, service: str, tokens: int, events: int, generating_s: float
    ) -> float:
        """Return how much slower than the mean a stream in progress is.

        Args:
            service: Service of the runner.
            tokens: Token limit of the request.
            events: Number of its events so far.
            generating_s: Seconds since the first event.

        Returns:
            A factor; at least 1, which is also the one while none is known.
        """
        sums = self._find_sums(service)
        if sums is None or sums.generation_s <= 0:
            return 1.0
        factors = [1.0]
        if tokens:
            mean_s = tokens * sums.generation_s / sums.tokens
            factors.append(generating_s / mean_s)
        if events >= _MIN_EVENTS and sums.events:
            event_s = sums.generation_s / sums.events
            factors.append(generating_s / (events * event_s))
        return max(factors)

    def _find_sums(self, service: str) -> _StreamSums | None:
        """Return the service's sums if they are over enough streams."""
        sums = self._sums.get(service)
        if sums is None or sums.streams < _MIN_STREAMS or sums.tokens <= 0:
            return None
        return sums
