"""Implement a token bucket whose units expire."""

from __future__ import annotations

import collections
import dataclasses
import math

__all__ = ["QuotaBucket", "QuotaLot"]

# Steps per lifetime to which expiry times are rounded down, so that a bucket
# holds a bounded number of entries and no unit expires too late.
_EXPIRY_STEPS = 16


@dataclasses.dataclass(frozen=True)
class QuotaLot:
    """Units that expire together.

    Attributes:
        units: How many.
        expires_at: From then on they may not be spent, in trio's time.
    """

    units: float
    expires_at: float


class QuotaBucket:
    """One team's units of quota at one daemon, with their expiry times.

    Attributes:
        life_s: How long a refilled unit may be spent.
        total: Units that may be spent now.
        debt: Units that were spent in advance; later units pay for them.
        expired_units: Units that expired unspent.
    """

    def __init__(self, life_s: float) -> None:
        self.life_s = life_s
        self.total = 0.0
        self.debt = 0.0
        self.expired_units = 0.0
        self._step_s = life_s / _EXPIRY_STEPS
        # Ordered by expiry, the earliest first.
        self._units_by_step: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    @property
    def level(self) -> float:
        """Units that may be spent, less the debt."""
        return self.total - self.debt

    def add_refill(
        self, now: float, start: float, end: float, rate: float
    ) -> None:
        """Add what a rate in units per second refills between two times."""
        start = max(start, now - self.life_s)
        while start < end:
            slice_end = min(end, start + self._step_s)
            units = rate * (slice_end - start)
            self.add(now, QuotaLot(units, start + self.life_s))
            start = slice_end

    def add(self, now: float, lot: QuotaLot) -> float:
        """Add units, which pay the debt first.

        Returns:
            The units added, those that paid debt included; 0 if they have
            expired.
        """
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
        """Return a bucket with these units and another lifetime.

        Expiry times only become earlier: a unit that lived longer could be
        spent in a window that it does not count for.
        """
        bucket = QuotaBucket(life_s)
        for step, units in self._units_by_step.items():
            expires_at = min(step * self._step_s, now + life_s)
            bucket.add(now, QuotaLot(units, expires_at))
        bucket.debt += self.debt
        bucket.expired_units = self.expired_units
        return bucket

    def expire(self, now: float) -> None:
        """Drop expired units."""
        while self._units_by_step:
            step = next(iter(self._units_by_step))
            if step * self._step_s > now:
                return
            expired = self._units_by_step.pop(step)
            self.total -= expired
            self.expired_units += expired
        # Rounding errors of the sums would otherwise remain in an empty bucket.
        self.total = 0.0

    def spend(self, units: float) -> None:
        """Spend units, the first to expire first; add the rest to the debt."""
        while units > 0 and self._units_by_step:
            step, available = next(iter(self._units_by_step.items()))
            used = min(units, available)
            units -= used
            self._set_step(step, available - used)
        self.debt += units

    def withdraw(self, now: float, units: float) -> list[QuotaLot]:
        """Remove units for another daemon, the last to expire first.

        Units that are not held are added to the debt and expire as if they
        were refilled now.
        """
        lots = []
        while units > 0 and self._units_by_step:
            step, available = next(reversed(self._units_by_step.items()))
            used = min(units, available)
            units -= used
            self._set_step(step, available - used)
            lots.append(QuotaLot(used, step * self._step_s))
        if units > 0:
            self.debt += units
            lots.append(QuotaLot(units, now + self.life_s))
        return lots

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
