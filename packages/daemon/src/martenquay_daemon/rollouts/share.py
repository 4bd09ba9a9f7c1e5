"""Bound the canary requests of a version, each daemon by itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ["CanaryBudget"]

# The part of a service's requests that a version gets until it is judged. The
# users allow a tenth and 50 more, over all daemons; what is left over is for
# requests that a daemon has counted and that never reach a runner.
_CANARY_FRACTION = 0.08
# Beside it the daemons together get so many: where requests are few, a part of
# them is too few to judge by. All of them may start anew once, and have them
# again.
_EXTRA_REQUESTS = 20.0
# Credit beyond this is dropped, or a daemon that had no runner of the version
# for a while would send it all at once.
_MAX_CREDIT = 2.0


class CanaryBudget:
    """Credit that each request earns and each canary request spends.

    The bound holds over any number of daemons without a word between them, for
    each spends no more than a part of its own requests; one that starts anew
    or is cut off does too. A daemon of a large fleet earns less than one
    canary request in an order's time, so it draws where to round up: over all
    of them as much is spent as is earned.
    """

    def __init__(self, rng: random.Random, daemons: int) -> None:
        """Begin with this daemon's part of what is not earned.

        Args:
            rng: Draws where to round up.
            daemons: How many there are.
        """
        self._rng = rng
        self._credit = _EXTRA_REQUESTS / max(1, daemons)
        self._threshold = rng.random()

    def earn(self) -> None:
        """Earn the credit of one request."""
        self._credit = max(
            self._credit, min(_MAX_CREDIT, self._credit + _CANARY_FRACTION)
        )

    def try_spend(self) -> bool:
        """Spend one canary request if there is credit for it."""
        if self._credit < self._threshold:
            return False
        self._credit -= 1.0
        self._threshold = self._rng.random()
        return True
