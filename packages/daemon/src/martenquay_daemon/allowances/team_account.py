"""Hold one team's quota at one daemon, with its demand."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from martenquay_daemon.allowances import (
    entitlement,
    quota_bucket,
    retry_schedule,
    sharing,
    waiting,
)

if TYPE_CHECKING:
    from martenquay_core.serving import catalog
    from martenquay_daemon.allowances import terms

__all__ = ["RefillPolicy", "TeamAccount", "create_account"]

# Time constant of the moving average of demand.
_DEMAND_DECAY_S = 1.0


@dataclasses.dataclass(frozen=True)
class RefillPolicy:
    """A team's refill rate and unit lifetime.

    Attributes:
        team: The team that the policy was computed for.
        bounds: The bounds that it was computed from.
        rate: Units per second that all daemons together refill.
        life_s: How long a unit may be spent.
    """

    team: catalog.Team
    bounds: terms.ToleranceBounds
    rate: float
    life_s: float


@dataclasses.dataclass
class TeamAccount:
    """One team's quota at this daemon.

    Attributes:
        policy: The refill rate and unit lifetime.
        bucket: The units that may be spent here.
        refilled_at: The time up to which the bucket is refilled.
        entitlement: Which requests the team is entitled to.
        demand: Moving average of the units requested per second.
        demand_at: When the average was last updated.
        refilled: Units refilled since transfers were last computed.
        waiting: The requests that wait for transfers.
        retries: The refused callers that are to return.
    """

    policy: RefillPolicy
    bucket: quota_bucket.QuotaBucket
    refilled_at: float
    entitlement: entitlement.EntitlementMeter
    demand: float = 0.0
    demand_at: float = 0.0
    refilled: float = 0.0
    waiting: waiting.WaitingRequests = dataclasses.field(
        default_factory=waiting.WaitingRequests
    )
    retries: retry_schedule.RetrySchedule = dataclasses.field(
        default_factory=retry_schedule.RetrySchedule
    )

    def find_demand(self, now: float) -> float:
        """Return the units per second that callers request."""
        decay = math.exp((self.demand_at - now) / _DEMAND_DECAY_S)
        return decay * self.demand

    def _find_mean_demand(self, now: float) -> float:
        """Return the mean of the demand since the last request."""
        passed = (now - self.demand_at) / _DEMAND_DECAY_S
        if passed <= 0:
            return self.demand
        return self.demand * -math.expm1(-passed) / passed

    def record_demand(self, now: float, units: float, others: float) -> None:
        """Count a request as demand.

        Args:
            now: In trio's time.
            units: What the request costs.
            others: What callers ask of other daemons, in units per second.
        """
        # The meter averages over the time since the last request. A sample
        # right after a request would count its peak for all of that time.
        fleet = entitlement.FleetDemand(self._find_mean_demand(now), others)
        self.entitlement.update(now, self.policy.team, fleet)
        self.demand = self.find_demand(now) + units / _DEMAND_DECAY_S
        self.demand_at = now

    def create_balance(
        self, now: float, overdraft: float
    ) -> sharing.QuotaBalance:
        """Return the team's balance at this daemon."""
        level = self.bucket.level
        shortage = self.waiting.find_shortage(
            level, overdraft, self.entitlement.own_demand
        )
        return sharing.QuotaBalance(
            level, self.find_demand(now), shortage, overdraft
        )

    def apply_policy(self, now: float, policy: RefillPolicy) -> None:
        """Change the refill rate and the lifetime of units."""
        if not math.isclose(self.policy.life_s, policy.life_s):
            self.bucket = self.bucket.copy_with_life(now, policy.life_s)
        self.policy = policy


def create_account(
    policy: RefillPolicy, started_at: float, now: float
) -> TeamAccount:
    """Return an account without units.

    Args:
        policy: The refill rate and unit lifetime.
        started_at: From when on units are refilled, in trio's time.
        now: In trio's time.
    """
    return TeamAccount(
        policy,
        quota_bucket.QuotaBucket(policy.life_s),
        started_at,
        entitlement.EntitlementMeter(now),
    )
