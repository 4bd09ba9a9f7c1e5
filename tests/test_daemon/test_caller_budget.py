"""Which request is refused when callers hold too much memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
import trio
import trio.testing

from martenquay_daemon.limits import caller_budget

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_FREE = caller_budget.FREE_BYTES


class CallerBudgetTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.budget = caller_budget.CallerBudget(1000)
        self.refused: list[str] = []

    def _run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))

    def _add(self, name: str, held_bytes: int) -> caller_budget.Holding:
        holding = caller_budget.Holding(
            lambda: self.refused.append(name),
            since=trio.current_time(),
            is_refusable=True,
        )
        self.assertTrue(self.budget.resize(holding, _FREE + held_bytes))
        return holding

    def test_the_one_that_holds_much_for_long_makes_room(self) -> None:
        async def scenario() -> None:
            self._add("old and small", 100)
            self._add("old and large", 400)
            await trio.sleep(10.0)
            self._add("new and large", 450)
            await trio.sleep(0.1)
            self._add("newest", 100)

        self._run(scenario)
        self.assertEqual(["old and large"], self.refused)
        self.assertEqual(650, self.budget.used_bytes)

    def test_what_is_within_one_read_needs_no_room(self) -> None:
        async def scenario() -> None:
            self._add("large", 1000)
            self._add("small", 0)

        self._run(scenario)
        self.assertEqual([], self.refused)

    def test_one_request_alone_may_have_more_than_all_room(self) -> None:
        async def scenario() -> None:
            self._add("alone", 5000)

        self._run(scenario)
        self.assertEqual([], self.refused)

    def test_a_request_that_is_answered_makes_no_room(self) -> None:
        async def scenario() -> None:
            answered = self._add("answered", 900)
            answered.is_refusable = False
            await trio.sleep(10.0)
            holding = caller_budget.Holding(self.fail, is_refusable=True)
            self.assertFalse(self.budget.resize(holding, _FREE + 200))

        self._run(scenario)
        self.assertEqual([], self.refused)

    def test_room_comes_back_when_a_request_has_ended(self) -> None:
        async def scenario() -> None:
            holding = self._add("first", 900)
            self.budget.resize(holding, 0)
            self._add("second", 900)

        self._run(scenario)
        self.assertEqual([], self.refused)
        self.assertEqual(900, self.budget.used_bytes)

    def test_an_instance_of_any_size_has_room_for_a_body(self) -> None:
        for memory_mb in (64, 128, 200, 300, 552):
            budget = caller_budget.create_budget(memory_mb)
            self.assertGreater(budget.capacity_bytes, 4_194_304, memory_mb)
            self.assertLess(
                budget.capacity_bytes, memory_mb * 500_000, memory_mb
            )
