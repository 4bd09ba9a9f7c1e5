"""Delay decreases of a value by a hold time; increases apply at once."""

from __future__ import annotations

import dataclasses

__all__ = ["DelayedDecrease"]


@dataclasses.dataclass
class DelayedDecrease:
    """A value that rises at once and falls only after a hold time.

    Attributes:
        hold_s: How long inputs must stay lower before the value falls.
        count: The current value.
        lower_since: When inputs became lower than the value; None if they
            are not.
        highest_lower: The highest input since then.
    """

    hold_s: float
    count: int = 0
    lower_since: float | None = None
    highest_lower: int = 0

    def update(self, now: float, count: int) -> int:
        """Add an input and return the current value."""
        if count >= self.count:
            self.count = count
            self.lower_since = None
            return self.count
        if self.lower_since is None:
            self.lower_since = now
            self.highest_lower = count
        self.highest_lower = max(self.highest_lower, count)
        if now - self.lower_since > self.hold_s:
            self.count = self.highest_lower
            self.lower_since = None
        return self.count
