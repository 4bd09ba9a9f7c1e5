"""Track the last order of runners of one kind in one zone."""

from __future__ import annotations

import dataclasses
import math

import trio

__all__ = ["CapacityOrder"]

# Delay before a refused order is repeated.
_REFUSED_RETRY_S = 1.5
# Time past the boot time after which an order is repeated: the answer may have
# been lost, or the runners were reclaimed.
_BOOT_OVERDUE_S = 2.5
# If at least this fraction of a zone's runners has gone since the order, the
# platform reclaimed the zone and the order's runners won't come.
_RECLAIMED_FRACTION = 0.5
_HTTP_OK = 200


@dataclasses.dataclass
class CapacityOrder:
    """The last order of runners of one kind in one zone.

    Attributes:
        wanted: The number of runners ordered.
        sent_at: When the order was sent, in trio's time.
        status: HTTP status of the answer; 0 if there is none.
        serving: Runners that serve now.
        serving_when_sent: Runners that served when the order was sent.
        min_serving: Minimum of `serving` since then.
        is_fulfilled: At least `wanted` runners have served since then.
    """

    wanted: int = -1
    sent_at: float = -math.inf
    status: int = 0
    serving: int = 0
    serving_when_sent: int = 0
    min_serving: int = 0
    is_fulfilled: bool = False

    def note_sent(self, wanted: int) -> None:
        """Record an order that is about to be sent."""
        self.wanted = wanted
        self.sent_at = trio.current_time()
        self.status = 0
        self.serving_when_sent = self.min_serving = self.serving
        self.is_fulfilled = self.serving >= wanted

    def note_serving(self, serving: int) -> None:
        """Record how many runners serve now."""
        self.serving = serving
        self.min_serving = min(self.min_serving, serving)
        self.is_fulfilled = self.is_fulfilled or serving >= self.wanted

    def count_booting(self, now: float, boot_s: float) -> int:
        """Return how many ordered runners don't serve yet."""
        is_overdue = now - self.sent_at > boot_s + _BOOT_OVERDUE_S
        if self.status != _HTTP_OK or self.is_fulfilled or is_overdue:
            return 0
        if self._is_zone_reclaimed():
            return 0
        # Runners that stopped since are not replaced by this order.
        return max(0, self.wanted - self.serving - self._count_lost())

    def is_due(self, now: float, wanted: int, boot_s: float) -> bool:
        """Return whether an order of `wanted` runners must be sent now."""
        age_s = now - self.sent_at
        if self.status != _HTTP_OK:
            return wanted != self.serving and age_s > _REFUSED_RETRY_S
        if self.wanted != wanted:
            return True
        # Runners that served and are gone were reclaimed: reorder without
        # waiting for the boot time.
        is_reclaimed = self.is_fulfilled or self._is_zone_reclaimed()
        retry_after_s = (
            _REFUSED_RETRY_S if is_reclaimed else boot_s + _BOOT_OVERDUE_S
        )
        return self.serving < wanted and age_s > retry_after_s

    def _count_lost(self) -> int:
        return self.serving_when_sent - self.min_serving

    def _is_zone_reclaimed(self) -> bool:
        """Return whether the platform reclaimed the zone since the order."""
        lost = self._count_lost()
        return lost > 0 and lost >= _RECLAIMED_FRACTION * self.serving_when_sent
