"""Schedule when callers that were refused for lack of quota return."""

from __future__ import annotations

import bisect
import dataclasses
import operator

__all__ = ["QuotaSupply", "RetrySchedule"]

_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 4.0
# Retry delay while no units are refilled here.
_DEFAULT_RETRY_S = 0.5
# Units are kept for a caller that does not return for this long after the time
# that it was told.
_GRACE_S = 0.5


@dataclasses.dataclass(frozen=True)
class QuotaSupply:
    """What refused callers may expect at one daemon.

    Attributes:
        level: Units that may be spent now; negative if overdrawn.
        rate: Units per second that are refilled here.
        surplus_rate: Units per second of it that are refilled beyond the
            team's entitlement.
        window_s: The time over which the team's units are counted.
    """

    level: float
    rate: float
    surplus_rate: float
    window_s: float


@dataclasses.dataclass(frozen=True)
class _Promise:
    """Units that a refused caller was told to return for.

    Attributes:
        due_at: When it was told to return, in trio's time.
        units: What its request costs.
    """

    due_at: float
    units: float


class RetrySchedule:
    """One team's refused callers at one daemon, in order of their return.

    With equal delays all refused callers would return together and mostly be
    refused again. Each is therefore told when the units for it and for those
    refused before it will have been refilled.
    """

    def __init__(self) -> None:
        # Units of refused callers, less what was refilled since.
        self._expected = 0.0
        # Ordered by when they are due.
        self._promises: list[_Promise] = []
        self._promised = 0.0

    @property
    def promised(self) -> float:
        """Units that are kept for callers that are to return."""
        return self._promised

    def note_refilled(self, now: float, units: float) -> None:
        """Note units that were refilled, and drop promises nobody came for."""
        self._expected = max(0.0, self._expected - units)
        while self._promises and self._promises[0].due_at < now - _GRACE_S:
            self._drop_first()

    def schedule(
        self, now: float, units: float, supply: QuotaSupply, *, is_beyond: bool
    ) -> float:
        """Return after how many seconds a refused caller should return.

        Args:
            now: In trio's time.
            units: What its request costs.
            supply: What may be expected at this daemon.
            is_beyond: Whether the request is beyond the entitlement of a team
                that asks for too much. It then gets what is refilled beyond
                the entitlement.
        """
        if supply.rate <= 0:
            return _DEFAULT_RETRY_S
        if not is_beyond:
            self._expected += units
            wait_s = (self._expected - supply.level) / supply.rate
            if wait_s > _MAX_RETRY_S:
                # More units would be promised than are refilled until then.
                return _MAX_RETRY_S
            wait_s = max(_MIN_RETRY_S, wait_s)
        else:
            wait_s = (self._promised + units) / max(1e-9, supply.surplus_rate)
            if wait_s > supply.window_s:
                # No units are kept for a caller that would wait for so long.
                return supply.window_s
            wait_s = max(_MIN_RETRY_S, wait_s)
        promise = _Promise(now + wait_s, units)
        bisect.insort(
            self._promises, promise, key=operator.attrgetter("due_at")
        )
        self._promised += units
        return wait_s

    def try_redeem(self, now: float, units: float) -> bool:
        """Take units that are due from the promises, the earliest first."""
        due = [one for one in self._promises if one.due_at <= now]
        if sum(one.units for one in due) < units:
            return False
        left = units
        while left > 0 and self._promises:
            first = self._drop_first()
            if first.units > left:
                rest = dataclasses.replace(first, units=first.units - left)
                self._promises.insert(0, rest)
                self._promised += rest.units
            left -= first.units
        return True

    def _drop_first(self) -> _Promise:
        first = self._promises.pop(0)
        self._promised = max(0.0, self._promised - first.units)
        return first
