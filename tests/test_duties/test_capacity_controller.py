"""Guard against missing, repeated and unleased orders of runners."""

from __future__ import annotations

import trio

from martenquay_core.serving import ports, signals
from tests import capacity_case


class CapacityControllerTest(capacity_case.CapacityCase):
    def test_on_demand_runners_go_once_reclaimable_ones_serve(self) -> None:
        async def scenario() -> None:
            await trio.sleep(4.0)
            self.assertEqual(3, self.find_last_order("a", is_reclaimable=True))
            before = self.cloud.list_orders()
            self.assertEqual([], [o for o in before if o.wanted == 0])
            for number, zone in enumerate("aaabbbccc", 10):
                self.put_runner(number, zone, is_reclaimable=True)
            await trio.sleep(2.0)
            for zone in "abc":
                last = self.find_last_order(zone, is_reclaimable=False)
                self.assertEqual(0, last)

        self.run_scenario(scenario)

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

        self.run_scenario(scenario)

    def test_a_shortage_costs_few_calls(self) -> None:
        """Each zone repeated its refused order every 1.5 s or 2 s."""

        async def scenario() -> None:
            await self.lose_two_zones()
            self.cloud.has_reclaimable = False
            await trio.sleep(14.0)
            orders = self.list_orders(is_reclaimable=True)
            self.assertGreaterEqual(len(orders), 6)
            self.assertLessEqual(len(orders), 10)

        self.run_scenario(scenario)

    def test_supply_that_returns_is_used_within_a_boot(self) -> None:
        async def scenario() -> None:
            await self.lose_two_zones()
            self.cloud.has_reclaimable = False
            await trio.sleep(20.0)
            self.cloud.has_reclaimable = True
            self.cloud.received.clear()
            await trio.sleep(5.0)
            for zone in "ab":
                last = self.find_last_order(zone, is_reclaimable=True)
                self.assertIsNotNone(last, zone)

        self.run_scenario(scenario)

    def test_lost_runners_are_replaced_before_the_next_interval(self) -> None:
        """An engine takes 4 s to boot, and half a second is lost on average."""

        async def scenario() -> None:
            await trio.sleep(4.05)
            for number, zone in enumerate("aaabbbccc", 10):
                self.put_runner(number, zone, is_reclaimable=True)
            await trio.sleep(6.0)
            self.cloud.received.clear()
            for number in (10, 11, 12):
                self.put_runner(
                    number, "a", is_reclaimable=True, is_leaving=True
                )
            await trio.sleep(0.15)
            self.assertIn(("a", 3), self.list_orders(is_reclaimable=True))
            self.assertEqual(1, len(self.list_orders(is_reclaimable=True)))

        self.run_scenario(scenario)

    def test_an_order_whose_runners_do_not_come_is_repeated(self) -> None:
        async def scenario() -> None:
            await trio.sleep(20.0)
            orders = [
                o.wanted
                for o in self.cloud.list_orders()
                if o.zone == "a" and o.is_reclaimable
            ]
            self.assertIn(len(orders), {2, 3})

        self.run_scenario(scenario)

    def test_lost_zones_are_replaced_on_demand_without_reclaimable_supply(
        self,
    ) -> None:
        async def scenario() -> None:
            await self.lose_two_zones()
            self.cloud.has_reclaimable = False
            await trio.sleep(1.0)
            on_demand = self.list_orders(is_reclaimable=False)
            self.assertEqual(3, sum(wanted for _, wanted in on_demand))

        self.run_scenario(scenario)

    def test_lost_zones_are_reordered_at_once_and_not_on_demand(
        self,
    ) -> None:
        async def scenario() -> None:
            await self.lose_two_zones()
            await trio.sleep(1.0)
            reclaimable = self.list_orders(is_reclaimable=True)
            self.assertEqual([("a", 3), ("b", 2)], reclaimable)
            on_demand = self.list_orders(is_reclaimable=False)
            self.assertEqual(0, sum(wanted for _, wanted in on_demand))

        self.run_scenario(scenario)

    def test_a_zone_without_any_runner_stays_orderable(self) -> None:
        async def scenario() -> None:
            await self.lose_two_zones()
            for number in (1, 2, 3, 4, 5, 10, 11, 12):
                self.directory.apply_change(
                    ports.KeyedRecord(99, f"r-{number}", None)
                )
            await trio.sleep(1.0)
            reclaimable = self.list_orders(is_reclaimable=True)
            self.assertEqual([("a", 3), ("b", 2)], reclaimable)

        self.run_scenario(scenario)

    def test_booting_on_demand_runners_are_not_ordered_again(
        self,
    ) -> None:
        async def scenario() -> None:
            await self.lose_two_zones()
            self.cloud.has_reclaimable = False
            await trio.sleep(1.0)
            self.cloud.received.clear()
            # The entries of the drained runners expire.
            for number in (1, 2, 3, 4, 5, 10, 11, 12, 13, 14, 15):
                self.directory.apply_change(
                    ports.KeyedRecord(99, f"r-{number}", None)
                )
            await trio.sleep(2.0)
            self.assertEqual([], self.list_orders(is_reclaimable=False))

        self.run_scenario(scenario)

    def test_an_order_in_a_reclaimed_zone_does_not_count(
        self,
    ) -> None:
        """A pending order there would delay on-demand runners for seconds."""

        async def scenario() -> None:
            await trio.sleep(4.0)
            for number, zone in enumerate("aaabbbccc", 10):
                self.put_runner(number, zone, is_reclaimable=True)
            await self.send_prompts_at_known_speed(3.0, 20_000.0)
            self.report_prefill_speed(20_000.0)
            await self.send_prompts(1.5, 200_000.0)
            risen = self.find_last_order("a", is_reclaimable=True)
            self.assertGreater(risen, 3)
            for number in range(1, 6):
                self.put_runner(number, "abcab"[number - 1], is_leaving=True)
            for number in range(10, 13):
                self.put_runner(
                    number, "a", is_reclaimable=True, is_leaving=True
                )
            self.cloud.has_reclaimable = False
            self.cloud.received.clear()
            await trio.sleep(3.0)
            on_demand = self.list_orders(is_reclaimable=False)
            self.assertGreater(sum(wanted for _, wanted in on_demand), 0)

        self.run_scenario(scenario)

    def test_rate_limited_runners_are_compensated(self) -> None:
        async def find_most(*limited: int) -> int:
            for number in limited:
                runner = self.directory.find(f"r-{number}")
                signal = signals.RunnerSignals(limit_per_s=0.1)
                self.limits.note_answer(runner, signal, trio.current_time())
            self.cloud.received.clear()
            await self.send_prompts_at_known_speed(3.0, 35_000.0)
            return max(o.wanted for o in self.cloud.list_orders())

        async def scenario() -> None:
            await self.send_prompts_at_known_speed(30.0, 35_000.0)
            before = await find_most()
            # Engines prefill 13,000 tokens a second; the two limited ones
            # accept a tenth of it.
            self.assertGreater(await find_most(1, 2), before)

        self.run_scenario(scenario)

    def test_an_assumed_prefill_speed_orders_no_additional_runners(
        self,
    ) -> None:
        async def scenario() -> None:
            await self.send_prompts(25.0, 200_000.0)
            wanted = [o.wanted for o in self.cloud.list_orders()]
            # Five serve; three per zone keep six when one zone is lost.
            self.assertEqual(3, max(wanted))

        self.run_scenario(scenario)

    def test_faster_engines_need_fewer_runners(self) -> None:
        async def find_most(tokens_per_s: float) -> int:
            self.cloud.received.clear()
            for _ in range(5):
                self.report_prefill_speed(tokens_per_s)
                await self.send_prompts(5.0, 120_000.0)
            return max(o.wanted for o in self.cloud.list_orders())

        async def scenario() -> None:
            await self.send_prompts(16.0, 1000.0)
            fast = await find_most(150_000.0)
            slow = await find_most(20_000.0)
            self.assertLess(fast, slow)

        self.run_scenario(scenario)

    def test_without_the_lease_nothing_is_ordered(self) -> None:
        async def scenario() -> None:
            await self.lease.release()
            self.cloud.received.clear()
            await trio.sleep(10.0)
            self.assertEqual([], self.cloud.received)

        self.run_scenario(scenario)
