"""Count a request as begun, and take that back if it was not."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import catalog
    from martenquay_daemon.duties import usage_counts

__all__ = ["UsageEntry"]


class UsageEntry:
    """A request counted as begun."""

    def __init__(
        self, usage: usage_counts.UsageCounts, team: catalog.Team | None
    ) -> None:
        self._usage = usage
        self._team = team
        self._window: int | None = None

    def count(self) -> None:
        """Count it."""
        if self._team is not None:
            self._window = self._usage.note_begin(self._team.name)

    def undo(self) -> None:
        """Take it back if it was counted."""
        if self._team is not None and self._window is not None:
            self._usage.take_back(self._team.name, self._window)
