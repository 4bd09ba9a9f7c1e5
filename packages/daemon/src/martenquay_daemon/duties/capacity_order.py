"""Track the last order of runners of one kind in one zone."""

from __future__ import annotations

import dataclasses
import math

import trio

__all__ = ["CapacityOrder"]

# Delay before an order is repeated that was refused once or got no answer.
_FIRST_RETRY_S = 1.5
# The pause after a refusal doubles up to the boot time: supply that returns is
# then found before an on-demand runner ordered in its place would serve.
_RETRY_GROWTH = 2.0
# The pause is bounded by the boot time anyway; a power of more than a thousand
# refusals would overflow.
_MAX_DOUBLINGS = 10
# A reclaim reaches the runners of a zone within a heartbeat, which is 0.5 s;
# those that leave after the order need another one.
_LOST_RETRY_S = 0.5
# Time past the boot time after which an order is repeated: the answer may have
# been lost, or the runners were reclaimed.
_BOOT_OVERDUE_S = 2.5
# Time past the pause in which a refused order is repeated and answered.
_RETRY_OVERDUE_S = 1.0
# If at least this fraction of a zone's runners has gone since the order, the
# platform reclaimed the zone and the order's runners won't come.
_RECLAIMED_FRACTION = 0.5
_HTTP_OK = 200
_HTTP_CONFLICT = 409


@dataclasses.dataclass
class CapacityOrder:
    """The last order of runners of one kind in one zone.

    Attributes:
        wanted: The number of runners ordered.
        sent_at: When the order was sent, in trio's time.
        status: HTTP status of the answer; 0 if there is none.
        refusals: Number of refusals in a row.
        serving: Runners that serve now.
        serving_when_sent: Runners that served when the order was sent.
        min_serving: Minimum of `serving` since then.
        is_fulfilled: At least `wanted` runners have served since then.
    """

    wanted: int = -1
    sent_at: float = -math.inf
    status: int = 0
    refusals: int = 0
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

    def note_answer(self, status: int) -> bool:
        """Record the status of the answer; 0 for none.

        Returns:
            Whether the order was accepted after refusals.
        """
        self.status = status
        is_regained = status == _HTTP_OK and self.refusals > 0
        if status == _HTTP_CONFLICT:
            self.refusals += 1
        elif status == _HTTP_OK:
            self.refusals = 0
        return is_regained

    def note_supply(self) -> None:
        """Record that the platform has runners of this kind again."""
        self.refusals = min(self.refusals, 1)

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

    def is_refused(self, now: float, boot_s: float) -> bool:
        """Return whether the order was refused and its repetition is awaited.

        Args:
            now: In trio's time.
            boot_s: Seconds until a new runner serves.
        """
        valid_s = self._find_retry_s(boot_s) + _RETRY_OVERDUE_S
        return self.status == _HTTP_CONFLICT and now - self.sent_at < valid_s

    def is_due(self, now: float, wanted: int, boot_s: float) -> bool:
        """Return whether an order of `wanted` runners must be sent now."""
        age_s = now - self.sent_at
        if self.status != _HTTP_OK:
            is_missing = wanted != self.serving
            return is_missing and age_s > self._find_retry_s(boot_s)
        if self.wanted != wanted:
            return True
        return self.serving < wanted and age_s > self._find_repeat_s(boot_s)

    def _find_retry_s(self, boot_s: float) -> float:
        """Return the pause after an order that was not accepted."""
        growth = _RETRY_GROWTH ** min(_MAX_DOUBLINGS, max(0, self.refusals - 1))
        return min(_FIRST_RETRY_S * growth, max(_FIRST_RETRY_S, boot_s))

    def _find_repeat_s(self, boot_s: float) -> float:
        """Return the age at which an accepted order is repeated."""
        # Runners that left since are not replaced by the order.
        if self._count_lost() > 0:
            return _LOST_RETRY_S
        if self.is_fulfilled:
            return _FIRST_RETRY_S
        return boot_s + _BOOT_OVERDUE_S

    def _count_lost(self) -> int:
        return self.serving_when_sent - self.min_serving

    def _is_zone_reclaimed(self) -> bool:
        """Return whether the platform reclaimed the zone since the order."""
        lost = self._count_lost()
        return lost > 0 and lost >= _RECLAIMED_FRACTION * self.serving_when_sent
