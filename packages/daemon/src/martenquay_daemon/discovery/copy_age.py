"""Track how old this daemon's copy of a topic is."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CopyAge", "AgeEvent"]


class AgeEvent(enum.StrEnum):
    """Event at which the age of a copy is observed.

    Attributes:
        READ: This daemon read the topic to its end.
        REPORTED: A hub reported how far it has read.
        COPIED: A peer sent its copy.
        USED: A request used the copy.
    """

    READ = "read"
    REPORTED = "reported"
    COPIED = "copied"
    USED = "used"


def _ignore(event: AgeEvent, age_s: float) -> None:
    del event, age_s


class CopyAge:
    """Time since the copy of a topic was last known to be complete.

    `contact.LogContact` can't tell this: reads of one topic may hang while
    others are answered.

    Attributes:
        confirmed_at: All records acknowledged until then are in the copy; in
            trio's time, minus infinity before the first confirmation.
        observe: Called with the age in seconds at each event.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.observe: Callable[[AgeEvent, float], None] = _ignore

    @property
    def age_s(self) -> float:
        """Seconds since the copy was last known to be complete."""
        return trio.current_time() - self.confirmed_at

    def confirm(self, at: float, event: AgeEvent) -> None:
        """Record that the copy holds all records acknowledged until a time.

        Args:
            at: That time, in trio's time.
            event: How this was found.
        """
        # Observed before the confirmation resets it, so that the metric has the
        # age that the copy reached.
        self._observe_age(event)
        self.confirmed_at = max(self.confirmed_at, at)

    def note_use(self) -> int | None:
        """Observe the age at a use; return it in ms, or None if unknown."""
        self._observe_age(AgeEvent.USED)
        return round(self.age_s * 1000) if self._is_known() else None

    def _observe_age(self, event: AgeEvent) -> None:
        if self._is_known():
            self.observe(event, self.age_s)

    def _is_known(self) -> bool:
        return self.confirmed_at > -math.inf
