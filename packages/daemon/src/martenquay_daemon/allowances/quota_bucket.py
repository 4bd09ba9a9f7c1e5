"""Hold units that may be spent, each for a limited time only."""

from __future__ import annotations

import collections
import dataclasses
import math

__all__ = ["QuotaLot", "QuotaBucket"]

# A unit's lifetime is counted in so many steps; one step is by how much a unit
# may end too soon, never too late.
_STEPS = 16


@dataclasses.dataclass(frozen=True)
class QuotaLot:
    """Units with one end.

    Attributes:
        units: How many.
        ends_at: From then on they may not be spent, in trio's time.
    """

    units: float
    ends_at: float


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
        self.unspent = 0.0
        self._step_s = life_s / _STEPS
        # Units by the step in which they end, the earliest first.
        self._steps: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    @property
    def level(self) -> float:
        """What may be spent, less what is owed."""
        return self.total - self.debt

    def mint(self, now: float, start: float, end: float, rate: float) -> None:
        """Add what a rate in units a second gave between two times."""
        start = max(start, now - self.life_s)
        while start < end:
            until = min(end, start + self._step_s)
            units = rate * (until - start)
            self.add(now, QuotaLot(units, start + self.life_s))
            start = until

    def add(self, now: float, parcel: QuotaLot) -> float:
        """Add units and pay what is owed; return what was still of use."""
        step = math.floor(parcel.ends_at / self._step_s)
        if step * self._step_s <= now or parcel.units <= 0:
            return 0.0
        paid = min(self.debt, parcel.units)
        self.debt -= paid
        left = parcel.units - paid
        if left > 0:
            self._put(step, left)
        return parcel.units

    def change_life(self, now: float, life_s: float) -> QuotaBucket:
        """Return a pile with the same units, none of which lives longer."""
        pile = QuotaBucket(life_s)
        for step, units in self._steps.items():
            ends_at = min(step * self._step_s, now + life_s)
            pile.add(now, QuotaLot(units, ends_at))
        pile.debt += self.debt
        pile.unspent = self.unspent
        return pile

    def expire(self, now: float) -> None:
        """Drop the units whose time is over."""
        while self._steps:
            step = next(iter(self._steps))
            if step * self._step_s > now:
                return
            ended = self._steps.pop(step)
            self.total -= ended
            self.unspent += ended
        # Sums of fractions drift.
        self.total = 0.0

    def spend(self, units: float) -> None:
        """Spend units, those that end first; what is missing is owed."""
        while units > 0 and self._steps:
            step, there = next(iter(self._steps.items()))
            used = min(units, there)
            units -= used
            self._set(step, there - used)
        self.debt += units

    def take_away(self, now: float, units: float) -> list[QuotaLot]:
        """Take out units for another daemon, those that end last.

        What is missing is owed, and lives as if it were minted now.
        """
        parcels = []
        while units > 0 and self._steps:
            step, there = next(reversed(self._steps.items()))
            used = min(units, there)
            units -= used
            self._set(step, there - used)
            parcels.append(QuotaLot(used, step * self._step_s))
        if units > 0:
            self.debt += units
            parcels.append(QuotaLot(units, now + self.life_s))
        return parcels

    def _set(self, step: int, units: float) -> None:
        self.total += units - self._steps[step]
        if units > 0:
            self._steps[step] = units
        else:
            del self._steps[step]

    def _put(self, step: int, units: float) -> None:
        self.total += units
        if step in self._steps:
            self._steps[step] += units
            return
        is_last = not self._steps or step > next(reversed(self._steps))
        self._steps[step] = units
        if not is_last:
            ordered = sorted(self._steps.items())
            self._steps = collections.OrderedDict(ordered)
