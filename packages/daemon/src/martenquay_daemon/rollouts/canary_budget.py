"""Limit each daemon's requests to a canary without coordination."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ["CanaryBudget"]

# Fraction of a service's requests for the canary. It stays below the allowed
# tenth, since counted requests may never reach a runner.
_CANARY_FRACTION = 0.08
# Requests in addition, over all daemons, since a fraction of little traffic is
# too few to judge. Restarted daemons get them again.
_EXTRA_REQUESTS = 20.0
# Without this cap a daemon that had no canary runner for a while would send all
# its credit at once.
_MAX_CREDIT = 2.0


class CanaryBudget:
    """Credit that requests earn and canary requests spend.

    Each daemon spends a fraction of its own requests only, so the total is
    bounded for any number of daemons, also if some restart or are partitioned.
    In a large fleet a daemon earns less than one canary request, so it rounds
    up at random: the fleet then spends as much as it earns on average.
    """

    def __init__(self, rng: random.Random, daemons: int) -> None:
        """Start with this daemon's share of the additional requests.

        Args:
            rng: Draws the threshold of random rounding.
            daemons: Number of daemons in the fleet.
        """
        self._rng = rng
        self._credit = _EXTRA_REQUESTS / max(1, daemons)
        self._threshold = rng.random()

    def earn(self) -> None:
        """Add the credit of one request."""
        self._credit = max(
            self._credit, min(_MAX_CREDIT, self._credit + _CANARY_FRACTION)
        )

    def try_spend(self) -> bool:
        """Spend one canary request; return whether credit sufficed."""
        if self._credit < self._threshold:
            return False
        self._credit -= 1.0
        self._threshold = self._rng.random()
        return True
