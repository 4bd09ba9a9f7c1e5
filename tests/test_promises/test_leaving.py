"""Reclaimed runners get no new requests; stopping daemons finish theirs."""

from __future__ import annotations

import signal
from typing import Any

import trio

from martenquay_core import results
from martenquay_core.util import http
from martenquay_standins import engine, network, partners
from tests import scenarios

_Code = results.ResultCode


class LeavingRunnerTest(scenarios.ScenarioTestCase):
    def test_a_reclaim_notice_read_by_one_daemon_reaches_the_others(self):
        async def scenario(scene: scenarios.Scene) -> None:
            await self._check_no_new_work(scene, "one sees the notice")

        self.run_scene(scenario, with_network=True)

    def test_a_reclaimed_runner_is_avoided_while_the_list_shows_it_live(self):
        async def scenario(scene: scenarios.Scene) -> None:
            scene.world.instances.set_faults({"lag_s": 0.0})
            await self._check_no_new_work(scene, "the list shows it live")

        self.run_scene(scenario, with_network=True)

    async def _check_no_new_work(
        self, scene: scenarios.Scene, case: str
    ) -> None:
        old = await scene.world.add_engine(partners.SERRANA, "serra-a", "old")
        await scene.world.add_engine(partners.SERRANA, "serra-b", "new")
        daemons = await scene.start_daemons(partners.SERRANA, 3)
        assert scene.world.network is not None
        if case == "one sees the notice":
            # Otherwise each daemon would read the notice from the platform.
            for zone in ("serra-b", "serra-c"):
                scene.world.network.cut(zone, network.PLATFORM)
        scene.world.instances.give_notice("old", "serra-a")
        for daemon in daemons:
            await scene.wait_until(self._lists_as_leaving, scene, daemon, "old")
        before = sum(old.runs.values())
        for number in range(30):
            reply = await scene.caller.chat(
                daemons[number % 3], prompt=f"order {number}"
            )
            self.assertEqual(200, reply.status)
        self.assertEqual(before, sum(old.runs.values()))

    async def _lists_as_leaving(
        self, scene: scenarios.Scene, daemon: Any, runner: str
    ) -> bool:
        rows = await scene.list_rows(daemon, "show runners")
        states = {row["name"]: row["state"] for row in rows}
        return states[runner] == "leaving"


class PlannedStopTest(scenarios.ScenarioTestCase):
    def test_a_stop_finishes_streams_calls_and_appends_in_progress(self):
        async def scenario(scene: scenarios.Scene) -> None:
            shape = engine.EngineShape(token_s=0.02)
            await scene.world.add_engine(
                partners.SERRANA, "serra-a", "model-1", shape
            )
            service = await scene.world.add_service(
                partners.SERRANA, "serra-a", "desk-1"
            )
            service.set_faults({"delay_s": 0.8})
            daemons = await scene.start_processes(partners.SERRANA, 2)
            replies: dict[str, scenarios.CallerReply] = {}

            async def store_reply(name: str, call: Any) -> None:
                replies[name] = await call

            async with trio.open_nursery() as nursery:
                caller = scene.caller
                stream = caller.chat(daemons[0], max_tokens=60, stream=True)
                nursery.start_soon(store_reply, "stream", stream)
                nursery.start_soon(
                    store_reply, "call", caller.book(daemons[0], "slot-1")
                )
                status = caller.send(daemons[0], "GET", "/services/status/1")
                nursery.start_soon(store_reply, "status", status)
                await scene.wait_until(self._has_running, scene, daemons[0], 3)
                daemons[0].send_signal(signal.SIGTERM)
            self.assertTrue(replies["stream"].is_unbroken())
            self.assertEqual(200, replies["call"].status)
            self.assertEqual(200, replies["status"].status)
            self.assertEqual(0, await daemons[0].process.wait())
            kept = await scene.caller.book(daemons[1], "slot-1")
            self.assertEqual(replies["call"].body, kept.body)
            self.assertEqual(1, service.runs["slot-1"])

        self.run_scene(scenario)

    def test_repeated_signals_interrupt_no_request(self):
        # Guards against a SIGHUP or second SIGTERM that ends the process.
        async def scenario(scene: scenarios.Scene) -> None:
            shape = engine.EngineShape(token_s=0.02)
            await scene.world.add_engine(
                partners.SERRANA, "serra-a", "model-1", shape
            )
            (daemon,) = await scene.start_processes(partners.SERRANA, 1)
            replies: list[scenarios.CallerReply] = []

            async def ask() -> None:
                replies.append(
                    await scene.caller.chat(daemon, max_tokens=60, stream=True)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await scene.wait_until(self._has_running, scene, daemon, 1)
                daemon.send_signal(signal.SIGHUP)
                for _ in range(2):
                    daemon.send_signal(signal.SIGTERM)
                    await scene.wait_until(self._is_stopping, scene, daemon)
                    daemon.send_signal(signal.SIGHUP)
            self.assertTrue(replies[0].is_unbroken())
            self.assertEqual(0, await daemon.process.wait())

        self.run_scene(scenario)

    def test_an_immediate_stop_exits_with_an_error_if_it_cuts_requests_off(
        self,
    ):
        async def scenario(scene: scenarios.Scene) -> None:
            await self._check_cut_off(
                scene, [signal.SIGTERM, signal.SIGINT, signal.SIGINT]
            )

        self.run_scene(scenario)

    def test_a_stop_at_the_drain_limit_exits_with_an_error(self):
        async def scenario(scene: scenarios.Scene) -> None:
            timing = {"drain_notice_s": 0.1, "drain_limit_s": 0.1}
            await self._check_cut_off(scene, [signal.SIGTERM], timing=timing)

        self.run_scene(scenario)

    async def _check_cut_off(
        self,
        scene: scenarios.Scene,
        numbers: list[signal.Signals],
        **sections: Any,
    ) -> None:
        """Stop a daemon during a stream that is longer than the drain."""
        shape = engine.EngineShape(token_s=1.0)
        await scene.world.add_engine(
            partners.SERRANA, "serra-a", "model-1", shape
        )
        (daemon,) = await scene.start_processes(partners.SERRANA, 1, **sections)
        replies: list[scenarios.CallerReply] = []

        async def ask() -> None:
            replies.append(
                await scene.caller.chat(daemon, max_tokens=300, stream=True)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await scene.wait_until(self._has_running, scene, daemon, 1)
            for number in numbers:
                daemon.send_signal(number)
                await scene.wait_until(self._is_stopping, scene, daemon)
            self.assertEqual(1, await daemon.process.wait())
        self.assertFalse(replies[0].is_unbroken())

    def test_a_stopping_daemon_hands_its_deferrable_requests_over(self):
        async def scenario(scene: scenarios.Scene) -> None:
            shape = engine.EngineShape(token_s=0.03)
            await scene.world.add_engine(
                partners.SERRANA, "serra-a", "model-1", shape
            )
            daemons = await scene.start_processes(partners.SERRANA, 2)
            tickets = []
            for number in range(4):
                reply = await scene.caller.chat(
                    daemons[0], "review", f"part {number}", max_tokens=60
                )
                tickets.append(reply.read_json()["ticket"])
            await scene.wait_until(self._has_running, scene, daemons[0], 1)
            daemons[0].send_signal(signal.SIGTERM)
            self.assertEqual(0, await daemons[0].process.wait())
            for ticket in tickets:
                answer = await scene.caller.fetch_answer(daemons[1], ticket)
                self.assertEqual(200, answer.status)

        self.run_scene(scenario)

    def test_a_rolling_restart_under_load_interrupts_no_request(self):
        async def scenario(scene: scenarios.Scene) -> None:
            shape = engine.EngineShape(token_s=0.005)
            for number in range(2):
                await scene.world.add_engine(
                    partners.SERRANA, "serra-a", f"model-{number}", shape
                )
            ready_daemons = list(
                await scene.start_processes(partners.SERRANA, 3)
            )
            replies: list[scenarios.CallerReply] = []
            done = trio.Event()

            async def call_repeatedly(number: int) -> None:
                while not done.is_set():
                    # Like a load balancer, which uses ready daemons only.
                    daemon = ready_daemons[number % len(ready_daemons)]
                    replies.append(
                        await scene.caller.chat(
                            daemon, max_tokens=30, stream=True
                        )
                    )

            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(call_repeatedly, number)
                for number in range(3):
                    replaced = ready_daemons[0]
                    newer = await scene.world.start_process(
                        partners.SERRANA, "serra-a", f"entry-new-{number}"
                    )
                    await scene.wait_until(self._is_ready, scene, newer)
                    ready_daemons.append(newer)
                    ready_daemons.remove(replaced)
                    replaced.send_signal(signal.SIGTERM)
                    self.assertEqual(0, await replaced.process.wait())
                done.set()
            self.assertGreater(len(replies), 10)
            for reply in replies:
                self.assertEqual(200, reply.status, reply.body)
                self.assertTrue(reply.is_unbroken())

        self.run_scene(scenario)

    def test_a_stopping_daemon_is_unready_before_it_closes_its_listener(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(
                partners.SERRANA, 1, timing={"drain_notice_s": 1.0}
            )
            daemons[0].process.stop()
            await scene.wait_until(self._is_unready, scene, daemons[0])
            reply = await scene.caller.send(daemons[0], "GET", "/healthz")
            self.assertEqual(200, reply.status)
            await daemons[0].ended.wait()

        self.run_scene(scenario)

    async def _has_running(
        self, scene: scenarios.Scene, daemon: Any, count: int
    ) -> bool:
        rows = await scene.list_rows(daemon, "show requests")
        return len([row for row in rows if row["runner"]]) >= count

    async def _is_ready(self, scene: scenarios.Scene, daemon: Any) -> bool:
        return (await self._read_readiness(scene, daemon)) == 200

    async def _is_stopping(self, scene: scenarios.Scene, daemon: Any) -> bool:
        """Return whether the daemon is stopping or has exited."""
        if daemon.process.poll() is not None:
            return True
        return await self._is_unready(scene, daemon)

    async def _is_unready(self, scene: scenarios.Scene, daemon: Any) -> bool:
        return (await self._read_readiness(scene, daemon)) == 503

    async def _read_readiness(self, scene: scenarios.Scene, daemon: Any) -> int:
        async with http.open_client(reuse=False) as client:
            url = f"http://{daemon.addresses.callers}/readyz"
            answer = await client.call("GET", url)
            return answer.ok.status if answer.is_ok() else 0
