"""Estimate from time budgets how long callers have been retrying."""

from __future__ import annotations

import trio

__all__ = ["RetryDetector"]

# Callers' budgets may be shortened, so the maximum of a route expires.
_RELEARN_AFTER_S = 60.0


class RetryDetector:
    """Remembers the largest time budget of each route's callers.

    A caller sends each retry under a new id, but with the rest of its original
    budget, so a smaller budget shows for how long it has been trying.
    """

    def __init__(self) -> None:
        self._max_budgets: dict[str, tuple[float, float]] = {}

    def find_elapsed(self, route: str, remaining_s: float | None) -> float:
        """Return the estimated time since a caller's first try, in seconds.

        Args:
            route: Name of the request's route.
            remaining_s: The time budget in the request; None if it has none.
        """
        if remaining_s is None:
            return 0.0
        now = trio.current_time()
        max_budget_s, noted_at = self._max_budgets.get(route, (0.0, now))
        if remaining_s >= max_budget_s or now - noted_at > _RELEARN_AFTER_S:
            max_budget_s = remaining_s
            self._max_budgets[route] = (remaining_s, now)
        return max(0.0, max_budget_s - remaining_s)
