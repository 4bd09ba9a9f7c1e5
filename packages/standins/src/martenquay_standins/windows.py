"""Count what falls into sliding windows of time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["count_most"]


def count_most(times: Sequence[float], window_s: float) -> int:
    """Return the most of the times, in order, that fall into one window."""
    most = 0
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
