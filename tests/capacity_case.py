"""Base of test cases of the capacity controller at a lease holder."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from martenquay_core.serving import catalog, ports
from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    runner_directory,
)
from martenquay_daemon.duties import (
    capacity_controller,
    capacity_target,
    lease,
)
from martenquay_daemon.engines import demand, loads, model
from martenquay_daemon.fleet import view
from martenquay_standins.ports import cloud, log
from tests import clocked
from tests import serving_builders as builders

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_daemon.duties import capacity_memory

__all__ = ["CapacityCase"]

_ENGINE = catalog.EngineTraits(slots=128, kv_tokens=260_000)


class CapacityCase(clocked.ClockedTestCase):
    """Runs scenarios at a controller with five on-demand runners.

    Attributes:
        cloud: Receives the orders.
        directory: The known runners.
        meter: Demand at this daemon.
        estimates: Speed of the engines.
        limits: Rate limits that runners reported.
        lease: The lease that permits orders.
        content: Fields of the catalog besides the service `model`.
        scaling: Changed fields of the service's scaling limits.
        expected_share: The setting `load.expected_demand`.
        memory: What an earlier lease holder learnt.
    """

    def setUp(self) -> None:
        super().setUp()
        self.content: dict[str, Any] = {}
        self.scaling: dict[str, Any] = {"most": 6}
        self.expected_share = 0.0
        self.memory: capacity_memory.CapacityMemory | None = None

    def _build(self) -> capacity_controller.CapacityController:
        self.cloud = cloud.MemoryCloud()
        self.records = builders.FakeRecords()
        service = builders.build_service(
            name="model",
            engine=_ENGINE,
            scaling=builders.build_scaling(**self.scaling),
        )
        self.records.catalogs[b"c"] = builders.build_catalog(
            services={"model": service}, **self.content
        )
        store = catalog_store.create_store(self.records)
        store.offer(b"c", "the test")
        self.directory = runner_directory.RunnerDirectory(
            self.records, contact.LogContact()
        )
        self.meter = demand.DemandMeter()
        self.estimates = model.RunnerModel()
        self.limits = builders.build_runner_limits()
        fleet = view.FleetView("entry-1")
        self.lease = lease.create_lease(
            log.MemoryLog(), "lease", "entry-1.aa", "entry-1", 3.0, fleet
        )
        return capacity_controller.CapacityController(
            capacity_controller.CapacityParts(
                cloud=self.cloud,
                holder="entry-1",
                lease=self.lease,
                store=store,
                directory=self.directory,
                targets=capacity_target.TargetSources(
                    store=store,
                    directory=self.directory,
                    meter=self.meter,
                    ledger=loads.LoadLedger(),
                    estimates=self.estimates,
                    fleet=fleet,
                    limits=self.limits,
                    expected_share=self.expected_share,
                    memory=self.memory,
                ),
                list_serving=lambda _, usable: usable,
            )
        )

    def put_runner(self, number: int, zone: str, **changes: Any) -> None:
        """Write a runner's entry."""
        runner = builders.build_runner(
            id=f"r-{number}",
            service="model",
            zone=zone,
            address=f"127.0.0.1:{number}",
            **changes,
        )
        value = repr(runner).encode()
        self.records.runners[value] = runner
        self.directory.apply_change(ports.KeyedRecord(number, runner.id, value))

    def run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run a scenario beside the controller and the lease."""

        async def run() -> None:
            controller = self._build()
            self.directory.on_loss = controller.reconcile_soon
            async with trio.open_nursery() as nursery:
                for number, zone in enumerate("abcab", 1):
                    self.put_runner(number, zone)
                nursery.start_soon(self.lease.run)
                nursery.start_soon(controller.run)
                await scenario()
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def find_last_order(self, zone: str, *, is_reclaimable: bool) -> int | None:
        """Return the runners last ordered of one kind in a zone."""
        found = [
            order.wanted
            for order in self.cloud.list_orders()
            if (order.zone, order.is_reclaimable) == (zone, is_reclaimable)
        ]
        return found[-1] if found else None

    async def lose_two_zones(self) -> None:
        """Start nine reclaimable runners, then drain those of zones a and b."""
        await trio.sleep(4.0)
        for number, zone in enumerate("aaabbbccc", 10):
            self.put_runner(number, zone, is_reclaimable=True)
        await trio.sleep(6.0)
        for number in range(1, 6):
            self.put_runner(number, "abcab"[number - 1], is_leaving=True)
        for number in range(10, 16):
            self.put_runner(
                number,
                "aaabbb"[number - 10],
                is_reclaimable=True,
                is_leaving=True,
            )
        self.cloud.received.clear()

    def list_orders(self, *, is_reclaimable: bool) -> list[tuple[str, int]]:
        """Return the zone and number of each order of one kind."""
        return [
            (order.zone, order.wanted)
            for order in self.cloud.list_orders()
            if order.is_reclaimable == is_reclaimable
        ]

    async def send_prompts_at_known_speed(
        self, seconds: float, rate: float
    ) -> None:
        """Have callers send prompts to engines of 20,000 tokens a second."""
        self.report_prefill_speed(20_000.0)
        await self.send_prompts(seconds, rate)

    async def send_prompts(self, seconds: float, tokens_per_s: float) -> None:
        """Have callers send prompts."""
        for _ in range(int(seconds * 10)):
            self.meter.note("model", round(tokens_per_s / 10))
            await trio.sleep(0.1)

    def report_prefill_speed(self, tokens_per_s: float) -> None:
        """Report first events that show the engines' prefill speed."""
        for number in range(100):
            own = 500 + 90 * number
            result = model.FirstEvent(own, own, 0.05 + own / tokens_per_s)
            self.estimates.note_first_event("model", result)
