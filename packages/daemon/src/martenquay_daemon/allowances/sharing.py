"""Compute how much quota a daemon transfers to which others."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["QuotaBalance", "find_scarcity_transfers", "find_transfers"]

# Demand that is added to each daemon's own, as a ratio of an even share of the
# refill rate. Without it a daemon without demand would hold nothing for its
# next request.
_BASE_DEMAND_RATIO = 0.3
# Transfers below this ratio of an even share are not sent.
_MIN_TRANSFER_RATIO = 0.05
# The most that is transferred for requests that wait at other daemons, as a
# ratio of what may be spent here.
_MAX_SHORTAGE_RATIO = 0.8


@dataclasses.dataclass(frozen=True)
class QuotaBalance:
    """One team's quota at a daemon.

    Attributes:
        level: Units that may be spent; negative if overdrawn.
        asked: Units per second that callers request.
        needed: Units that waiting requests lack.
        overdraft: How far below 0 the level may go, in units.
    """

    level: float
    asked: float
    needed: float = 0.0
    overdraft: float = 0.0

    @property
    def spendable(self) -> float:
        """Units that may be spent or transferred, overdraft included."""
        return max(0.0, self.level + self.overdraft)


def find_transfers(
    own: QuotaBalance, others: Mapping[str, QuotaBalance], rate: float
) -> dict[str, float]:
    """Return the units to transfer, by receiver.

    Every daemon computes its part of what the others lack from the same
    balances, so that together they transfer as much as is missing.

    Args:
        own: This daemon's balance.
        others: The other daemons' balances, by daemon.
        rate: Units per second that all daemons together refill.
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
    """Return the units to transfer, by receiver, while demand exceeds refills.

    Levels are near 0 at all daemons then and do not show where demand is
    highest, so daemons of below-average demand pass part of their refills to
    those above the average.

    Args:
        own: This daemon's balance.
        others: The other daemons' balances, by daemon.
        refilled: Units that this daemon refilled since the last transfers.
        rate: Units per second that all daemons together refill.
    """
    demand = own.asked + sum(balance.asked for balance in others.values())
    mean = demand / (1 + len(others))
    if demand <= rate or own.asked >= mean:
        return {}
    above_mean = {
        name: balance.asked - mean
        for name, balance in others.items()
        if balance.asked > mean
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
    """Return this daemon's part of the units that waiting requests lack."""
    shortages = {
        name: balance.needed
        for name, balance in others.items()
        if balance.needed > 0
    }
    if not shortages:
        return {}
    available = own.spendable + sum(
        balance.spendable for balance in others.values() if balance.needed <= 0
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
    """Return the units that make levels proportional to demand."""
    count = 1 + len(others)
    base_demand = _BASE_DEMAND_RATIO * rate / count
    total_weight = sum(
        balance.asked + base_demand for balance in (own, *others.values())
    )
    total = own.level + sum(balance.level for balance in others.values())
    if total <= 0 or total_weight <= 0:
        return {}
    surplus = own.level - total * (own.asked + base_demand) / total_weight
    deficits = {
        name: total * (balance.asked + base_demand) / total_weight
        - balance.level
        for name, balance in others.items()
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
