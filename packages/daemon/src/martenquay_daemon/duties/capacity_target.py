"""Find how many runners a service should have, from demand and speed."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.duties import (
    capacity_memory,
    capacity_plan,
    delayed_decrease,
    demand_trend,
    expected_demand,
)

if TYPE_CHECKING:
    from martenquay_core.serving import catalog
    from martenquay_daemon.backpressure import runner_limits
    from martenquay_daemon.discovery import catalog_store, runner_directory
    from martenquay_daemon.engines import demand, loads, model
    from martenquay_daemon.fleet import view

__all__ = ["TargetFinder", "TargetSources"]

_LOG = logs.create_log("capacity")
# The target falls only after the need has stayed lower for this long, since
# runners take seconds to boot.
_SCALE_DOWN_DELAY_S = 12.0
# Until demand has been observed for this long, this fraction of the initial
# runners is required and all of them are desired: restarted engines have empty
# caches.
_WARMUP_S = 15.0
_WARMUP_FRACTION = 0.6


@dataclasses.dataclass(frozen=True)
class TargetSources:
    """What a target is found from.

    Attributes:
        store: The catalog.
        directory: The known runners.
        meter: Rates of uncached prompt tokens at this daemon.
        ledger: Requests in progress at runners.
        estimates: Prefill speed of each service's engines.
        fleet: What other daemons gossip.
        limits: Rate limits that runners reported.
        expected_share: Demand assumed before any is measured, as a share of
            the sum of the teams' rates.
        memory: What an earlier lease holder learnt; gets what is learnt here.
    """

    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    meter: demand.DemandMeter
    ledger: loads.LoadLedger
    estimates: model.RunnerModel
    fleet: view.FleetView
    limits: runner_limits.RunnerLimits
    expected_share: float = 0.0
    memory: capacity_memory.CapacityMemory | None = None


@dataclasses.dataclass(frozen=True)
class _AssumedDemand:
    """Demand to plan for before enough has been measured.

    Attributes:
        demand: The demand.
        is_remembered: An earlier lease holder measured it. Otherwise only
            reclaimable runners are ordered for it: on three deployments,
            on-demand runners before any traffic cost more than they earned.
    """

    demand: capacity_plan.ServiceDemand
    is_remembered: bool


class TargetFinder:
    """Follows the need of each service; a target falls only after a delay."""

    def __init__(self, sources: TargetSources) -> None:
        self._sources = sources
        self._required: dict[str, delayed_decrease.DelayedDecrease] = {}
        self._desired: dict[str, delayed_decrease.DelayedDecrease] = {}
        self._forecasts: dict[str, delayed_decrease.DelayedDecrease] = {}
        self._targets: dict[str, capacity_plan.CapacityTarget] = {}
        self._trends: dict[str, demand_trend.DemandTrend] = {}
        self._initial_counts: dict[str, int] = {}
        self._first_demand_at: float | None = None

    def update(
        self,
        service: catalog.Service,
        state: capacity_plan.ServiceState,
        *,
        is_leading: bool,
    ) -> capacity_plan.CapacityTarget:
        """Return the current target.

        Args:
            service: The service.
            state: Its current runners.
            is_leading: This daemon holds the lease; only logged.
        """
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
        if not self._sources.estimates.find(service.name).is_learnt:
            # Before the prefill speed is known, an assumed speed must not cause
            # orders of additional runners.
            count = min(count, len(state.runners))
            desired = min(desired, len(state.runners))
            forecast_count = 0
        assumed_per_s = 0.0
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
            assumed = self._assume_demand(service.name, measured)
            assumed_per_s = assumed.demand.tokens_per_s
            if assumed.is_remembered:
                count = max(count, assumed.demand.count_required(slots))
            desired = max(
                desired, initial_count, assumed.demand.count_desired(slots)
            )
        else:
            self._note_learnt(service.name, measured)
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
        self._log_new_target(
            service.name, target, measured, assumed_per_s, is_leading
        )
        return target

    def _assume_demand(
        self, service: str, measured: capacity_plan.ServiceDemand
    ) -> _AssumedDemand:
        """Return the demand to plan for until enough has been measured.

        What an earlier lease holder measured is nearer to the present demand
        than a share of the teams' rates.
        """
        memory = self._sources.memory
        remembered = memory.load() if memory is not None else None
        known = None
        if remembered is not None and remembered.age_s is not None:
            known = remembered.services.get(service)
        if known is not None:
            rate = known.tokens_per_s
        else:
            rate = expected_demand.find_expected_rate(
                self._sources.store.table.catalog,
                service,
                self._sources.expected_share,
            )
        return _AssumedDemand(
            dataclasses.replace(
                measured, tokens_per_s=rate, requests=0, unread_tokens=0
            ),
            is_remembered=known is not None,
        )

    def _note_learnt(
        self, service: str, measured: capacity_plan.ServiceDemand
    ) -> None:
        estimate = self._sources.estimates.find(service)
        if self._sources.memory is None or not estimate.is_learnt:
            # An assumed speed must not be passed on as a learnt one.
            return
        self._sources.memory.note(
            service,
            capacity_memory.ServiceMemory(
                round(measured.tokens_per_s),
                round(estimate.read_tokens_per_s),
                round(estimate.hold_s, 4),
            ),
        )

    def _count_lost_to_limits(
        self,
        service: str,
        state: capacity_plan.ServiceState,
        measured: capacity_plan.ServiceDemand,
    ) -> int:
        """Return how many runners' worth of capacity rate limits take away."""
        known_limits = [
            self._sources.limits.find_limit(one) for one in state.runners
        ]
        limits = [limit for limit in known_limits if limit is not None]
        tokens = self._sources.meter.find_mean_tokens(service)
        return measured.count_lost_to_limits(limits, tokens)

    def _forecast_demand(
        self,
        service: str,
        measured: capacity_plan.ServiceDemand,
        limits: catalog.ScalingLimits,
    ) -> capacity_plan.ServiceDemand:
        """Return the demand expected when runners ordered now will serve."""
        trend = self._trends.setdefault(service, demand_trend.DemandTrend())
        meter = self._sources.meter
        if meter.is_settled(service):
            trend.add_rate(trio.current_time(), measured.tokens_per_s)
        rate = trend.forecast_rate(meter.find_lag_s(service) + limits.boot_s)
        return dataclasses.replace(measured, tokens_per_s=rate)

    def _measure_demand(self, service: str) -> capacity_plan.ServiceDemand:
        sources = self._sources
        rate = sources.meter.list_rates().get(service, 0.0)
        rate += sources.fleet.sum_demand(service)
        runner_loads = [
            sources.ledger.find(runner.id)
            for runner in sources.directory.list_all(service)
        ]
        return capacity_plan.ServiceDemand(
            rate,
            sum(load.requests for load in runner_loads),
            sources.estimates.find(service).read_tokens_per_s,
            sum(load.unread_tokens for load in runner_loads),
        )

    def _log_new_target(
        self,
        service: str,
        target: capacity_plan.CapacityTarget,
        measured: capacity_plan.ServiceDemand,
        assumed_per_s: float,
        is_leading: bool,
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
            learnt=self._sources.estimates.find(service).is_learnt,
            assumed=round(assumed_per_s),
            leads=is_leading,
        )
