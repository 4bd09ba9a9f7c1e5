"""Measure the rate of prompt tokens that arrive, by service."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["DECAY_TIME_S", "DemandMeter"]

# Longer than the gaps between requests, shorter than a cold start of a runner.
DECAY_TIME_S = 8.0
# A mean over less time is not scaled up further: three requests with the
# largest prompts (36,000 tokens together) then count as 38,000 tokens/s, for
# which three engines of 23,000 tokens/s are needed; over 0.25 s they would need
# ten.
_MIN_WINDOW_S = 1.0
# The shortest window plus the time that rates of other daemons may take to
# arrive by gossip.
_SETTLE_S = 2.0


@dataclasses.dataclass
class _DemandRate:
    """Exponentially decaying arrival rates of one service.

    Attributes:
        started_at: When this daemon or the fleet saw the first request, in
            trio's time.
        updated_at: When the rates were last decayed, in trio's time.
        tokens: Prompt tokens per second, too low while the window is young.
        requests: Requests per second, too low alike.
    """

    started_at: float
    updated_at: float
    tokens: float = 0.0
    requests: float = 0.0

    def decay(self) -> None:
        """Decay the rates up to now."""
        now = trio.current_time()
        factor = math.exp((self.updated_at - now) / DECAY_TIME_S)
        self.updated_at = now
        self.tokens *= factor
        self.requests *= factor

    def find_tokens_per_s(self) -> float:
        """Return the token rate, corrected for the age of the window."""
        window_s = max(_MIN_WINDOW_S, self.find_age_s())
        return self.tokens / -math.expm1(-window_s / DECAY_TIME_S)

    def find_age_s(self) -> float:
        """Return the seconds since the window began."""
        return trio.current_time() - self.started_at


class DemandMeter:
    """Arrival rates of prompt tokens by service.

    The decaying mean starts at 0, so it is divided by the part of its window
    that has passed. A window begins with the first request that this daemon or
    the fleet saw: if each daemon's began with its own first request, the sum
    over daemons with few requests would be too high.
    """

    def __init__(self) -> None:
        self._rates: dict[str, _DemandRate] = {}

    def note(self, service: str, tokens: int) -> None:
        """Record the uncached prompt tokens of a request."""
        rate = self._start_window(service)
        rate.decay()
        rate.tokens += tokens / DECAY_TIME_S
        rate.requests += 1 / DECAY_TIME_S

    def note_fleet_demand(self, services: Iterable[str]) -> None:
        """Begin the windows of services that other daemons have demand for."""
        for service in services:
            self._start_window(service)

    def list_rates(self) -> dict[str, float]:
        """Return the current rates in tokens per second."""
        for rate in self._rates.values():
            rate.decay()
        return {
            service: round(rate.find_tokens_per_s(), 1)
            for service, rate in self._rates.items()
            if rate.tokens > 0
        }

    def find_mean_tokens(self, service: str) -> float:
        """Return the recent mean tokens per request; 0 without requests."""
        rate = self._rates.get(service)
        if rate is None or rate.requests <= 0:
            return 0.0
        return rate.tokens / rate.requests

    def find_lag_s(self, service: str) -> float:
        """Return the mean age of what the rate averages, in seconds.

        A steadily rising rate lags behind by this much. It grows from half of
        a young window to the decay time.
        """
        rate = self._rates.get(service)
        if rate is None:
            return 0.0
        age_s = max(_MIN_WINDOW_S, rate.find_age_s())
        # Decaying exponentials, as growing ones overflow after 95 minutes.
        passed = age_s / DECAY_TIME_S
        return DECAY_TIME_S - age_s * math.exp(-passed) / -math.expm1(-passed)

    def is_settled(self, service: str) -> bool:
        """Return whether a rise of the rate is a rise of the demand.

        A young window's rate, and the sum over daemons, rise by themselves.
        """
        rate = self._rates.get(service)
        return rate is not None and rate.find_age_s() >= _SETTLE_S

    def _start_window(self, service: str) -> _DemandRate:
        now = trio.current_time()
        return self._rates.setdefault(service, _DemandRate(now, now))
