"""Decide how many runners of a service to have, and of which kind.

Reclaimable runners cost a fraction of the others, and a whole zone of them
can be taken back at once. So they are spread evenly over the zones, as many
as leave enough when one zone's are gone. On-demand runners stand in only for
what is missing: until the first reclaimable ones serve, and while none are
to be had.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from martenquay_core.serving import catalog, runners

__all__ = [
    "BootingRunners",
    "CapacityTarget",
    "ServiceDemand",
    "ServiceState",
    "ZoneOrder",
    "plan_on_demand",
    "plan_reclaimable",
]

# The part of an engine's learnt reading speed at which first tokens still
# come within their target: prompts of 300 ms queue behind each other, and
# arrivals come in clumps. With 0.5, engines that read 23,000 tokens a second
# cost a fifth more (0.178 in place of 0.147 of a day's worth) and served as
# many.
_PREFILL_UTILIZATION = 0.65
# The part of an engine's slots that may be in use on average: of the engines
# that have to be there at any price, and of those worth having of the cheap
# kind. With 0.5 for both, runners cost a fifth more on a day on which cheap
# ones were refused, and nobody was served better: those that there are serve
# on until their zone goes.
_REQUIRED_SLOT_UTILIZATION = 0.65
_DESIRED_SLOT_UTILIZATION = 0.5
# A backlog of prompts should be read within this time beside what comes in;
# as long as a runner takes to boot, so that one more is there when it pays.
_BACKLOG_DRAIN_S = 4.0


@dataclasses.dataclass(frozen=True)
class ServiceDemand:
    """What callers ask of a service, over all daemons.

    Attributes:
        tokens_per_s: Prompt tokens that engines have to read.
        requests: Requests running or waiting at engines.
        read_tokens_per_s: What one engine reads in a second.
        unread_tokens: Prompt tokens that wait at engines.
    """

    tokens_per_s: float
    requests: int
    read_tokens_per_s: float
    unread_tokens: int = 0

    def count_lost_to_limits(
        self, limits: Sequence[float], tokens: float
    ) -> int:
        """Return how many engines runners in need fall short of.

        Args:
            limits: The requests a second that each of them takes.
            tokens: That an engine has to read for a request.
        """
        if tokens <= 0:
            return 0
        requests_per_s = self.read_tokens_per_s * _PREFILL_UTILIZATION / tokens
        fractions = [min(1.0, limit / requests_per_s) for limit in limits]
        return round(len(fractions) - sum(fractions))

    def count_required(self, slots: int) -> int:
        """Return the engines that take what comes in."""
        return self._count_runners(
            slots * _REQUIRED_SLOT_UTILIZATION, self.tokens_per_s
        )

    def count_desired(self, slots: int) -> int:
        """Return the engines that take the backlog as well."""
        backlog_per_s = self.unread_tokens / _BACKLOG_DRAIN_S
        tokens_per_s = self.tokens_per_s + backlog_per_s
        return self._count_runners(
            slots * _DESIRED_SLOT_UTILIZATION, tokens_per_s
        )

    def _count_runners(self, slots: float, tokens_per_s: float) -> int:
        for_prefill = tokens_per_s / (
            self.read_tokens_per_s * _PREFILL_UTILIZATION
        )
        for_slots = self.requests / max(1.0, slots)
        return max(1, math.ceil(max(for_prefill, for_slots)))


@dataclasses.dataclass(frozen=True)
class CapacityTarget:
    """How many runners to aim for.

    Attributes:
        needed: Without these, first tokens are late; on-demand runners make
            up for what is missing.
        comfortable: What is worth having of the cheap kind, which takes up
            clumps of arrivals and what a wave of reclaims leaves.
    """

    required: int
    desired: int


@dataclasses.dataclass(frozen=True)
class BootingRunners:
    """Runners that the platform has promised and that do not serve yet.

    Attributes:
        zone: Their availability zone.
        is_reclaimable: Of which kind they are.
        count: How many.
    """

    zone: str
    is_reclaimable: bool
    count: int


@dataclasses.dataclass(frozen=True)
class ServiceState:
    """The runners of a service as they are.

    Attributes:
        limits: What may be ordered.
        zones: Availability zones in which it may run.
        runners: Runners that are not leaving.
        booting: Runners that were ordered and are still to come.
        is_dry: The platform has just refused reclaimable runners.
    """

    limits: catalog.ScalingLimits
    zones: tuple[str, ...]
    runners: tuple[runners.Runner, ...]
    booting: tuple[BootingRunners, ...] = ()
    is_out_of_reclaimable: bool = False

    def count_serving(self, zone: str, *, is_reclaimable: bool) -> int:
        """Return the runners of one kind that serve in a zone."""
        return sum(
            runner.zone == zone and runner.is_reclaimable == is_reclaimable
            for runner in self.runners
        )

    def count_expected(self, zone: str, *, is_reclaimable: bool) -> int:
        """Return the runners of one kind that serve in a zone or boot there."""
        return self.count_serving(zone, is_reclaimable=is_reclaimable) + sum(
            one.count
            for one in self.booting
            if one.zone == zone and one.is_reclaimable == is_reclaimable
        )

    def count_after_zone_loss(self, *, is_booting_counted: bool) -> int:
        """Return the reclaimable runners left when a zone's are taken back.

        While the platform has none to give, it takes back those of the other
        zones as well, at times within a second: then none is certain.

        Args:
            is_booting_counted: Count those that boot as well.
        """
        if self.is_out_of_reclaimable:
            return 0
        count = (
            self.count_expected if is_booting_counted else self.count_serving
        )
        zones = [count(zone, is_reclaimable=True) for zone in self.zones]
        return sum(zones) - max(zones, default=0)


@dataclasses.dataclass(frozen=True)
class ZoneOrder:
    """What is wanted in a zone.

    Attributes:
        zone: The availability zone.
        is_reclaimable: Of the cheap kind that may be taken back.
        wanted: How many.
    """

    zone: str
    is_reclaimable: bool
    wanted: int


def plan_reclaimable(
    state: ServiceState, target: CapacityTarget
) -> list[ZoneOrder]:
    """Return the reclaimable runners wanted in each zone to meet the target.

    It should also be met when the zone with the most of them loses them, for
    reclaims come in waves and a runner takes long to boot.

    Args:
        state: The runners as they are.
        target: Engines that the callers' load takes.
    """
    limits = state.limits
    other_zones = max(1, len(state.zones) - 1)
    per_zone = math.ceil(max(target.required, target.desired) / other_zones)
    per_zone = max(limits.least, per_zone)
    orders = []
    for zone in state.zones:
        on_demand = state.count_expected(zone, is_reclaimable=False)
        room = max(0, limits.most - on_demand)
        orders.append(ZoneOrder(zone, True, min(per_zone, room)))
    return orders


def plan_on_demand(
    state: ServiceState, target: CapacityTarget
) -> list[ZoneOrder]:
    """Return the on-demand runners wanted in each zone for what is missing.

    Args:
        state: The runners as they are, and those that the platform has
            promised.
        target: Engines that the callers' load takes.
    """
    chosen = _choose_on_demand(state, _count_on_demand(state, target.required))
    return [ZoneOrder(zone, False, chosen.get(zone, 0)) for zone in state.zones]


def _count_on_demand(state: ServiceState, required: int) -> int:
    """Return how many on-demand runners to have.

    None is bought for what boots already, for it would come no sooner. None
    is given up before what boots serves.
    """
    least = max(
        0, required - state.count_after_zone_loss(is_booting_counted=True)
    )
    most = max(
        0, required - state.count_after_zone_loss(is_booting_counted=False)
    )
    held = sum(
        state.count_expected(zone, is_reclaimable=False) for zone in state.zones
    )
    return min(most, max(least, held))


def _choose_on_demand(state: ServiceState, missing: int) -> dict[str, int]:
    """Spread on-demand runners: where they serve or boot, then by price.

    None takes the place of a reclaimable runner that serves or boots.
    """

    def has_room(zone: str) -> bool:
        reclaimable = state.count_expected(zone, is_reclaimable=True)
        return reclaimable + chosen.get(zone, 0) < state.limits.most

    def rank(zone: str) -> tuple[bool, float]:
        chosen_count = chosen.get(zone, 0)
        is_added = (
            state.count_expected(zone, is_reclaimable=False) <= chosen_count
        )
        price = state.limits.zone_prices.get(zone, 1.0)
        return is_added, price * (1 + chosen_count)

    chosen: dict[str, int] = {}
    for _ in range(missing):
        room = [zone for zone in state.zones if has_room(zone)]
        if not room:
            return chosen
        best = min(room, key=rank)
        chosen[best] = chosen.get(best, 0) + 1
    return chosen
