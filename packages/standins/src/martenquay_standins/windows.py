"""Count events in a sliding time window."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["find_peak_count"]


def find_peak_count(times: Sequence[float], window_s: float) -> int:
    """Return the largest number of events within any window of `window_s`.

    Args:
        times: Times of the events in seconds, ascending.
        window_s: Length of the window.
    """
    peak = 0
    oldest = 0
    for last, time_s in enumerate(times):
        while times[oldest] <= time_s - window_s:
            oldest += 1
        peak = max(peak, last - oldest + 1)
    return peak
