"""Know how old this daemon's copy of a topic is."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CopyAge", "Step"]


class Step(enum.StrEnum):
    """By which way a copy was found to be complete, or what it served for."""

    READ = "read"
    REPORTED = "reported"
    COPIED = "copied"
    USED = "used"


def _ignore(step: Step, age_s: float) -> None:
    del step, age_s


class CopyAge:
    """How long ago the copy of a topic was complete for the last time.

    That the log answers does not tell it: reads of one topic may hang while
    others are answered.

    Attributes:
        confirmed_at: All that was acknowledged until then is in the copy; in
            trio's time.
        observe: Told the age at each step, in seconds.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.observe: Callable[[Step, float], None] = _ignore

    @property
    def age_s(self) -> float:
        """Seconds since the copy was complete for the last time."""
        return trio.current_time() - self.confirmed_at

    def confirm(self, at: float, step: Step) -> None:
        """Note that the copy holds all that was acknowledged until a time."""
        # What the wait for this news had let the copy come to.
        self._observe_age(step)
        self.confirmed_at = max(self.confirmed_at, at)

    def note_use(self) -> int | None:
        """Return the age in ms for the line of a decision, if it is known."""
        self._observe_age(Step.USED)
        return round(self.age_s * 1000) if self._is_known() else None

    def _observe_age(self, step: Step) -> None:
        if self._is_known():
            self.observe(step, self.age_s)

    def _is_known(self) -> bool:
        return self.confirmed_at > -math.inf
