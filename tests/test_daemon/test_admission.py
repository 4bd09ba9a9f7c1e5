"""Admission is by urgency and team weight; a full queue fails at once."""

from __future__ import annotations

from typing import Any

import testtools
import trio
import trio.testing

from martenquay_core import results
from martenquay_core.config import objects
from martenquay_daemon.limits import admission

_Urgency = objects.Urgency


def _ask(**changes: Any) -> admission.PermitRequest:
    fields: dict[str, Any] = {
        "team": "counter",
        "weight": 1.0,
        "concurrency": 100,
        "token_rate": 1e6,
        "pool": "model",
        "urgency": _Urgency.INTERACTIVE,
        "cost": 100.0,
        "deadline": trio.current_time() + 1000,
    }
    return admission.PermitRequest(**(fields | changes))


class AdmissionTest(testtools.TestCase):
    def _run(self, scenario, running: int = 10, queue: int = 50) -> None:
        capacity = admission.PoolCapacity(running, queue, running / 2)

        async def start() -> None:
            controller = admission.Admission(lambda _: capacity)
            async with trio.open_nursery() as nursery:
                await scenario(controller, nursery)
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(start, clock=clock)

    async def _queue(self, controller, nursery, admitted, ask, count) -> None:
        async def enter() -> None:
            permit = await controller.enter(ask)
            admitted.append((ask, permit))

        for _ in range(count):
            nursery.start_soon(enter)
            await trio.testing.wait_all_tasks_blocked()

    def test_urgent_requests_are_admitted_before_earlier_ones(self):
        async def scenario(controller, nursery) -> None:
            first = (await controller.enter(_ask())).ok
            admitted: list[Any] = []
            for urgency in reversed(_Urgency):
                ask = _ask(urgency=urgency)
                await self._queue(controller, nursery, admitted, ask, 1)
            controller.leave(first)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(_Urgency.URGENT, admitted[0][0].urgency)

        self._run(scenario, running=1)

    def test_teams_share_by_weight_when_they_compete(self):
        async def scenario(controller, nursery) -> None:
            held = (await controller.enter(_ask(team="first"))).ok
            admitted: list[Any] = []
            heavy = _ask(team="heavy", weight=3.0)
            light = _ask(team="light", weight=1.0)
            await self._queue(controller, nursery, admitted, light, 12)
            await self._queue(controller, nursery, admitted, heavy, 12)
            for _ in range(12):
                controller.leave(held)
                await trio.testing.wait_all_tasks_blocked()
                held = admitted[-1][1].ok
            teams = [ask.team for ask, _ in admitted[:12]]
            self.assertEqual(9, teams.count("heavy"))

        self._run(scenario, running=1)

    def test_a_full_queue_fails_at_once_with_a_retry_time(self):
        async def scenario(controller, nursery) -> None:
            await controller.enter(_ask())
            admitted: list[Any] = []
            await self._queue(controller, nursery, admitted, _ask(), 2)
            before = trio.current_time()
            refusal = await controller.enter(_ask())
            self.assertEqual(before, trio.current_time())
            code = results.ResultCode.NOT_RUN_OVERLOADED
            self.assertEqual(code, refusal.error.code)
            self.assertGreaterEqual(refusal.error.retry_after_s, 1.0)

        self._run(scenario, running=1, queue=2)

    def test_the_retry_time_follows_the_measured_drain_rate(self):
        async def scenario(controller, nursery) -> None:
            for _ in range(30):
                permit = (await controller.enter(_ask())).ok
                await trio.sleep(4.0)
                controller.leave(permit)
            await controller.enter(_ask())
            await self._queue(controller, nursery, [], _ask(), 3)
            refusal = await controller.enter(_ask())
            # Three wait and each takes 4 s, so the next would start after 16 s.
            self.assertAlmostEqual(16.0, refusal.error.retry_after_s, 3)

        self._run(scenario, running=1, queue=3)

    def test_a_deadline_ends_the_wait_with_a_failure(self):
        async def scenario(controller, nursery) -> None:
            await controller.enter(_ask())
            deadline = trio.current_time() + 2.0
            refusal = await controller.enter(_ask(deadline=deadline))
            code = results.ResultCode.NOT_RUN_DEADLINE
            self.assertEqual(code, refusal.error.code)
            self.assertEqual(deadline, trio.current_time())
            self.assertEqual(0, controller.count_queued("model"))

        self._run(scenario, running=1)

    def test_a_team_over_its_token_rate_gets_a_retry_time(self):
        async def scenario(controller, nursery) -> None:
            ask = _ask(token_rate=10.0, cost=40.0)
            self.assertTrue((await controller.enter(ask)).is_ok())
            refusal = await controller.enter(ask)
            self.assertAlmostEqual(4.0, refusal.error.retry_after_s, 3)
            await trio.sleep(4.1)
            self.assertTrue((await controller.enter(ask)).is_ok())

        self._run(scenario)

    def test_a_team_at_its_concurrency_limit_does_not_block_others(self):
        async def scenario(controller, nursery) -> None:
            narrow = _ask(team="narrow", concurrency=1)
            await controller.enter(narrow)
            admitted: list[Any] = []
            await self._queue(controller, nursery, admitted, narrow, 2)
            self.assertEqual([], admitted)
            other = await controller.enter(_ask(team="other"))
            self.assertTrue(other.is_ok())

        self._run(scenario)

    def test_deferrable_requests_leave_room_for_recent_foreground_load(self):
        async def scenario(controller, nursery) -> None:
            admitted: list[Any] = []
            deferrable = _ask(urgency=_Urgency.DEFERRABLE)
            await self._queue(controller, nursery, admitted, deferrable, 20)
            self.assertEqual(10, len(admitted))
            for _, permit in admitted:
                controller.leave(permit.ok)
            await trio.testing.wait_all_tasks_blocked()
            for _, permit in admitted[10:]:
                controller.leave(permit.ok)
            await controller.enter(_ask())
            await trio.sleep(30.0)
            later: list[Any] = []
            await self._queue(controller, nursery, later, deferrable, 20)
            # One ran for the last 30 s, so four slots stay free.
            self.assertEqual(5, len(later))

        self._run(scenario, running=20)

    def test_a_cancelled_waiter_leaves_the_queue(self):
        async def scenario(controller, nursery) -> None:
            held = (await controller.enter(_ask())).ok
            with trio.move_on_after(1.0):
                await controller.enter(_ask())
            self.assertEqual(0, controller.count_queued("model"))
            controller.leave(held)
            self.assertEqual(0, controller.count_running("model"))

        self._run(scenario, running=1)
