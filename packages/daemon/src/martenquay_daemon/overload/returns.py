"""Choose when rejected callers should return, in the order of rejection."""

from __future__ import annotations

import dataclasses
import math

__all__ = ["ReturnSchedule"]

_DECAY_TIME_S = 4.0
# Callers cut a longer Retry-After to this share of the time they have left.
_MAX_WAIT_SHARE = 1 / 3
# At least one round trip, and a report of the load.
_MIN_WAIT_S = 0.1


@dataclasses.dataclass
class _AdmittedRate:
    """Decayed rate at which requests were admitted here, in tokens."""

    updated_at: float
    tokens: float = 0.0
    last_return_at: float = 0.0

    def decay(self, now: float) -> None:
        self.tokens *= math.exp((self.updated_at - now) / _DECAY_TIME_S)
        self.updated_at = now


class ReturnSchedule:
    """Times at which the callers rejected by this daemon return.

    Each daemon schedules the callers that it rejects at the rate at which
    requests of their urgency are admitted here. All daemons see the same
    level, so the whole fleet's callers return at the rate of the capacity
    that their urgency gets.
    """

    def __init__(self) -> None:
        self._rates: dict[tuple[str, int], _AdmittedRate] = {}

    def note_admitted(
        self, service: str, urgency: int, tokens: int, now: float
    ) -> None:
        """Record the uncached prompt tokens of an admitted request."""
        rate = self._find_rate(service, urgency, now)
        rate.tokens += tokens

    def schedule(
        self,
        service: str,
        urgency: int,
        tokens: int,
        drain_s: float,
        remaining_s: float,
        now: float,
    ) -> float:
        """Return after which time a rejected caller should return.

        Args:
            service: The service that is overloaded.
            urgency: Urgency of the request.
            tokens: Uncached prompt tokens of the request.
            drain_s: Seconds until the present queue is short enough.
            remaining_s: Seconds until the request's deadline.
            now: The current time in seconds.

        Returns:
            Seconds; at most the part of the remaining time up to which callers
            honour it.
        """
        longest_s = max(0.0, remaining_s * _MAX_WAIT_SHARE)
        rate = self._find_rate(service, urgency, now)
        tokens_per_s = rate.tokens / _DECAY_TIME_S
        gap_s = tokens / tokens_per_s if tokens_per_s > 0 else longest_s
        earliest = now + max(_MIN_WAIT_S, drain_s)
        return_at = max(earliest, rate.last_return_at + gap_s)
        # Beyond the longest wait the order of rejection is kept by itself.
        return_at = min(return_at, now + longest_s)
        rate.last_return_at = max(rate.last_return_at, return_at)
        return min(return_at - now, longest_s)

    def _find_rate(
        self, service: str, urgency: int, now: float
    ) -> _AdmittedRate:
        rate = self._rates.setdefault((service, urgency), _AdmittedRate(now))
        rate.decay(now)
        return rate
