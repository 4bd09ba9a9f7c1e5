"""Order runners from the platform to match demand, as the lease holder."""

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
_RECONCILE_INTERVAL_S = 0.5
# The first reconciliation waits until the directory has listed the runners; an
# order from a partial list would stop runners that serve.
_START_DELAY_S = 3.4
# Remaining lease time needed to start a call, so that it ends within the lease.
_MIN_LEASE_S = 0.5
# A refusal counts as a shortage until the refused order has been retried.
_REFUSAL_VALID_S = 2.5
# The target falls only after the need has stayed lower for this long, since
# runners take seconds to boot.
_SCALE_DOWN_DELAY_S = 12.0
# Until demand has been observed for this long, this fraction of the initial
# runners is required and all of them are desired: restarted engines have empty
# caches.
_WARMUP_S = 15.0
_WARMUP_FRACTION = 0.6
_HTTP_CONFLICT = 409


@dataclasses.dataclass(frozen=True)
class CapacityParts:
    """Dependencies of `CapacityController`.

    Attributes:
        cloud: Accepts orders of runners.
        holder: The name under which this daemon orders.
        lease: The lease that permits orders.
        store: The catalog.
        directory: The known runners.
        meter: Rates of uncached prompt tokens at this daemon.
        ledger: Requests in progress at runners.
        estimates: Prefill speed of each service's engines.
        fleet: What other daemons gossip.
        limits: Rate limits that runners reported.
        list_serving: Returns those of a service's usable runners whose
            version receives its regular requests, canaries excluded.
        find_speed: Returns the speed of a runner relative to its service's.
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
    find_speed: Callable[[str], float] = lambda _: 1.0


class CapacityController:
    """Keeps each service at its target number of runners."""

    def __init__(self, parts: CapacityParts) -> None:
        self._parts = parts
        self._orders: dict[
            tuple[str, str, bool], capacity_order.CapacityOrder
        ] = {}
        self._required: dict[str, delayed_decrease.DelayedDecrease] = {}
        self._desired: dict[str, delayed_decrease.DelayedDecrease] = {}
        self._forecasts: dict[str, delayed_decrease.DelayedDecrease] = {}
        self._targets: dict[str, capacity_plan.CapacityTarget] = {}
        self._trends: dict[str, demand_trend.DemandTrend] = {}
        self._initial_counts: dict[str, int] = {}
        self._fence = 0
        self._first_demand_at: float | None = None

    async def run(self) -> None:
        """Reconcile all services until cancelled."""
        await trio.sleep(_START_DELAY_S)
        while True:
            await trio.sleep(_RECONCILE_INTERVAL_S)
            services = self._parts.store.table.catalog.services
            for service in list(services.values()):
                if service.scaling is not None and service.engine is not None:
                    await self._reconcile(service, service.scaling)

    async def _reconcile(
        self, service: catalog.Service, limits: catalog.ScalingLimits
    ) -> None:
        state = self._build_state(service.name, limits)
        # The target is kept up to date without the lease as well, so that a
        # successor starts from the current need.
        target = self._update_target(service, state)
        if not self._parts.lease.is_held(_MIN_LEASE_S):
            return
        if self._fence != self._parts.lease.fence:
            self._fence = self._parts.lease.fence
            # Another holder may have ordered since, so own orders are outdated.
            self._orders.clear()
        for order in capacity_plan.plan_reclaimable(state, target):
            await self._send_order(service.name, state, order)
        # Runners that the platform just granted must not be ordered on demand
        # as well.
        state = self._build_state(service.name, limits)
        for order in capacity_plan.plan_on_demand(state, target):
            await self._send_order(service.name, state, order)

    def _build_state(
        self, service: str, limits: catalog.ScalingLimits
    ) -> capacity_plan.ServiceState:
        usable = self._parts.directory.list_usable(service)
        serving = tuple(self._parts.list_serving(service, usable))
        # A zone without any runner left must stay orderable.
        used = self._parts.directory.list_zones(service)
        zones = set(limits.zone_prices) or used
        return capacity_plan.ServiceState(
            limits,
            tuple(sorted(zones & used or zones)),
            serving,
            self._list_booting(service, limits, serving),
            self._is_out_of_reclaimable(service),
            {one.id: self._parts.find_speed(one.id) for one in serving},
        )

    def _is_out_of_reclaimable(self, service: str) -> bool:
        """Return whether reclaimable runners were refused recently."""
        oldest = trio.current_time() - _REFUSAL_VALID_S
        return any(
            name == service
            and is_reclaimable
            and last_order.status == _HTTP_CONFLICT
            and last_order.sent_at > oldest
            for (name, _, is_reclaimable), last_order in self._orders.items()
        )

    def _list_booting(
        self,
        service: str,
        limits: catalog.ScalingLimits,
        serving: tuple[runners.Runner, ...],
    ) -> tuple[capacity_plan.BootingRunners, ...]:
        """Return the runners that were ordered and don't serve yet."""
        now = trio.current_time()
        found = []
        for (name, zone, is_reclaimable), last_order in self._orders.items():
            if name != service:
                continue
            last_order.note_serving(
                sum(
                    one.zone == zone and one.is_reclaimable == is_reclaimable
                    for one in serving
                )
            )
            booting = last_order.count_booting(now, limits.boot_s)
            if booting > 0:
                found.append(
                    capacity_plan.BootingRunners(zone, is_reclaimable, booting)
                )
        return tuple(found)

    def _update_target(
        self, service: catalog.Service, state: capacity_plan.ServiceState
    ) -> capacity_plan.CapacityTarget:
        """Return the current target; it falls only after a delay."""
        now = trio.current_time()
        slots = service.engine.slots if service.engine else 1
        measured = dataclasses.replace(
            self._measure_demand(service.name),
            mean_speed=state.find_mean_speed(),
        )
        forecast = self._forecast_demand(service.name, measured, state.limits)
        forecast_count = forecast.count_required(slots)
        # A rate-limited runner provides only part of its capacity.
        lost_to_limits = self._count_lost_to_limits(
            service.name, state, measured
        )
        count = measured.count_required(slots) + lost_to_limits
        desired = measured.count_desired(slots) + lost_to_limits
        if not self._parts.estimates.find(service.name).is_learnt:
            # Before the prefill speed is known, an assumed speed must not cause
            # orders of additional runners.
            count = min(count, len(state.runners))
            desired = min(desired, len(state.runners))
            forecast_count = 0
        if measured.tokens_per_s > 0 and self._first_demand_at is None:
            self._first_demand_at = now
        if (
            self._first_demand_at is None
            or now - self._first_demand_at < _WARMUP_S
        ):
            initial_count = self._initial_counts.setdefault(
                service.name, len(state.runners)
            )
            count = max(count, math.ceil(_WARMUP_FRACTION * initial_count))
            desired = max(desired, initial_count)
        # A forecast that demand has not confirmed after one boot time is
        # dropped.
        held_forecast = self._forecasts.setdefault(
            service.name, delayed_decrease.DelayedDecrease(state.limits.boot_s)
        )
        forecast_count = held_forecast.update(now, forecast_count)
        held_required = self._required.setdefault(
            service.name, delayed_decrease.DelayedDecrease(_SCALE_DOWN_DELAY_S)
        )
        held_desired = self._desired.setdefault(
            service.name, delayed_decrease.DelayedDecrease(_SCALE_DOWN_DELAY_S)
        )
        target = capacity_plan.CapacityTarget(
            max(forecast_count, held_required.update(now, count)),
            max(forecast_count, held_desired.update(now, desired)),
        )
        self._log_new_target(service.name, target, measured)
        return target

    def _count_lost_to_limits(
        self,
        service: str,
        state: capacity_plan.ServiceState,
        measured: capacity_plan.ServiceDemand,
    ) -> int:
        """Return how many runners' worth of capacity rate limits take away."""
        known_limits = [
            self._parts.limits.find_limit(one) for one in state.runners
        ]
        limits = [limit for limit in known_limits if limit is not None]
        tokens = self._parts.meter.find_mean_tokens(service)
        return measured.count_lost_to_limits(limits, tokens)

    def _log_new_target(
        self,
        service: str,
        target: capacity_plan.CapacityTarget,
        measured: capacity_plan.ServiceDemand,
    ) -> None:
        if self._targets.get(service) == target:
            return
        self._targets[service] = target
        _LOG.write(
            f"Needs {target.required} engines, {target.desired} with headroom.",
            service=service,
            tokens_per_s=round(measured.tokens_per_s),
            read_tokens_per_s=round(measured.read_tokens_per_s),
            mean_speed=round(measured.mean_speed, 3),
            requests=measured.requests,
            unread=measured.unread_tokens,
            learnt=self._parts.estimates.find(service).is_learnt,
            leads=self._parts.lease.is_held(),
        )

    def _forecast_demand(
        self,
        service: str,
        measured: capacity_plan.ServiceDemand,
        limits: catalog.ScalingLimits,
    ) -> capacity_plan.ServiceDemand:
        """Return the demand expected when runners ordered now will serve."""
        trend = self._trends.setdefault(service, demand_trend.DemandTrend())
        trend.add_rate(trio.current_time(), measured.tokens_per_s)
        rate = trend.forecast_rate(demand.DECAY_TIME_S + limits.boot_s)
        return dataclasses.replace(measured, tokens_per_s=rate)

    def _measure_demand(self, service: str) -> capacity_plan.ServiceDemand:
        parts = self._parts
        rate = parts.meter.list_rates().get(service, 0.0)
        rate += parts.fleet.sum_demand(service)
        runner_loads = [
            parts.ledger.find(runner.id)
            for runner in parts.directory.list_all(service)
        ]
        return capacity_plan.ServiceDemand(
            rate,
            sum(load.requests for load in runner_loads),
            parts.estimates.find(service).read_tokens_per_s,
            sum(load.unread_tokens for load in runner_loads),
        )

    async def _send_order(
        self,
        service: str,
        state: capacity_plan.ServiceState,
        order: capacity_plan.ZoneOrder,
    ) -> None:
        wanted = order.wanted
        key = (service, order.zone, order.is_reclaimable)
        last_order = self._orders.setdefault(
            key, capacity_order.CapacityOrder()
        )
        serving = state.count_serving(
            order.zone, is_reclaimable=order.is_reclaimable
        )
        last_order.note_serving(serving)
        if not last_order.is_due(
            trio.current_time(), wanted, state.limits.boot_s
        ):
            return
        if not self._parts.lease.is_held(_MIN_LEASE_S):
            return
        last_order.note_sent(wanted)
        answer = await self._parts.cloud.order_runners(
            ports.DesiredRunners(
                service, order.zone, order.is_reclaimable, wanted
            ),
            self._parts.holder,
            self._parts.lease.fence,
        )
        match answer:
            case Result(tag="ok", ok=status):
                last_order.status = status
            case _:
                last_order.status = 0
        _LOG.write(
            f"Ordered {wanted} runners in zone {order.zone}, {serving} serve.",
            service=service,
            zone=order.zone,
            reclaimable=order.is_reclaimable,
            status=last_order.status,
            error=None if answer.is_ok() else answer.error.message,
            fence=self._fence,
        )
