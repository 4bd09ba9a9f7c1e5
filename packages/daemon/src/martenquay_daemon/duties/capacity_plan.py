"""Plan how many reclaimable and on-demand runners a service needs per zone.

Reclaimable runners are cheap, but the platform may take back all those of a
zone at once. They are spread over the zones, with enough of them to lose any
one zone. On-demand runners replace reclaimable ones that don't serve
yet or can't be had.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from martenquay_daemon.duties import zone_spread

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

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

# Fraction of the estimated prefill speed to plan with; above it, queueing
# delays the first token. With 0.5, engines cost a fifth more and served as
# many.
_PREFILL_UTILIZATION = 0.65
# Fraction of the slots in use to plan with: for required runners, and for
# desired ones, which are cheaper. With 0.5 for both, runners cost a fifth more
# while reclaimable ones were refused, and callers were served no better.
_REQUIRED_SLOT_UTILIZATION = 0.65
_DESIRED_SLOT_UTILIZATION = 0.5
# Time to process queued prompts; about as long as a runner takes to boot.
_BACKLOG_DRAIN_S = 4.0


@dataclasses.dataclass(frozen=True)
class ServiceDemand:
    """Demand for a service over all daemons.

    Attributes:
        tokens_per_s: Uncached prompt tokens that arrive.
        requests: Requests running or queued at runners.
        read_tokens_per_s: Prefill speed of a runner of speed 1.
        unread_tokens: Prompt tokens queued at runners.
        mean_speed: Mean speed of the serving runners.
    """

    tokens_per_s: float
    requests: int
    read_tokens_per_s: float
    unread_tokens: int = 0
    mean_speed: float = 1.0

    def count_lost_to_limits(
        self, limits: Sequence[float], tokens: float
    ) -> int:
        """Return how many runners' worth of capacity rate limits take away.

        Args:
            limits: The limit of each limited runner, in requests per second.
            tokens: Mean uncached prompt tokens of a request.
        """
        if tokens <= 0:
            return 0
        requests_per_s = self.read_tokens_per_s * _PREFILL_UTILIZATION / tokens
        fractions = [min(1.0, limit / requests_per_s) for limit in limits]
        return round(len(fractions) - sum(fractions))

    def count_required(self, slots: int) -> int:
        """Return the runners that the arriving load needs."""
        return self._count_runners(
            slots * _REQUIRED_SLOT_UTILIZATION, self.tokens_per_s
        )

    def count_desired(self, slots: int) -> int:
        """Return the runners that arriving load and backlog need."""
        backlog_per_s = self.unread_tokens / _BACKLOG_DRAIN_S
        tokens_per_s = self.tokens_per_s + backlog_per_s
        return self._count_runners(
            slots * _DESIRED_SLOT_UTILIZATION, tokens_per_s
        )

    def _count_runners(self, slots: float, tokens_per_s: float) -> int:
        # A runner that is added, or given up, is expected to be like the mean.
        for_prefill = tokens_per_s / (
            self.read_tokens_per_s * self.mean_speed * _PREFILL_UTILIZATION
        )
        for_slots = self.requests / max(1.0, slots)
        return max(1, math.ceil(max(for_prefill, for_slots)))


@dataclasses.dataclass(frozen=True)
class CapacityTarget:
    """How many runners a service should have.

    Attributes:
        required: Minimum; missing ones are replaced by on-demand runners.
        desired: Number of reclaimable runners, with headroom for bursts and
            reclaims.
    """

    required: int
    desired: int


@dataclasses.dataclass(frozen=True)
class BootingRunners:
    """Runners that the platform granted and that don't serve yet.

    Attributes:
        zone: Their availability zone.
        is_reclaimable: Whether they are reclaimable or on demand.
        count: How many there are.
    """

    zone: str
    is_reclaimable: bool
    count: int


@dataclasses.dataclass(frozen=True)
class ServiceState:
    """The current runners of a service.

    Attributes:
        limits: Limits on orders.
        zones: Availability zones in which the service may run.
        runners: Runners that are not draining.
        booting: Runners that were ordered and don't serve yet.
        is_out_of_reclaimable: The platform refused reclaimable runners
            recently.
        speeds: Speed of each runner relative to its service's, by runner id;
            1 for the others.
    """

    limits: catalog.ScalingLimits
    zones: tuple[str, ...]
    runners: tuple[runners.Runner, ...]
    booting: tuple[BootingRunners, ...] = ()
    is_out_of_reclaimable: bool = False
    speeds: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def find_mean_speed(self) -> float:
        """Return the mean speed of the serving runners; 1 without any."""
        if not self.runners:
            return 1.0
        return self._sum_speeds(self.runners) / len(self.runners)

    def count_serving(self, zone: str, *, is_reclaimable: bool) -> int:
        """Return the runners of one kind that serve in a zone."""
        return sum(
            runner.zone == zone and runner.is_reclaimable == is_reclaimable
            for runner in self.runners
        )

    def count_expected(self, zone: str, *, is_reclaimable: bool) -> int:
        """Return the runners of one kind that serve or boot in a zone."""
        return self.count_serving(zone, is_reclaimable=is_reclaimable) + sum(
            one.count
            for one in self.booting
            if one.zone == zone and one.is_reclaimable == is_reclaimable
        )

    def count_after_zone_loss(self, *, is_booting_counted: bool) -> int:
        """Return the reclaimable runners left if the largest zone is reclaimed.

        A runner of twice the mean speed counts as two. A platform that is out
        of reclaimable runners may take back several zones at once; then the
        result is 0.

        Args:
            is_booting_counted: Count booting runners as well.
        """
        if self.is_out_of_reclaimable:
            return 0
        zones = [
            self._count_work(zone, is_booting_counted=is_booting_counted)
            for zone in self.zones
        ]
        # Rounding errors of the division must not cost a runner.
        return math.floor(round(sum(zones) - max(zones, default=0.0), 6))

    def _count_work(self, zone: str, *, is_booting_counted: bool) -> float:
        """Return a zone's reclaimable runners, weighted by their speed."""
        serving = [
            runner
            for runner in self.runners
            if runner.zone == zone and runner.is_reclaimable
        ]
        work = self._sum_speeds(serving) / self.find_mean_speed()
        if not is_booting_counted:
            return work
        expected = self.count_expected(zone, is_reclaimable=True)
        return work + expected - len(serving)

    def _sum_speeds(self, chosen: Sequence[runners.Runner]) -> float:
        return sum(self.speeds.get(runner.id, 1.0) for runner in chosen)


@dataclasses.dataclass(frozen=True)
class ZoneOrder:
    """The number of runners of one kind to have in a zone.

    Attributes:
        zone: The availability zone.
        is_reclaimable: Whether they are reclaimable or on demand.
        wanted: How many there should be.
    """

    zone: str
    is_reclaimable: bool
    wanted: int


def plan_reclaimable(
    state: ServiceState, target: CapacityTarget
) -> list[ZoneOrder]:
    """Return the reclaimable runners to have in each zone.

    The target is still met if the platform reclaims all runners of the
    largest zone; as far as that allows, cheaper zones get more.

    Args:
        state: The current runners.
        target: How many runners the service should have.
    """
    limits = state.limits
    rooms = {
        zone: max(
            0, limits.most - state.count_expected(zone, is_reclaimable=False)
        )
        for zone in state.zones
    }
    counts = zone_spread.spread_over_zones(
        max(target.required, target.desired), rooms, limits.zone_prices
    )
    return [
        ZoneOrder(zone, True, min(room, max(limits.least, counts[zone])))
        for zone, room in rooms.items()
    ]


def plan_on_demand(
    state: ServiceState, target: CapacityTarget
) -> list[ZoneOrder]:
    """Return the on-demand runners to have in each zone.

    Args:
        state: The current runners, with those that the platform granted.
        target: How many runners the service should have.
    """
    chosen = _choose_on_demand(state, _count_on_demand(state, target.required))
    return [ZoneOrder(zone, False, chosen.get(zone, 0)) for zone in state.zones]


def _count_on_demand(state: ServiceState, required: int) -> int:
    """Return how many on-demand runners to have.

    Booting reclaimable runners cause no purchase, since an on-demand runner
    would not serve sooner; but no on-demand runner is given up until they
    serve.
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
    """Spread on-demand runners, first to zones that have some, then by price.

    They never displace a reclaimable runner that serves or boots.
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
