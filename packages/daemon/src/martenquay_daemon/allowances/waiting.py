"""Track what requests that wait for quota transfers lack."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_daemon.allowances import terms

__all__ = ["WaitingRequests", "find_overdraft_limit"]

# Per step of lower priority, this part of the overdraft is kept for requests of
# higher priority.
_RESERVE_STEP_RATIO = 0.1
_MAX_RESERVE_RATIO = 0.3
# Until a transfer has arrived, other requests spend what comes here.
_TRANSFER_S = 0.15


def find_overdraft_limit(
    request: terms.AdmissionRequest, overdraft: float
) -> float:
    """Return how far a request may overdraw, in units.

    Args:
        request: The request.
        overdraft: How far the most urgent requests may overdraw, in units.
    """
    reserved = min(_MAX_RESERVE_RATIO, _RESERVE_STEP_RATIO * request.reserve)
    return (1 - reserved) * overdraft


class WaitingRequests:
    """One team's requests that wait for transfers at one daemon.

    What they lack is derived from the current level. The figure of the moment
    at which a request began to wait is soon wrong: other requests spend units
    meanwhile, and transfers arrive in several parts.
    """

    def __init__(self) -> None:
        self._requests: list[terms.AdmissionRequest] = []

    def add(self, request: terms.AdmissionRequest) -> None:
        """Add a request that begins to wait."""
        self._requests.append(request)

    def remove(self, request: terms.AdmissionRequest) -> None:
        """Remove a request that was added."""
        self._requests.remove(request)

    def find_shortage(
        self, level: float, overdraft: float, demand: float
    ) -> float:
        """Return the units to transfer for all waiting requests.

        Args:
            level: Units that may be spent here; negative if overdrawn.
            overdraft: How far below 0 the level may go, in units.
            demand: What callers ask here on average, in units per second.
        """
        if not self._requests:
            return 0.0
        units = sum(one.units for one in self._requests)
        usable = min(
            find_overdraft_limit(one, overdraft) for one in self._requests
        )
        # Only the most urgent requests pass without a positive level.
        has_lower = any(one.reserve > 0 for one in self._requests)
        least = 1.0 - level if has_lower else 0.0
        missing = max(least, units - level - usable)
        if missing <= 0:
            return 0.0
        return missing + _TRANSFER_S * demand
