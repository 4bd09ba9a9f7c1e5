"""Remember the last order of one kind of runners in one zone."""

from __future__ import annotations

import dataclasses
import math

import trio

__all__ = ["CapacityOrder"]

# A refused order is tried again after this, not in a tight loop.
_REFUSED_S = 1.5
# An order whose runners have not come is sent again so long after they
# should serve: its answer may have been lost, or they were reclaimed.
_OVERDUE_S = 2.5
# The platform takes a zone back as a whole. When so many of those that served
# there have gone since an order, what it promised is not to be relied on.
_TAKEN_PART = 0.5
_OK = 200


@dataclasses.dataclass
class CapacityOrder:
    """The last order of one kind in one zone.

    Attributes:
        wanted: How many were wanted.
        sent_at: When it was sent, in trio's time.
        status: How it was answered; 0 if it was not.
        serving: How many serve now.
        served: How many served when it was sent.
        fewest: The fewest that have served since.
        is_met: As many as were wanted have served since.
    """

    wanted: int = -1
    sent_at: float = -math.inf
    status: int = 0
    serving: int = 0
    served: int = 0
    fewest: int = 0
    is_met: bool = False

    def note_sent(self, wanted: int) -> None:
        """Note an order before its answer is known."""
        self.wanted = wanted
        self.sent_at = trio.current_time()
        self.status = 0
        self.served = self.fewest = self.serving
        self.is_met = self.serving >= wanted

    def note_serving(self, serving: int) -> None:
        """Note how many serve now."""
        self.serving = serving
        self.fewest = min(self.fewest, serving)
        self.is_met = self.is_met or serving >= self.wanted

    def count_booting(self, now: float, boot_s: float) -> int:
        """Return how many of this order are still to come."""
        is_late = now - self.sent_at > boot_s + _OVERDUE_S
        if self.status != _OK or self.is_met or is_late:
            return 0
        if self._is_taken_back():
            return 0
        # Those that went by themselves are no part of what was promised.
        return max(0, self.wanted - self.serving - self._count_lost())

    def is_due(self, now: float, wanted: int, boot_s: float) -> bool:
        """Tell whether an order for so many has to be sent now."""
        age_s = now - self.sent_at
        if self.status != _OK:
            return wanted != self.serving and age_s > _REFUSED_S
        if self.wanted != wanted:
            return True
        # Those that came and went were taken back.
        is_gone = self.is_met or self._is_taken_back()
        longest_s = _REFUSED_S if is_gone else boot_s + _OVERDUE_S
        return self.serving < wanted and age_s > longest_s

    def _count_lost(self) -> int:
        return self.served - self.fewest

    def _is_taken_back(self) -> bool:
        """Tell whether the zone was taken back after the order."""
        lost = self._count_lost()
        return lost > 0 and lost >= _TAKEN_PART * self.served
