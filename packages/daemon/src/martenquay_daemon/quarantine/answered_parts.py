"""Remember which parts of prompts runners have answered lately."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["AnsweredParts"]

# Long enough for a part that is asked for now and then, and short enough for
# one that begins to crash runners after an upgrade of theirs.
_MAX_AGE_S = 20.0
_MAX_PARTS = 20_000


class AnsweredParts:
    """Parts with which an answer has lately begun at this daemon."""

    def __init__(
        self, read_clock: Callable[[], float], max_parts: int = _MAX_PARTS
    ) -> None:
        self._read_clock = read_clock
        self._max_parts = max_parts
        # Ordered by the last answer, the oldest first.
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many parts are remembered."""
        return len(self._answered_at)

    def note(self, parts: Iterable[str]) -> None:
        """Record that a runner is answering a request with these parts."""
        now = self._read_clock()
        for part in parts:
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > self._max_parts:
            self._answered_at.popitem(last=False)

    def has(self, part: str) -> bool:
        """Return whether a part was answered lately."""
        answered_at = self._answered_at.get(part)
        return (
            answered_at is not None
            and self._read_clock() - answered_at <= _MAX_AGE_S
        )
