"""Measure the rate of prompt tokens that arrive, by service."""

from __future__ import annotations

import dataclasses
import math

import trio

__all__ = ["DECAY_TIME_S", "DemandMeter"]

# Longer than the gaps between requests, shorter than a cold start of a runner.
DECAY_TIME_S = 8.0


@dataclasses.dataclass
class _DemandRate:
    """Exponentially decaying arrival rates of one service.

    Attributes:
        updated_at: When the rates were last decayed, in trio's time.
        tokens: Prompt tokens per second.
        requests: Requests per second.
    """

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


class DemandMeter:
    """Arrival rates of prompt tokens by service."""

    def __init__(self) -> None:
        self._rates: dict[str, _DemandRate] = {}

    def note(self, service: str, tokens: int) -> None:
        """Record the uncached prompt tokens of a request."""
        rate = self._rates.setdefault(service, _DemandRate(trio.current_time()))
        rate.decay()
        rate.tokens += tokens / DECAY_TIME_S
        rate.requests += 1 / DECAY_TIME_S

    def list_rates(self) -> dict[str, float]:
        """Return the current rates in tokens per second."""
        for rate in self._rates.values():
            rate.decay()
        return {
            service: round(rate.tokens, 1)
            for service, rate in self._rates.items()
        }

    def find_mean_tokens(self, service: str) -> float:
        """Return the recent mean tokens per request; 0 without requests."""
        rate = self._rates.get(service)
        if rate is None or rate.requests <= 0:
            return 0.0
        return rate.tokens / rate.requests
