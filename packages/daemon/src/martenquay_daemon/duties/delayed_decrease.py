"""Follow a number that rises at once and falls only after a while."""

from __future__ import annotations

import dataclasses

__all__ = ["DelayedDecrease"]


@dataclasses.dataclass
class DelayedDecrease:
    """A number that rises at once and falls only after a while.

    Attributes:
        hold_s: For how long a lower number has to be seen.
        count: The number to go by.
        lower_since: Since when lower ones have been seen.
        lower: The highest of these.
    """

    hold_s: float
    count: int = 0
    lower_since: float | None = None
    lower: int = 0

    def follow(self, now: float, count: int) -> int:
        """Take the newest figure; return the one to go by."""
        if count >= self.count:
            self.count = count
            self.lower_since = None
            return self.count
        if self.lower_since is None:
            self.lower_since = now
            self.lower = count
        self.lower = max(self.lower, count)
        if now - self.lower_since > self.hold_s:
            self.count = self.lower
            self.lower_since = None
        return self.count
