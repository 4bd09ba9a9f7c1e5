"""Count started requests by team and usage window of wall-clock time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["UsageCounts", "WindowCounts"]

# Requests by window number and team.
WindowCounts = dict[int, dict[str, int]]

# Together longer than a report may be delayed.
_KEPT_WINDOWS = 5


class UsageCounts:
    """Counts this daemon's started requests by window and team."""

    def __init__(
        self, window_s: float, read_clock: Callable[[], float] = time.time
    ) -> None:
        self._window_s = window_s
        self._read_clock = read_clock
        self._counts: WindowCounts = {}

    def find_window(self) -> int:
        """Return the number of the current window."""
        return int(self._read_clock() // self._window_s)

    def find_age_s(self, window: int) -> float:
        """Return the seconds since a window ended; negative before."""
        return self._read_clock() - (window + 1) * self._window_s

    def note_begin(self, team: str) -> int:
        """Count one started request; return its window."""
        window = self.find_window()
        teams = self._counts.setdefault(window, {})
        teams[team] = teams.get(team, 0) + 1
        self._drop_old(window)
        return window

    def take_back(self, team: str, window: int) -> None:
        """Subtract a request that turned out not to have run."""
        teams = self._counts.get(window)
        if teams is not None and teams.get(team, 0) > 0:
            teams[team] -= 1

    def list_counts(self) -> WindowCounts:
        """Return the counts of all windows kept."""
        return self._counts

    def _drop_old(self, window: int) -> None:
        for old in [w for w in self._counts if w < window - _KEPT_WINDOWS]:
            del self._counts[old]
