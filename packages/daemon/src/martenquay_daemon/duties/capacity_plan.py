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
    "CapacityNeed",
    "CapacityTarget",
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
_READ_LOAD = 0.65
# The part of an engine's slots that may be in use on average: of the engines
# that have to be there at any price, and of those worth having of the cheap
# kind. With 0.5 for both, runners cost a fifth more on a day on which cheap
# ones were refused, and nobody was served better: those that there are serve
# on until their zone goes.
_SLOT_LOAD = 0.65
_EASY_SLOT_LOAD = 0.5
# A backlog of prompts should be read within this time beside what comes in;
# as long as a runner takes to boot, so that one more is there when it pays.
_BACKLOG_S = 4.0


@dataclasses.dataclass(frozen=True)
class CapacityNeed:
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

    def find_missing(self, limits: Sequence[float], tokens: float) -> int:
        """Return how many engines runners in need fall short of.

        Args:
            limits: The requests a second that each of them takes.
            tokens: That an engine has to read for a request.
        """
        if tokens <= 0:
            return 0
        usual_per_s = self.read_tokens_per_s * _READ_LOAD / tokens
        parts = [min(1.0, limit / usual_per_s) for limit in limits]
        return round(len(parts) - sum(parts))

    def count_needed(self, slots: int) -> int:
        """Return the engines that take what comes in."""
        return self._count(slots * _SLOT_LOAD, self.tokens_per_s)

    def count_busy(self, slots: int) -> int:
        """Return the engines that take the backlog as well."""
        backlog_per_s = self.unread_tokens / _BACKLOG_S
        tokens_per_s = self.tokens_per_s + backlog_per_s
        return self._count(slots * _EASY_SLOT_LOAD, tokens_per_s)

    def _count(self, slots: float, tokens_per_s: float) -> int:
        for_reading = tokens_per_s / (self.read_tokens_per_s * _READ_LOAD)
        for_slots = self.requests / max(1.0, slots)
        return max(1, math.ceil(max(for_reading, for_slots)))


@dataclasses.dataclass(frozen=True)
class CapacityTarget:
    """How many runners to aim for.

    Attributes:
        needed: Without these, first tokens are late; on-demand runners make
            up for what is missing.
        comfortable: What is worth having of the cheap kind, which takes up
            clumps of arrivals and what a wave of reclaims leaves.
    """

    needed: int
    comfortable: int


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
    is_dry: bool = False

    def count(self, zone: str, *, is_reclaimable: bool) -> int:
        """Return the runners of one kind that serve in a zone."""
        return sum(
            runner.zone == zone and runner.is_reclaimable == is_reclaimable
            for runner in self.runners
        )

    def count_coming(self, zone: str, *, is_reclaimable: bool) -> int:
        """Return the runners of one kind that serve in a zone or boot there."""
        return self.count(zone, is_reclaimable=is_reclaimable) + sum(
            one.count
            for one in self.booting
            if one.zone == zone and one.is_reclaimable == is_reclaimable
        )

    def count_certain(self, *, is_coming: bool) -> int:
        """Return the reclaimable runners left when a zone's are taken back.

        While the platform has none to give, it takes back those of the other
        zones as well, at times within a second: then none is certain.

        Args:
            is_coming: Count those that boot as well.
        """
        if self.is_dry:
            return 0
        count = self.count_coming if is_coming else self.count
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
    others = max(1, len(state.zones) - 1)
    a_zone = math.ceil(max(target.needed, target.comfortable) / others)
    a_zone = max(limits.least, a_zone)
    orders = []
    for zone in state.zones:
        dear = state.count_coming(zone, is_reclaimable=False)
        room = max(0, limits.most - dear)
        orders.append(ZoneOrder(zone, True, min(a_zone, room)))
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
    chosen = _choose_on_demand(state, _count_on_demand(state, target.needed))
    return [ZoneOrder(zone, False, chosen.get(zone, 0)) for zone in state.zones]


def _count_on_demand(state: ServiceState, needed: int) -> int:
    """Return how many on-demand runners to have.

    None is bought for what boots already, for it would come no sooner. None
    is given up before what boots serves.
    """
    least = max(0, needed - state.count_certain(is_coming=True))
    most = max(0, needed - state.count_certain(is_coming=False))
    held = sum(
        state.count_coming(zone, is_reclaimable=False) for zone in state.zones
    )
    return min(most, max(least, held))


def _choose_on_demand(state: ServiceState, missing: int) -> dict[str, int]:
    """Spread on-demand runners: where they serve or boot, then by price.

    None takes the place of a reclaimable runner that serves or boots.
    """

    def has_room(zone: str) -> bool:
        cheap = state.count_coming(zone, is_reclaimable=True)
        return cheap + chosen.get(zone, 0) < state.limits.most

    def rank(zone: str) -> tuple[bool, float]:
        already = chosen.get(zone, 0)
        is_new = state.count_coming(zone, is_reclaimable=False) <= already
        price = state.limits.zone_prices.get(zone, 1.0)
        return is_new, price * (1 + already)

    chosen: dict[str, int] = {}
    for _ in range(missing):
        room = [zone for zone in state.zones if has_room(zone)]
        if not room:
            return chosen
        best = min(room, key=rank)
        chosen[best] = chosen.get(best, 0) + 1
    return chosen
