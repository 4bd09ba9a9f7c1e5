"""Hold units that may be spent, each for a limited time only."""

from __future__ import annotations

import collections
import dataclasses
import math

__all__ = ["QuotaLot", "QuotaBucket"]

# A unit's lifetime is counted in so many steps; one step is by how much a unit
# may end too soon, never too late.
_EXPIRY_STEPS = 16


@dataclasses.dataclass(frozen=True)
class QuotaLot:
    """Units with one end.

    Attributes:
        units: How many.
        ends_at: From then on they may not be spent, in trio's time.
    """

    units: float
    expires_at: float


class QuotaBucket:
    """Units of one team at one daemon, and what it owes.

    Attributes:
        life_s: Units that are minted may be spent for so long.
        total: Units that may be spent now.
        debt: Units that were spent before they were there.
        unspent: Units that ended before they were spent.
    """

    def __init__(self, life_s: float) -> None:
        self.life_s = life_s
        self.total = 0.0
        self.debt = 0.0
        self.expired_units = 0.0
        self._step_s = life_s / _EXPIRY_STEPS
        # Units by the step in which they end, the earliest first.
        self._units_by_step: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    @property
    def level(self) -> float:
        """What may be spent, less what is owed."""
        return self.total - self.debt

    def add_refill(
        self, now: float, start: float, end: float, rate: float
    ) -> None:
        """Add what a rate in units a second gave between two times."""
        start = max(start, now - self.life_s)
        while start < end:
            slice_end = min(end, start + self._step_s)
            units = rate * (slice_end - start)
            self.add(now, QuotaLot(units, start + self.life_s))
            start = slice_end

    def add(self, now: float, lot: QuotaLot) -> float:
        """Add units and pay what is owed; return what was still of use."""
        step = math.floor(lot.expires_at / self._step_s)
        if step * self._step_s <= now or lot.units <= 0:
            return 0.0
        paid = min(self.debt, lot.units)
        self.debt -= paid
        left = lot.units - paid
        if left > 0:
            self._add_to_step(step, left)
        return lot.units

    def copy_with_life(self, now: float, life_s: float) -> QuotaBucket:
        """Return a pile with the same units, none of which lives longer."""
        bucket = QuotaBucket(life_s)
        for step, units in self._units_by_step.items():
            expires_at = min(step * self._step_s, now + life_s)
            bucket.add(now, QuotaLot(units, expires_at))
        bucket.debt += self.debt
        bucket.expired_units = self.expired_units
        return bucket

    def expire(self, now: float) -> None:
        """Drop the units whose time is over."""
        while self._units_by_step:
            step = next(iter(self._units_by_step))
            if step * self._step_s > now:
                return
            expired = self._units_by_step.pop(step)
            self.total -= expired
            self.expired_units += expired
        # Sums of fractions drift.
        self.total = 0.0

    def spend(self, units: float) -> None:
        """Spend units, those that end first; what is missing is owed."""
        while units > 0 and self._units_by_step:
            step, available = next(iter(self._units_by_step.items()))
            used = min(units, available)
            units -= used
            self._set_step(step, available - used)
        self.debt += units

    def withdraw(self, now: float, units: float) -> list[QuotaLot]:
        """Take out units for another daemon, those that end last.

        What is missing is owed, and lives as if it were minted now.
        """
        parcels = []
        while units > 0 and self._units_by_step:
            step, available = next(reversed(self._units_by_step.items()))
            used = min(units, available)
            units -= used
            self._set_step(step, available - used)
            parcels.append(QuotaLot(used, step * self._step_s))
        if units > 0:
            self.debt += units
            parcels.append(QuotaLot(units, now + self.life_s))
        return parcels

    def _set_step(self, step: int, units: float) -> None:
        self.total += units - self._units_by_step[step]
        if units > 0:
            self._units_by_step[step] = units
        else:
            del self._units_by_step[step]

    def _add_to_step(self, step: int, units: float) -> None:
        self.total += units
        if step in self._units_by_step:
            self._units_by_step[step] += units
            return
        is_last = not self._units_by_step or step > next(
            reversed(self._units_by_step)
        )
        self._units_by_step[step] = units
        if not is_last:
            ordered = sorted(self._units_by_step.items())
            self._units_by_step = collections.OrderedDict(ordered)
