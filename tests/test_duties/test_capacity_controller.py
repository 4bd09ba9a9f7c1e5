"""Guard against missing, repeated and unleased orders of runners."""

from __future__ import annotations

import trio

from martenquay_core.serving import catalog, ports, signals
from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    runner_directory,
)
from martenquay_daemon.duties import capacity_controller, lease
from martenquay_daemon.engines import demand, loads, model
from martenquay_daemon.fleet import view
from martenquay_standins.ports import cloud, log
from tests import clocked
from tests import serving_builders as builders

_ENGINE = catalog.EngineTraits(slots=128, kv_tokens=260_000)


class CapacityControllerTest(clocked.ClockedTestCase):
    def _build(self) -> capacity_controller.CapacityController:
        self.cloud = cloud.MemoryCloud()
        self.records = builders.FakeRecords()
        service = builders.build_service(
            name="model",
            engine=_ENGINE,
            scaling=builders.build_scaling(most=6),
        )
        self.records.catalogs[b"c"] = builders.build_catalog(
            services={"model": service}
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
                meter=self.meter,
                ledger=loads.LoadLedger(),
                estimates=self.estimates,
                fleet=fleet,
                limits=self.limits,
                list_serving=lambda _, usable: usable,
            )
        )

    def _put_runner(self, number: int, zone: str, **changes) -> None:
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

    def _run(self, scenario) -> None:
        async def run() -> None:
            controller = self._build()
            async with trio.open_nursery() as nursery:
                for number, zone in enumerate("abcab", 1):
                    self._put_runner(number, zone)
                nursery.start_soon(self.lease.run)
                nursery.start_soon(controller.run)
                await scenario()
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def _find_last_order(
        self, zone: str, *, is_reclaimable: bool
    ) -> int | None:
        found = [
            order.wanted
            for order in self.cloud.list_orders()
            if (order.zone, order.is_reclaimable) == (zone, is_reclaimable)
        ]
        return found[-1] if found else None

    def test_on_demand_runners_go_once_reclaimable_ones_serve(self) -> None:
        async def scenario() -> None:
            await trio.sleep(4.0)
            self.assertEqual(3, self._find_last_order("a", is_reclaimable=True))
            before = self.cloud.list_orders()
            self.assertEqual([], [o for o in before if o.wanted == 0])
            for number, zone in enumerate("aaabbbccc", 10):
                self._put_runner(number, zone, is_reclaimable=True)
            await trio.sleep(2.0)
            for zone in "abc":
                last = self._find_last_order(zone, is_reclaimable=False)
                self.assertEqual(0, last)

        self._run(scenario)

    def test_a_refused_order_is_not_repeated_in_a_loop(self) -> None:
        async def scenario() -> None:
            self.cloud.has_reclaimable = False
            await trio.sleep(13.0)
            orders = [
                o
                for o in self.cloud.list_orders()
                if o.zone == "a" and o.is_reclaimable
            ]
            self.assertGreaterEqual(len(orders), 2)
            self.assertLess(len(orders), 8)

        self._run(scenario)

    def test_an_order_whose_runners_do_not_come_is_repeated(self) -> None:
        async def scenario() -> None:
            await trio.sleep(20.0)
            orders = [
                o.wanted
                for o in self.cloud.list_orders()
                if o.zone == "a" and o.is_reclaimable
            ]
            self.assertIn(len(orders), {2, 3})

        self._run(scenario)

    async def _lose_two_zones(self) -> None:
        """Start nine reclaimable runners, then drain those of zones a and b."""
        await trio.sleep(4.0)
        for number, zone in enumerate("aaabbbccc", 10):
            self._put_runner(number, zone, is_reclaimable=True)
        await trio.sleep(6.0)
        for number in range(1, 6):
            self._put_runner(number, "abcab"[number - 1], is_leaving=True)
        for number in range(10, 16):
            self._put_runner(
                number,
                "aaabbb"[number - 10],
                is_reclaimable=True,
                is_leaving=True,
            )
        self.cloud.received.clear()

    def _list_orders(self, *, is_reclaimable: bool) -> list[tuple[str, int]]:
        return [
            (order.zone, order.wanted)
            for order in self.cloud.list_orders()
            if order.is_reclaimable == is_reclaimable
        ]

    def test_lost_zones_are_replaced_on_demand_without_reclaimable_supply(
        self,
    ) -> None:
        async def scenario() -> None:
            await self._lose_two_zones()
            self.cloud.has_reclaimable = False
            await trio.sleep(1.0)
            on_demand = self._list_orders(is_reclaimable=False)
            self.assertEqual(3, sum(wanted for _, wanted in on_demand))

        self._run(scenario)

    def test_lost_zones_are_reordered_at_once_and_not_on_demand(
        self,
    ) -> None:
        async def scenario() -> None:
            await self._lose_two_zones()
            await trio.sleep(1.0)
            reclaimable = self._list_orders(is_reclaimable=True)
            self.assertEqual([("a", 3), ("b", 3)], reclaimable)
            on_demand = self._list_orders(is_reclaimable=False)
            self.assertEqual(0, sum(wanted for _, wanted in on_demand))

        self._run(scenario)

    def test_a_zone_without_any_runner_stays_orderable(self) -> None:
        async def scenario() -> None:
            await self._lose_two_zones()
            for number in (1, 2, 3, 4, 5, 10, 11, 12):
                self.directory.apply_change(
                    ports.KeyedRecord(99, f"r-{number}", None)
                )
            await trio.sleep(1.0)
            reclaimable = self._list_orders(is_reclaimable=True)
            self.assertEqual([("a", 3), ("b", 3)], reclaimable)

        self._run(scenario)

    def test_booting_on_demand_runners_are_not_ordered_again(
        self,
    ) -> None:
        async def scenario() -> None:
            await self._lose_two_zones()
            self.cloud.has_reclaimable = False
            await trio.sleep(1.0)
            self.cloud.received.clear()
            # The entries of the drained runners expire.
            for number in (1, 2, 3, 4, 5, 10, 11, 12, 13, 14, 15):
                self.directory.apply_change(
                    ports.KeyedRecord(99, f"r-{number}", None)
                )
            await trio.sleep(2.0)
            self.assertEqual([], self._list_orders(is_reclaimable=False))

        self._run(scenario)

    def test_an_order_in_a_reclaimed_zone_does_not_count(
        self,
    ) -> None:
        """A pending order there would delay on-demand runners for seconds."""

        async def scenario() -> None:
            await trio.sleep(4.0)
            for number, zone in enumerate("aaabbbccc", 10):
                self._put_runner(number, zone, is_reclaimable=True)
            await self._send_prompts_at_known_speed(3.0, 20_000.0)
            self._report_prefill_speed(20_000.0)
            await self._send_prompts(1.5, 200_000.0)
            risen = self._find_last_order("a", is_reclaimable=True)
            self.assertGreater(risen, 3)
            for number in range(1, 6):
                self._put_runner(number, "abcab"[number - 1], is_leaving=True)
            for number in range(10, 13):
                self._put_runner(
                    number, "a", is_reclaimable=True, is_leaving=True
                )
            self.cloud.has_reclaimable = False
            self.cloud.received.clear()
            await trio.sleep(3.0)
            on_demand = self._list_orders(is_reclaimable=False)
            self.assertGreater(sum(wanted for _, wanted in on_demand), 0)

        self._run(scenario)

    async def _send_prompts_at_known_speed(
        self, seconds: float, rate: float
    ) -> None:
        self._report_prefill_speed(20_000.0)
        await self._send_prompts(seconds, rate)

    async def _send_prompts(self, seconds: float, tokens_per_s: float) -> None:
        """Have callers send prompts."""
        for _ in range(int(seconds * 10)):
            self.meter.note("model", round(tokens_per_s / 10))
            await trio.sleep(0.1)

    def _report_prefill_speed(self, tokens_per_s: float) -> None:
        """Report first events that show the engines' prefill speed."""
        for number in range(100):
            own = 500 + 90 * number
            result = model.FirstEvent(own, own, 0.05 + own / tokens_per_s)
            self.estimates.note_first_event("model", result)

    def test_rate_limited_runners_are_compensated(self) -> None:
        async def find_most(*limited: int) -> int:
            for number in limited:
                runner = self.directory.find(f"r-{number}")
                signal = signals.RunnerSignals(limit_per_s=0.1)
                self.limits.note_answer(runner, signal, trio.current_time())
            self.cloud.received.clear()
            await self._send_prompts_at_known_speed(3.0, 35_000.0)
            return max(o.wanted for o in self.cloud.list_orders())

        async def scenario() -> None:
            await self._send_prompts_at_known_speed(30.0, 35_000.0)
            before = await find_most()
            # Engines prefill 13,000 tokens a second; the two limited ones
            # accept a tenth of it.
            self.assertGreater(await find_most(1, 2), before)

        self._run(scenario)

    def test_an_assumed_prefill_speed_orders_no_additional_runners(
        self,
    ) -> None:
        async def scenario() -> None:
            await self._send_prompts(25.0, 200_000.0)
            wanted = [o.wanted for o in self.cloud.list_orders()]
            # Five serve; three per zone keep six when one zone is lost.
            self.assertEqual(3, max(wanted))

        self._run(scenario)

    def test_faster_engines_need_fewer_runners(self) -> None:
        async def find_most(tokens_per_s: float) -> int:
            self.cloud.received.clear()
            for _ in range(5):
                self._report_prefill_speed(tokens_per_s)
                await self._send_prompts(5.0, 120_000.0)
            return max(o.wanted for o in self.cloud.list_orders())

        async def scenario() -> None:
            await self._send_prompts(16.0, 1000.0)
            fast = await find_most(150_000.0)
            slow = await find_most(20_000.0)
            self.assertLess(fast, slow)

        self._run(scenario)

    def test_without_the_lease_nothing_is_ordered(self) -> None:
        async def scenario() -> None:
            await self.lease.release()
            self.cloud.received.clear()
            await trio.sleep(10.0)
            self.assertEqual([], self.cloud.received)

        self._run(scenario)
