"""Decide which units a daemon hands to others.

Units are worth most where they are asked for. Each daemon knows what the
others had and were asked for when they last told; what it has beyond its part
goes to those that have less than theirs. All reckon alike, so that what is
given adds up to what is missing without anybody asking.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["QuotaBalance", "find_scarcity_transfers", "find_transfers"]

# Each daemon keeps a part of the units as if it were asked for so much of an
# even part of the rate besides: the next request may come to any of them.
_BASE_DEMAND_RATIO = 0.3
# Less than this part of an even share is not worth a message.
_MIN_TRANSFER_RATIO = 0.05
# A daemon that a request waits at is given no more than this part of what
# another one has.
_MAX_SHORTAGE_RATIO = 0.8


@dataclasses.dataclass(frozen=True)
class QuotaBalance:
    """What a daemon has of one team's units.

    Attributes:
        level: Units that it may spend; less than 0 if it owes some.
        asked: Units a second that callers ask it for, lately.
        needed: Units that it lacks for a request that waits there.
        overdraft: How far below 0 its level may come.
    """

    level: float
    asked: float
    needed: float = 0.0
    overdraft: float = 0.0

    @property
    def spendable(self) -> float:
        """What it may spend, or give for a request that waits."""
        return max(0.0, self.level + self.overdraft)


def find_transfers(
    own: QuotaBalance, others: Mapping[str, QuotaBalance], rate: float
) -> dict[str, float]:
    """Return the units to be given away, by receiver.

    Args:
        own: What this daemon has.
        others: What the others have, by name.
        rate: Units a second that come to all daemons together.
    """
    if not others:
        return {}
    to_waiting = _find_shortage_transfers(own, others)
    rest = dataclasses.replace(own, level=own.level - sum(to_waiting.values()))
    transfers = (
        _find_balancing_transfers(rest, others, rate) if rest.level > 0 else {}
    )
    for name, units in to_waiting.items():
        transfers[name] = transfers.get(name, 0.0) + units
    return transfers


def find_scarcity_transfers(
    own: QuotaBalance,
    others: Mapping[str, QuotaBalance],
    refilled: float,
    rate: float,
) -> dict[str, float]:
    """Return what is passed on of what was minted while units are scarce.

    Then nobody has more than it is asked for, and what there is says nothing
    of who is asked for most: a zone with one daemon and a quarter of the
    callers would get a sixth of the units.

    Args:
        own: What this daemon has.
        others: What the others have, by name.
        refilled: Units that this daemon minted since it last gave.
        rate: Units a second that come to all daemons together.
    """
    asked = own.asked + sum(one.asked for one in others.values())
    mean = asked / (1 + len(others))
    if asked <= rate or own.asked >= mean:
        return {}
    above_mean = {
        name: one.asked - mean
        for name, one in others.items()
        if one.asked > mean
    }
    forwarded = min(refilled * (1 - own.asked / mean), own.spendable)
    total = sum(above_mean.values())
    if forwarded <= 0 or total <= 0:
        return {}
    return {
        name: forwarded * units / total for name, units in above_mean.items()
    }


def _find_shortage_transfers(
    own: QuotaBalance, others: Mapping[str, QuotaBalance]
) -> dict[str, float]:
    """Return what goes to waiting requests, each daemon a part of it."""
    shortages = {
        name: one.needed for name, one in others.items() if one.needed > 0
    }
    if not shortages:
        return {}
    available = own.spendable + sum(
        one.spendable for one in others.values() if one.needed <= 0
    )
    if own.spendable <= 0 or own.needed > 0:
        return {}
    total = sum(shortages.values())
    transferred = min(_MAX_SHORTAGE_RATIO, total / available) * own.spendable
    return {
        name: transferred * units / total for name, units in shortages.items()
    }


def _find_balancing_transfers(
    own: QuotaBalance, others: Mapping[str, QuotaBalance], rate: float
) -> dict[str, float]:
    """Return what evens out holdings by what they are asked for."""
    count = 1 + len(others)
    base_demand = _BASE_DEMAND_RATIO * rate / count
    total_weight = sum(
        one.asked + base_demand for one in (own, *others.values())
    )
    total = own.level + sum(one.level for one in others.values())
    if total <= 0 or total_weight <= 0:
        return {}
    surplus = own.level - total * (own.asked + base_demand) / total_weight
    deficits = {
        name: total * (one.asked + base_demand) / total_weight - one.level
        for name, one in others.items()
    }
    deficits = {name: units for name, units in deficits.items() if units > 0}
    if surplus <= 0 or not deficits:
        return {}
    ratio = min(1.0, surplus / sum(deficits.values()))
    min_units = _MIN_TRANSFER_RATIO * total / count
    transfers = {name: ratio * units for name, units in deficits.items()}
    return {
        name: units for name, units in transfers.items() if units >= min_units
    }
