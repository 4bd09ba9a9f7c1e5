"""Measure the prompt tokens that callers bring, by service."""

from __future__ import annotations

import dataclasses
import math

import trio

__all__ = ["MEMORY_S", "DemandMeter"]

# Long against the gaps between requests, short against the booting of a
# runner and the waves of a day.
MEMORY_S = 8.0


@dataclasses.dataclass
class _Rate:
    """What comes for one service, a second.

    Attributes:
        noted_at: When the figures held, in trio's time.
        tokens: Prompt tokens.
        requests: Requests.
    """

    noted_at: float
    tokens: float = 0.0
    requests: float = 0.0

    def fade(self) -> None:
        """Bring the figures to now."""
        now = trio.current_time()
        kept = math.exp((self.noted_at - now) / MEMORY_S)
        self.noted_at = now
        self.tokens *= kept
        self.requests *= kept


class DemandMeter:
    """Rates that fade, in tokens a second."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def note(self, service: str, tokens: int) -> None:
        """Note tokens that an engine of the service has to read."""
        rate = self._rates.setdefault(service, _Rate(trio.current_time()))
        rate.fade()
        rate.tokens += tokens / MEMORY_S
        rate.requests += 1 / MEMORY_S

    def list_rates(self) -> dict[str, float]:
        """Return the rates now."""
        for rate in self._rates.values():
            rate.fade()
        return {
            service: round(rate.tokens, 1)
            for service, rate in self._rates.items()
        }

    def find_size(self, service: str) -> float:
        """Return the tokens of a request lately; 0 if there was none."""
        rate = self._rates.get(service)
        if rate is None or rate.requests <= 0:
            return 0.0
        return rate.tokens / rate.requests
