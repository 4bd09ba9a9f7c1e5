"""Count a request in the usage report, and undo that if it did not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import catalog
    from martenquay_daemon.duties import usage_counts

__all__ = ["UsageEntry"]


class UsageEntry:
    """One request in the usage counts of its team."""

    def __init__(
        self, usage: usage_counts.UsageCounts, team: catalog.Team | None
    ) -> None:
        self._usage = usage
        self._team = team
        self._window: int | None = None

    def count(self) -> None:
        """Count the request in the current window."""
        if self._team is not None:
            self._window = self._usage.note_begin(self._team.name)

    def undo(self) -> None:
        """Remove the request from its window, if it was counted."""
        if self._team is not None and self._window is not None:
            self._usage.take_back(self._team.name, self._window)
