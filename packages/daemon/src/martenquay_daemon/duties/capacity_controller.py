"""Order runners from the platform to match demand, as the lease holder."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.serving import ports
from martenquay_daemon.duties import (
    capacity_plan,
    capacity_target,
    order_book,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import catalog, runners
    from martenquay_daemon.discovery import catalog_store, runner_directory
    from martenquay_daemon.duties import lease

__all__ = ["CapacityController", "CapacityParts"]

_LOG = logs.create_log("capacity")
_RECONCILE_INTERVAL_S = 0.5
# The first reconciliation waits until the directory has listed the runners; an
# order from a partial list would stop runners that serve. After a common start,
# a holder that acted sooner saw five of nine runners and planned a third too
# few.
_START_DELAY_S = 3.4
# Remaining lease time needed to start a call, so that it ends within the lease.
_MIN_LEASE_S = 0.5
# Time for the other runners of a reclaimed zone to report, so that one order
# replaces them all.
_LOSS_BATCH_S = 0.1


@dataclasses.dataclass(frozen=True)
class CapacityParts:
    """Dependencies of `CapacityController`.

    Attributes:
        cloud: Accepts orders of runners.
        holder: The name under which this daemon orders.
        lease: The lease that permits orders.
        store: The catalog.
        directory: The known runners.
        targets: What the number of runners is found from.
        list_serving: Returns those of a service's usable runners whose
            version receives its regular requests, canaries excluded.
        find_speed: Returns the speed of a runner relative to its service's.
    """

    cloud: ports.CloudPort
    holder: str
    lease: lease.Lease
    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    targets: capacity_target.TargetSources
    list_serving: Callable[[str, list[runners.Runner]], list[runners.Runner]]
    find_speed: Callable[[str], float] = lambda _: 1.0


class CapacityController:
    """Keeps each service at its target number of runners."""

    def __init__(self, parts: CapacityParts) -> None:
        self._parts = parts
        self._targets = capacity_target.TargetFinder(parts.targets)
        self._orders = order_book.OrderBook()
        self._wake = trio.Event()
        self._fence = 0

    async def run(self) -> None:
        """Reconcile all services until cancelled."""
        await trio.sleep(_START_DELAY_S)
        while True:
            await self._wait()
            services = self._parts.store.table.catalog.services
            for service in list(services.values()):
                if service.scaling is not None and service.engine is not None:
                    await self._reconcile(service, service.scaling)

    def reconcile_soon(self) -> None:
        """Replace a runner that was lost without waiting for the interval."""
        self._wake.set()

    async def _wait(self) -> None:
        self._wake = trio.Event()
        with trio.move_on_after(_RECONCILE_INTERVAL_S):
            await self._wake.wait()
            await trio.sleep(_LOSS_BATCH_S)

    async def _reconcile(
        self, service: catalog.Service, limits: catalog.ScalingLimits
    ) -> None:
        state = self._build_state(service.name, limits)
        # The target is kept up to date without the lease as well, so that a
        # successor starts from the current need.
        target = self._targets.update(
            service, state, is_leading=self._parts.lease.is_held()
        )
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
            self._orders.list_booting(service, limits, serving),
            self._orders.is_out_of_reclaimable(service, limits),
            {one.id: self._parts.find_speed(one.id) for one in serving},
        )

    async def _send_order(
        self,
        service: str,
        state: capacity_plan.ServiceState,
        order: capacity_plan.ZoneOrder,
    ) -> None:
        wanted = order.wanted
        last_order = self._orders.find(
            service, order.zone, is_reclaimable=order.is_reclaimable
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
                self._orders.note_answer(service, order, status)
            case _:
                self._orders.note_answer(service, order, 0)
        _LOG.write(
            f"Ordered {wanted} runners in zone {order.zone}, {serving} serve.",
            service=service,
            zone=order.zone,
            reclaimable=order.is_reclaimable,
            status=last_order.status,
            refusals=last_order.refusals,
            error=None if answer.is_ok() else answer.error.message,
            fence=self._fence,
        )
