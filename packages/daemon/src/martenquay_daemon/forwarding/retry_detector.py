"""Tell which requests come for the second time, by the time they have left."""

from __future__ import annotations

import trio

__all__ = ["RetryDetector"]

# The longest time of a route's callers is learnt anew after so long, for
# operators may shorten it.
_RELEARN_AFTER_S = 60.0


class RetryDetector:
    """How long the callers of each route wait in all.

    Each attempt of a caller has an id of its own, but the time that it says it
    will wait grows less.
    """

    def __init__(self) -> None:
        self._max_budgets: dict[str, tuple[float, float]] = {}

    def find_elapsed(self, route: str, remaining_s: float | None) -> float:
        """Return for how long a caller has likely been trying, in seconds.

        Args:
            route: The request's route.
            remaining_s: The time that the caller says it will wait; None if it
                does not say.
        """
        if remaining_s is None:
            return 0.0
        now = trio.current_time()
        max_budget_s, noted_at = self._max_budgets.get(route, (0.0, now))
        if remaining_s >= max_budget_s or now - noted_at > _RELEARN_AFTER_S:
            max_budget_s = remaining_s
            self._max_budgets[route] = (remaining_s, now)
        return max(0.0, max_budget_s - remaining_s)
