"""Estimate the duration of streams, by service."""

from __future__ import annotations

import dataclasses

__all__ = ["StreamDurations"]

# Counted in streams and not in time, so that an idle daemon keeps its estimate.
_MAX_WEIGHT_STREAMS = 50.0
# A mean over fewer would follow a single short stream.
_MIN_STREAMS = 5.0


@dataclasses.dataclass
class _StreamSums:
    """Sums over streams; older streams lose weight as new ones are added."""

    streams: float = 0.0
    first_event_s: float = 0.0
    tokens: float = 0.0
    generation_s: float = 0.0

    def add(
        self, first_event_s: float, tokens: int, generation_s: float
    ) -> None:
        """Add one stream."""
        factor = min(1.0, _MAX_WEIGHT_STREAMS / (self.streams + 1))
        self.streams = factor * self.streams + 1
        self.first_event_s = factor * self.first_event_s + first_event_s
        self.tokens = factor * self.tokens + tokens
        self.generation_s = factor * self.generation_s + generation_s


class StreamDurations:
    """Mean stream durations by service, from this daemon's results."""

    def __init__(self) -> None:
        self._sums: dict[str, _StreamSums] = {}

    def note(
        self,
        service: str,
        first_event_s: float,
        tokens: int,
        generation_s: float,
    ) -> None:
        """Record a completed stream.

        Args:
            service: Service of the runner.
            first_event_s: Seconds from sending the request to the first event.
            tokens: Token limit of the request.
            generation_s: Seconds from the first event to the end.
        """
        self._sums.setdefault(service, _StreamSums()).add(
            first_event_s, tokens, generation_s
        )

    def find_mean_s(self, service: str, tokens: int) -> float | None:
        """Return the mean time from sending a request to the end of its stream.

        Args:
            service: Service of the runner.
            tokens: Token limit of the request.

        Returns:
            Seconds; None if too few streams have completed.
        """
        sums = self._sums.get(service)
        if sums is None or sums.streams < _MIN_STREAMS or sums.tokens <= 0:
            return None
        token_s = sums.generation_s / sums.tokens
        return sums.first_event_s / sums.streams + tokens * token_s
