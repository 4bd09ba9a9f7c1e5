"""Order runners while this daemon holds the lease."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.serving import ports
from martenquay_daemon.duties import (
    capacity_order,
    capacity_plan,
    delayed_decrease,
    demand_trend,
)
from martenquay_daemon.engines import demand

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import catalog, runners
    from martenquay_daemon.backpressure import runner_limits
    from martenquay_daemon.discovery import catalog_store, runner_directory
    from martenquay_daemon.duties import lease
    from martenquay_daemon.engines import loads, model
    from martenquay_daemon.fleet import view

__all__ = ["CapacityController", "CapacityParts"]

_LOG = logs.create_log("capacity")
_POLL_S = 0.5
# A common start shows the runners' entries one by one for up to 3.4 s. A holder
# that looked sooner took five of nine for all, and planned a third less.
_SETTLE_S = 3.4
_CALL_S = 0.5
# A refusal tells of the platform for so long: until after the next try.
_DRY_S = 2.5
# Less is ordered only when less has been needed for so long: waves of a day
# come back, and a runner takes seconds to boot.
_LOWER_AFTER_S = 12.0
# Before so many seconds of traffic have been seen, this part of the runners
# that there were at first is needed. Operators provide for peaks; the part is
# what a peak takes of the sites' pools when read load is as planned. All of
# them are comfortable: engines that start have nothing cached.
_LEARN_S = 15.0
_START_PART = 0.6
_REFUSED = 409


@dataclasses.dataclass(frozen=True)
class CapacityParts:
    """What a keeper decides with.

    Attributes:
        cloud: Takes orders.
        holder: The name under which this daemon orders.
        lease: The right to order.
        store: The catalog.
        directory: The runners.
        meter: What callers bring to this daemon.
        ledger: What runs at runners.
        estimates: How fast they are.
        fleet: What other daemons tell.
        limits: What runners in need say that they take.
        list_serving: Returns, of a service's usable runners, those of versions
            that carry its requests. Those on trial are the platform's to give.
    """

    cloud: ports.CloudPort
    holder: str
    lease: lease.Lease
    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    meter: demand.DemandMeter
    ledger: loads.LoadLedger
    estimates: model.RunnerModel
    fleet: view.FleetView
    limits: runner_limits.RunnerLimits
    list_serving: Callable[[str, list[runners.Runner]], list[runners.Runner]]


class CapacityController:
    """Keep as many runners as the load takes, as cheap as can be."""

    def __init__(self, parts: CapacityParts) -> None:
        self._parts = parts
        self._lines: dict[
            tuple[str, str, bool], capacity_order.CapacityOrder
        ] = {}
        self._needs: dict[str, delayed_decrease.DelayedDecrease] = {}
        self._comforts: dict[str, delayed_decrease.DelayedDecrease] = {}
        self._rises: dict[str, delayed_decrease.DelayedDecrease] = {}
        self._targets: dict[str, capacity_plan.CapacityTarget] = {}
        self._trends: dict[str, demand_trend.DemandTrend] = {}
        self._first_counts: dict[str, int] = {}
        self._fence = 0
        self._busy_since: float | None = None

    async def run(self) -> None:
        """Order until cancelled."""
        # Orders by half of the entries would take runners away that serve.
        await trio.sleep(_SETTLE_S)
        while True:
            await trio.sleep(_POLL_S)
            services = self._parts.store.table.catalog.services
            for service in list(services.values()):
                if service.scaling is not None and service.engine is not None:
                    await self._keep(service, service.scaling)

    async def _keep(
        self, service: catalog.Service, limits: catalog.ScalingLimits
    ) -> None:
        state = self._find_state(service.name, limits)
        # Followed without the lease as well: a successor knows what is needed.
        target = self._find_target(service, state)
        if not self._parts.lease.is_held(_CALL_S):
            return
        if self._fence != self._parts.lease.fence:
            self._fence = self._parts.lease.fence
            # A former holder's orders are not known.
            self._lines.clear()
        for order in capacity_plan.plan_reclaimable(state, target):
            await self._order(service.name, state, order)
        # What the platform has just promised need not be bought dearer.
        state = self._find_state(service.name, limits)
        for order in capacity_plan.plan_on_demand(state, target):
            await self._order(service.name, state, order)

    def _find_state(
        self, service: str, limits: catalog.ScalingLimits
    ) -> capacity_plan.ServiceState:
        usable = self._parts.directory.list_usable(service)
        serving = tuple(self._parts.list_serving(service, usable))
        # A zone whose runners were all taken back stays one to order in.
        used = self._parts.directory.list_zones(service)
        zones = set(limits.zone_prices) or used
        return capacity_plan.ServiceState(
            limits,
            tuple(sorted(zones & used or zones)),
            serving,
            self._list_booting(service, limits, serving),
            self._is_dry(service),
        )

    def _is_dry(self, service: str) -> bool:
        """Tell whether reclaimable runners were refused just now."""
        oldest = trio.current_time() - _DRY_S
        return any(
            name == service
            and is_reclaimable
            and line.status == _REFUSED
            and line.sent_at > oldest
            for (name, _, is_reclaimable), line in self._lines.items()
        )

    def _list_booting(
        self,
        service: str,
        limits: catalog.ScalingLimits,
        serving: tuple[runners.Runner, ...],
    ) -> tuple[capacity_plan.BootingRunners, ...]:
        """Return what was promised lately and does not serve yet."""
        now = trio.current_time()
        found = []
        for (name, zone, is_reclaimable), line in self._lines.items():
            if name != service:
                continue
            line.note_serving(
                sum(
                    one.zone == zone and one.is_reclaimable == is_reclaimable
                    for one in serving
                )
            )
            missing = line.count_booting(now, limits.boot_s)
            if missing > 0:
                found.append(
                    capacity_plan.BootingRunners(zone, is_reclaimable, missing)
                )
        return tuple(found)

    def _find_target(
        self, service: catalog.Service, state: capacity_plan.ServiceState
    ) -> capacity_plan.CapacityTarget:
        """Return the runners to aim for; they fall only after a while."""
        now = trio.current_time()
        slots = service.engine.slots if service.engine else 1
        measured = self._measure(service.name)
        foreseen = self._foresee(service.name, measured, state.limits)
        rise = foreseen.count_needed(slots)
        # Who takes a request now and then is no whole engine.
        missing = self._count_missing(service.name, state, measured)
        count = measured.count_needed(slots) + missing
        comfortable = measured.count_busy(slots) + missing
        if not self._parts.estimates.find(service.name).is_learnt:
            # What is only assumed of engines keeps what runs and buys nothing.
            count = min(count, len(state.runners))
            comfortable = min(comfortable, len(state.runners))
            rise = 0
        if measured.tokens_per_s > 0 and self._busy_since is None:
            self._busy_since = now
        if self._busy_since is None or now - self._busy_since < _LEARN_S:
            first = self._first_counts.setdefault(
                service.name, len(state.runners)
            )
            count = max(count, math.ceil(_START_PART * first))
            comfortable = max(comfortable, first)
        # What was foreseen and is not there a boot later was no wave.
        rises = self._rises.setdefault(
            service.name, delayed_decrease.DelayedDecrease(state.limits.boot_s)
        )
        rise = rises.follow(now, rise)
        needed = self._needs.setdefault(
            service.name, delayed_decrease.DelayedDecrease(_LOWER_AFTER_S)
        )
        spare = self._comforts.setdefault(
            service.name, delayed_decrease.DelayedDecrease(_LOWER_AFTER_S)
        )
        target = capacity_plan.CapacityTarget(
            max(rise, needed.follow(now, count)),
            max(rise, spare.follow(now, comfortable)),
        )
        self._note_target(service.name, target, measured)
        return target

    def _count_missing(
        self,
        service: str,
        state: capacity_plan.ServiceState,
        measured: capacity_plan.CapacityNeed,
    ) -> int:
        """Return how many engines those with a limit fall short of."""
        found = [self._parts.limits.find_limit(one) for one in state.runners]
        limits = [limit for limit in found if limit is not None]
        tokens = self._parts.meter.find_size(service)
        return measured.find_missing(limits, tokens)

    def _note_target(
        self,
        service: str,
        target: capacity_plan.CapacityTarget,
        measured: capacity_plan.CapacityNeed,
    ) -> None:
        if self._targets.get(service) == target:
            return
        self._targets[service] = target
        _LOG.write(
            f"Needs {target.needed} engines, {target.comfortable} are comfort.",
            service=service,
            tokens_per_s=round(measured.tokens_per_s),
            read_tokens_per_s=round(measured.read_tokens_per_s),
            requests=measured.requests,
            unread=measured.unread_tokens,
            learnt=self._parts.estimates.find(service).is_learnt,
            leads=self._parts.lease.is_held(),
        )

    def _foresee(
        self,
        service: str,
        measured: capacity_plan.CapacityNeed,
        limits: catalog.ScalingLimits,
    ) -> capacity_plan.CapacityNeed:
        """Return the need by the time that what is ordered now serves."""
        trend = self._trends.setdefault(service, demand_trend.DemandTrend())
        trend.note(trio.current_time(), measured.tokens_per_s)
        rate = trend.find_rate(demand.MEMORY_S + limits.boot_s)
        return dataclasses.replace(measured, tokens_per_s=rate)

    def _measure(self, service: str) -> capacity_plan.CapacityNeed:
        parts = self._parts
        rate = parts.meter.list_rates().get(service, 0.0)
        rate += parts.fleet.sum_demand(service)
        found = [
            parts.ledger.find(runner.id)
            for runner in parts.directory.list_all(service)
        ]
        return capacity_plan.CapacityNeed(
            rate,
            sum(load.requests for load in found),
            parts.estimates.find(service).read_tokens_per_s,
            sum(load.unread_tokens for load in found),
        )

    async def _order(
        self,
        service: str,
        state: capacity_plan.ServiceState,
        order: capacity_plan.ZoneOrder,
    ) -> None:
        wanted = order.wanted
        key = (service, order.zone, order.is_reclaimable)
        line = self._lines.setdefault(key, capacity_order.CapacityOrder())
        serving = state.count(order.zone, is_reclaimable=order.is_reclaimable)
        line.note_serving(serving)
        if not line.is_due(trio.current_time(), wanted, state.limits.boot_s):
            return
        if not self._parts.lease.is_held(_CALL_S):
            return
        line.note_sent(wanted)
        answer = await self._parts.cloud.order_runners(
            ports.RunnerOrderLine(
                service, order.zone, order.is_reclaimable, wanted
            ),
            self._parts.holder,
            self._parts.lease.fence,
        )
        match answer:
            case Result(tag="ok", ok=status):
                line.status = status
            case _:
                line.status = 0
        _LOG.write(
            f"Ordered {wanted} in {order.zone}, {serving} serve.",
            service=service,
            zone=order.zone,
            reclaimable=order.is_reclaimable,
            status=line.status,
            error=None if answer.is_ok() else answer.error.message,
            fence=self._fence,
        )
