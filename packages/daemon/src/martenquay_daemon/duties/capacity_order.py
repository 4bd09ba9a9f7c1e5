"""Remember the last order of one kind of runners in one zone."""

from __future__ import annotations

import dataclasses
import math

import trio

__all__ = ["CapacityOrder"]

# A refused order is tried again after this, not in a tight loop.
_REFUSED_RETRY_S = 1.5
# An order whose runners have not come is sent again so long after they
# should serve: its answer may have been lost, or they were reclaimed.
_BOOT_OVERDUE_S = 2.5
# The platform takes a zone back as a whole. When so many of those that served
# there have gone since an order, what it promised is not to be relied on.
_RECLAIMED_FRACTION = 0.5
_HTTP_OK = 200


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
    serving_when_sent: int = 0
    min_serving: int = 0
    is_fulfilled: bool = False

    def note_sent(self, wanted: int) -> None:
        """Note an order before its answer is known."""
        self.wanted = wanted
        self.sent_at = trio.current_time()
        self.status = 0
        self.serving_when_sent = self.min_serving = self.serving
        self.is_fulfilled = self.serving >= wanted

    def note_serving(self, serving: int) -> None:
        """Note how many serve now."""
        self.serving = serving
        self.min_serving = min(self.min_serving, serving)
        self.is_fulfilled = self.is_fulfilled or serving >= self.wanted

    def count_booting(self, now: float, boot_s: float) -> int:
        """Return how many of this order are still to come."""
        is_overdue = now - self.sent_at > boot_s + _BOOT_OVERDUE_S
        if self.status != _HTTP_OK or self.is_fulfilled or is_overdue:
            return 0
        if self._is_zone_reclaimed():
            return 0
        # Those that went by themselves are no part of what was promised.
        return max(0, self.wanted - self.serving - self._count_lost())

    def is_due(self, now: float, wanted: int, boot_s: float) -> bool:
        """Tell whether an order for so many has to be sent now."""
        age_s = now - self.sent_at
        if self.status != _HTTP_OK:
            return wanted != self.serving and age_s > _REFUSED_RETRY_S
        if self.wanted != wanted:
            return True
        # Those that came and went were taken back.
        is_reclaimed = self.is_fulfilled or self._is_zone_reclaimed()
        retry_after_s = (
            _REFUSED_RETRY_S if is_reclaimed else boot_s + _BOOT_OVERDUE_S
        )
        return self.serving < wanted and age_s > retry_after_s

    def _count_lost(self) -> int:
        return self.serving_when_sent - self.min_serving

    def _is_zone_reclaimed(self) -> bool:
        """Tell whether the zone was taken back after the order."""
        lost = self._count_lost()
        return lost > 0 and lost >= _RECLAIMED_FRACTION * self.serving_when_sent
