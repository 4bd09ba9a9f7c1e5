"""Estimate which requests of a team one exact token bucket would admit."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import catalog

__all__ = ["EntitlementMeter", "FleetDemand"]

# Time constants of the averages of the demand. The shorter one notices a steep
# rise before the overdraft is spent. The longer one is needed for teams whose
# burst is several seconds of their rate.
_FAST_AVERAGE_S = 1.0
_AVERAGE_S = 4.0
# A team is over its entitlement if it asks for this multiple of its rate, and
# its burst once in the averaging time besides. Teams at 0.8 of their rate stay
# five standard deviations below it or more.
_OVER_RATIO = 1.4
# Part of the bucket that returning callers leave to first attempts.
_FIRST_ATTEMPT_RATIO = 0.5


@dataclasses.dataclass(frozen=True)
class FleetDemand:
    """A team's demand, in units per second.

    Attributes:
        own: What callers ask of this daemon.
        others: What callers ask of other daemons, as far as it is known.
    """

    own: float
    others: float


class EntitlementMeter:
    """Replays one team's requests at one daemon through an exact bucket.

    The bucket has this daemon's part of the team's rate and burst, which is
    its part of the demand. It only says which requests come first, and holds
    no quota: whether there are units for them is up to the ledger.

    Attributes:
        level: Units in the bucket.
        own_demand: Average of what callers ask here, in units per second.
    """

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self._updated_at = now
        self.own_demand = 0.0
        self._fleet = 0.0
        self._fast_fleet = 0.0
        self._capacity = 0.0
        self._burst = 0.0

    def update(
        self, now: float, team: catalog.Team, demand: FleetDemand
    ) -> None:
        """Refill the bucket and average the demand up to now."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        weight = 1 - math.exp(-elapsed_s / _AVERAGE_S)
        self.own_demand += weight * (demand.own - self.own_demand)
        fleet = demand.own + demand.others
        self._fast_fleet = fleet
        self._fleet += weight * (fleet - self._fleet)
        part = self.own_demand / self._fleet if self._fleet > 0 else 1.0
        refilled = self.level + team.rate * part * elapsed_s
        self._burst = team.burst
        self._capacity = team.burst * part
        self.level = min(self._capacity, refilled)

    def is_over(self, team: catalog.Team) -> bool:
        """Return whether callers ask for more than the team is entitled to."""
        base = _OVER_RATIO * team.rate
        return (
            self._fleet > base + team.burst / _AVERAGE_S
            or self._fast_fleet > base + team.burst / _FAST_AVERAGE_S
        )

    def try_take(self, units: float, *, is_first: bool = True) -> bool:
        """Take a request's units if the bucket holds them.

        Args:
            units: What the request costs.
            is_first: Whether it is a first attempt. A returning caller leaves
                half of the bucket to first attempts.
        """
        kept = 0.0 if is_first else _FIRST_ATTEMPT_RATIO * self._capacity
        # The part of the bucket here may be smaller than a request that the
        # whole bucket admits. Such a request needs a full one and overdraws it;
        # otherwise the largest requests would starve.
        needed = min(units, self._capacity - kept)
        if units > self._burst or needed <= 0 or self.level - needed < kept:
            return False
        self.level -= units
        return True
