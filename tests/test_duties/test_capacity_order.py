"""Guard against calls whose answers cannot have changed, and late ones."""

from __future__ import annotations

import trio

from martenquay_daemon.duties import capacity_order, capacity_plan, order_book
from tests import clocked
from tests import serving_builders as builders

_BOOT_S = 4.0
_POLL_S = 0.5
_OK = 200
_CONFLICT = 409


def _send(
    order: capacity_order.CapacityOrder, wanted: int, status: int
) -> None:
    order.note_sent(wanted)
    order.note_answer(status)


class CapacityOrderTest(clocked.ClockedTestCase):
    async def _count_calls(self, seconds: float) -> int:
        """Return the calls of an order that is always refused."""
        order = capacity_order.CapacityOrder()
        calls = 0
        for _ in range(round(seconds / _POLL_S)):
            if order.is_due(trio.current_time(), 3, _BOOT_S):
                _send(order, 3, _CONFLICT)
                calls += 1
            await trio.sleep(_POLL_S)
        return calls

    def test_an_order_that_is_refused_for_hours_stays_due(self) -> None:
        """The growth of the pause overflowed after a thousand refusals."""

        async def scenario() -> None:
            self.assertGreater(await self._count_calls(6000.0), 1100)

        self.run_clocked(scenario)

    def test_a_refused_order_is_repeated_with_growing_pauses(self) -> None:
        """With a pause of 1.5 s there were 8 calls a zone in 14 s."""

        async def scenario() -> None:
            self.assertLessEqual(await self._count_calls(14.0), 5)

        self.run_clocked(scenario)

    def test_supply_that_returns_is_found_within_a_boot(self) -> None:
        async def scenario() -> None:
            order = capacity_order.CapacityOrder()
            for _ in range(200):
                if order.is_due(trio.current_time(), 3, _BOOT_S):
                    _send(order, 3, _CONFLICT)
                await trio.sleep(_POLL_S)
                age_s = trio.current_time() - order.sent_at
                self.assertLessEqual(age_s, _BOOT_S + _POLL_S)

        self.run_clocked(scenario)

    def test_a_refusal_counts_until_the_order_is_repeated(self) -> None:
        """On-demand runners were given up between two repetitions."""

        async def scenario() -> None:
            order = capacity_order.CapacityOrder()
            for _ in range(60):
                if order.is_due(trio.current_time(), 3, _BOOT_S):
                    _send(order, 3, _CONFLICT)
                now = trio.current_time()
                self.assertTrue(order.is_refused(now, _BOOT_S))
                await trio.sleep(_POLL_S)
            _send(order, 3, _OK)
            self.assertFalse(order.is_refused(trio.current_time(), _BOOT_S))

        self.run_clocked(scenario)

    def test_an_order_without_an_answer_is_repeated_soon(self) -> None:
        async def scenario() -> None:
            order = capacity_order.CapacityOrder()
            for _ in range(5):
                _send(order, 3, 0)
                await trio.sleep(1.6)
                self.assertTrue(order.is_due(trio.current_time(), 3, _BOOT_S))

        self.run_clocked(scenario)

    def test_a_runner_lost_while_others_boot_is_reordered_at_once(self) -> None:
        """It was replaced only when the order was overdue, after 6.5 s."""

        async def scenario() -> None:
            order = capacity_order.CapacityOrder(serving=4)
            _send(order, 6, _OK)
            await trio.sleep(1.0)
            order.note_serving(4)
            self.assertFalse(order.is_due(trio.current_time(), 6, _BOOT_S))
            order.note_serving(3)
            self.assertTrue(order.is_due(trio.current_time(), 6, _BOOT_S))
            _send(order, 6, _OK)
            await trio.sleep(1.0)
            order.note_serving(3)
            self.assertFalse(order.is_due(trio.current_time(), 6, _BOOT_S))

        self.run_clocked(scenario)


class OrderBookTest(clocked.ClockedTestCase):
    def test_supply_in_one_zone_lets_the_others_try_soon(self) -> None:
        async def scenario() -> None:
            book = order_book.OrderBook()
            orders = {
                zone: book.find("model", zone, is_reclaimable=True)
                for zone in "abc"
            }
            for _ in range(4):
                for zone, order in orders.items():
                    order.note_sent(3)
                    wanted = capacity_plan.ZoneOrder(zone, True, 3)
                    book.note_answer("model", wanted, _CONFLICT)
            await trio.sleep(2.0)
            now = trio.current_time()
            self.assertFalse(orders["b"].is_due(now, 3, _BOOT_S))
            orders["a"].note_sent(3)
            book.note_answer(
                "model", capacity_plan.ZoneOrder("a", True, 3), _OK
            )
            self.assertTrue(orders["b"].is_due(now, 3, _BOOT_S))
            self.assertTrue(
                book.is_out_of_reclaimable("model", builders.build_scaling())
            )

        self.run_clocked(scenario)
