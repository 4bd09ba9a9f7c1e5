"""Orders follow what serves, are not repeated in a loop, and need the lease."""

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


class CapacityKeeperTest(clocked.ClockedTestCase):
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

    def _put(self, number: int, zone: str, **changes) -> None:
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
            keeper = self._build()
            async with trio.open_nursery() as nursery:
                for number, zone in enumerate("abcab", 1):
                    self._put(number, zone)
                nursery.start_soon(self.lease.run)
                nursery.start_soon(keeper.run)
                await scenario()
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def _find_last(self, zone: str, *, is_reclaimable: bool) -> int | None:
        found = [
            order.wanted
            for order in self.cloud.list_orders()
            if (order.zone, order.is_reclaimable) == (zone, is_reclaimable)
        ]
        return found[-1] if found else None

    def test_cheap_runners_come_first_and_dear_ones_go_after(self) -> None:
        async def scenario() -> None:
            await trio.sleep(4.0)
            self.assertEqual(3, self._find_last("a", is_reclaimable=True))
            before = self.cloud.list_orders()
            self.assertEqual([], [o for o in before if o.wanted == 0])
            for number, zone in enumerate("aaabbbccc", 10):
                self._put(number, zone, is_reclaimable=True)
            await trio.sleep(2.0)
            for zone in "abc":
                last = self._find_last(zone, is_reclaimable=False)
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

    def test_what_was_ordered_and_does_not_come_is_ordered_again(self) -> None:
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
        """Have nine reclaimable runners serve, then take those of a and b."""
        await trio.sleep(4.0)
        for number, zone in enumerate("aaabbbccc", 10):
            self._put(number, zone, is_reclaimable=True)
        await trio.sleep(6.0)
        for number in range(1, 6):
            self._put(number, "abcab"[number - 1], is_leaving=True)
        for number in range(10, 16):
            self._put(
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

    def test_lost_zones_bring_on_demand_runners_if_none_are_to_be_had(
        self,
    ) -> None:
        async def scenario() -> None:
            await self._lose_two_zones()
            self.cloud.has_reclaimable = False
            await trio.sleep(1.0)
            dear = self._list_orders(is_reclaimable=False)
            self.assertEqual(3, sum(wanted for _, wanted in dear))

        self._run(scenario)

    def test_lost_zones_are_ordered_in_again_at_once_and_nothing_dearer(
        self,
    ) -> None:
        async def scenario() -> None:
            await self._lose_two_zones()
            await trio.sleep(1.0)
            cheap = self._list_orders(is_reclaimable=True)
            self.assertEqual([("a", 3), ("b", 3)], cheap)
            dear = self._list_orders(is_reclaimable=False)
            self.assertEqual(0, sum(wanted for _, wanted in dear))

        self._run(scenario)

    def test_a_zone_without_any_runner_left_is_still_ordered_in(self) -> None:
        async def scenario() -> None:
            await self._lose_two_zones()
            for number in (1, 2, 3, 4, 5, 10, 11, 12):
                self.directory.apply_change(
                    ports.KeyedRecord(99, f"r-{number}", None)
                )
            await trio.sleep(1.0)
            cheap = self._list_orders(is_reclaimable=True)
            self.assertEqual([("a", 3), ("b", 3)], cheap)

        self._run(scenario)

    def test_on_demand_runners_that_boot_are_not_ordered_elsewhere(
        self,
    ) -> None:
        async def scenario() -> None:
            await self._lose_two_zones()
            self.cloud.has_reclaimable = False
            await trio.sleep(1.0)
            self.cloud.received.clear()
            # Meanwhile the entries of those that left lapse.
            for number in (1, 2, 3, 4, 5, 10, 11, 12, 13, 14, 15):
                self.directory.apply_change(
                    ports.KeyedRecord(99, f"r-{number}", None)
                )
            await trio.sleep(2.0)
            self.assertEqual([], self._list_orders(is_reclaimable=False))

        self._run(scenario)

    def test_what_is_promised_in_a_zone_that_is_taken_back_is_not_relied_on(
        self,
    ) -> None:
        """More had been ordered in a zone, and then all of it went.

        The order counted as booting until it was 2.5 s overdue, with all that
        the zone had lost: for 6 s no on-demand runner was bought, the other
        zones went too, and callers found no runner at all for three seconds.
        """

        async def scenario() -> None:
            await trio.sleep(4.0)
            for number, zone in enumerate("aaabbbccc", 10):
                self._put(number, zone, is_reclaimable=True)
            await self._teach_and_load(3.0, 20_000.0)
            self._teach(20_000.0)
            await self._load(1.5, 200_000.0)
            risen = self._find_last("a", is_reclaimable=True)
            self.assertGreater(risen, 3)
            for number in range(1, 6):
                self._put(number, "abcab"[number - 1], is_leaving=True)
            for number in range(10, 13):
                self._put(number, "a", is_reclaimable=True, is_leaving=True)
            self.cloud.has_reclaimable = False
            self.cloud.received.clear()
            await trio.sleep(3.0)
            dear = self._list_orders(is_reclaimable=False)
            self.assertGreater(sum(wanted for _, wanted in dear), 0)

        self._run(scenario)

    async def _teach_and_load(self, seconds: float, rate: float) -> None:
        self._teach(20_000.0)
        await self._load(seconds, rate)

    async def _load(self, seconds: float, tokens_per_s: float) -> None:
        """Have callers bring prompts for engines to read."""
        for _ in range(int(seconds * 10)):
            self.meter.note("model", round(tokens_per_s / 10))
            await trio.sleep(0.1)

    def _teach(self, tokens_per_s: float) -> None:
        """Have results show how fast engines read."""
        for number in range(100):
            own = 500 + 90 * number
            result = model.FirstEvent(own, own, 0.05 + own / tokens_per_s)
            self.estimates.note_first_event("model", result)

    def test_an_engine_that_takes_little_is_made_up_for(self) -> None:
        async def find_most(*limited: int) -> int:
            for number in limited:
                runner = self.directory.find(f"r-{number}")
                told = signals.RunnerSignals(limit_per_s=0.1)
                self.limits.note_answer(runner, told, trio.current_time())
            self.cloud.received.clear()
            await self._teach_and_load(3.0, 35_000.0)
            return max(o.wanted for o in self.cloud.list_orders())

        async def scenario() -> None:
            await self._teach_and_load(30.0, 35_000.0)
            before = await find_most()
            # Engines read 13,000 tokens a second: the two take a tenth of it.
            self.assertGreater(await find_most(1, 2), before)

        self._run(scenario)

    def test_what_is_only_assumed_of_engines_buys_none(self) -> None:
        async def scenario() -> None:
            await self._load(25.0, 200_000.0)
            wanted = [o.wanted for o in self.cloud.list_orders()]
            # Five serve: with one zone's gone, two more than that remain.
            self.assertEqual(3, max(wanted))

        self._run(scenario)

    def test_fast_engines_are_not_bought_as_if_they_were_slow(self) -> None:
        async def find_most(tokens_per_s: float) -> int:
            self.cloud.received.clear()
            for _ in range(5):
                self._teach(tokens_per_s)
                await self._load(5.0, 120_000.0)
            return max(o.wanted for o in self.cloud.list_orders())

        async def scenario() -> None:
            await self._load(16.0, 1000.0)
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
