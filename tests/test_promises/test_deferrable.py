"""Each accepted deferrable request is answered, always with one answer."""

from __future__ import annotations

import signal
from typing import Any

import trio

from martenquay_core import results
from martenquay_standins import engine, partners
from tests import scenarios

_Code = results.ResultCode
_SLOW = engine.EngineShape(token_s=0.02)


def _build_text(prompt: str, count: int) -> str:
    return "".join(
        engine.make_token(f"user: {prompt}", i) for i in range(count)
    )


class AcceptedWorkTest(scenarios.ScenarioTestCase):
    async def _accept(
        self, scene: scenarios.Scene, daemon: Any, key: str = ""
    ) -> str:
        reply = await scene.caller.chat(
            daemon, "review", "part seven", max_tokens=40, key=key
        )
        self.assertEqual(_Code.ACCEPTED, reply.code, reply.body)
        return reply.read_json()["ticket"]

    async def _check_answer(
        self, scene: scenarios.Scene, daemons: list[Any], ticket: str
    ) -> None:
        first = await scene.caller.fetch_answer(daemons[0], ticket)
        self.assertEqual(_build_text("part seven", 40), first.read_text())
        for daemon in daemons:
            again = await scene.caller.fetch_answer(daemon, ticket)
            self.assertEqual(first.body, again.body)

    def test_a_request_survives_the_reclaim_of_its_runner(self):
        async def scenario(scene: scenarios.Scene) -> None:
            for zone in ("serra-a", "serra-b"):
                await scene.world.add_engine(
                    partners.SERRANA, zone, f"model-{zone}", _SLOW
                )
            daemons = await scene.start_daemons(partners.SERRANA, 3)
            ticket = await self._accept(scene, daemons[0])
            runner = await self._wait_until_running(scene, daemons[0], ticket)
            scene.world.instances.give_notice(runner, "serra-a")
            await trio.sleep(0.2)
            scene.world.runners[runner].kill()
            await self._check_answer(scene, daemons, ticket)

        self.run_scene(scenario)

    def test_a_request_survives_a_crash_of_its_runner(self):
        async def scenario(scene: scenarios.Scene) -> None:
            for zone in ("serra-a", "serra-b"):
                await scene.world.add_engine(
                    partners.SERRANA, zone, f"model-{zone}", _SLOW
                )
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            ticket = await self._accept(scene, daemons[0])
            runner = await self._wait_until_running(scene, daemons[0], ticket)
            scene.world.runners[runner].kill()
            await self._check_answer(scene, daemons, ticket)

        self.run_scene(scenario)

    def test_a_request_survives_a_crash_of_the_daemon_that_answers_it(self):
        async def scenario(scene: scenarios.Scene) -> None:
            await scene.world.add_engine(
                partners.SERRANA, "serra-c", "model-1", _SLOW
            )
            daemons = await scene.start_processes(partners.SERRANA, 3)
            ticket = await self._accept(scene, daemons[0])
            await self._wait_until_running(scene, daemons[0], ticket)
            rows = await scene.list_rows(daemons[0], "show requests")
            worker = rows[0]["daemon"]
            for daemon in daemons:
                if daemon.member == worker:
                    daemon.send_signal(signal.SIGKILL)
            remaining = [d for d in daemons if d.member != worker]
            await self._check_answer(scene, remaining, ticket)

        self.run_scene(scenario)

    def test_a_request_survives_a_log_outage_and_the_loss_of_a_zone(self):
        async def scenario(scene: scenarios.Scene) -> None:
            for zone in ("serra-a", "serra-b"):
                await scene.world.add_engine(
                    partners.SERRANA, zone, f"model-{zone}", _SLOW
                )
            daemons = await scene.start_processes(partners.SERRANA, 3)
            ticket = await self._accept(scene, daemons[0])
            scene.world.log.set_faults({"down": True})
            refused = await scene.caller.chat(daemons[0], "review")
            self.assertEqual(_Code.NOT_RUN_LOG_DOWN, refused.code)
            daemons[0].send_signal(signal.SIGKILL)
            scene.world.runners["model-serra-a"].kill()
            await trio.sleep(0.5)
            scene.world.log.set_faults({"down": False})
            await self._check_answer(scene, daemons[1:], ticket)

        self.run_scene(scenario)

    def test_a_request_without_a_runner_outlives_the_retention_of_the_log(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            ticket = await self._accept(scene, daemons[0])
            stream = await self._find_stream(scene, ticket)
            first = scene.world.log.list_records(stream)[0].offset

            async def is_carried() -> bool:
                kept = scene.world.log.list_records(stream)
                return kept[0].offset > first if kept else False

            await scene.wait_until(is_carried)
            await scene.world.add_engine(partners.SERRANA, "serra-a", "model-1")
            await self._check_answer(scene, daemons, ticket)

        self.run_scene(scenario, retention_s=2.0)

    def test_a_daemon_without_configuration_does_not_answer_with_an_error(self):
        async def scenario(scene: scenarios.Scene) -> None:
            first = (await scene.start_daemons(partners.SERRANA, 1))[0]
            ticket = await self._accept(scene, first)
            scene.world.log.set_faults({"refused_stream": "config"})
            first.scope.cancel()
            await first.ended.wait()
            fresh = await scene.world.start_daemon(
                partners.SERRANA, "serra-b", "entry-fresh"
            )
            # A daemon that did not wait for its configuration would answer
            # the request with an error within this time.
            await trio.sleep(2.0)
            scene.world.log.set_faults({"refused_stream": ""})
            await scene.world.add_engine(partners.SERRANA, "serra-a", "model-1")
            await scene.wait_ready([fresh])
            await self._check_answer(scene, [fresh], ticket)

        self.run_scene(scenario)

    def test_the_same_key_sent_twice_is_one_ticket_with_one_answer(self):
        async def scenario(scene: scenarios.Scene) -> None:
            await scene.world.add_engine(partners.SERRANA, "serra-a", "model-1")
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            tickets = {
                await self._accept(scene, daemon, key="night-7")
                for daemon in daemons
            }
            self.assertEqual(1, len(tickets))
            await self._check_answer(scene, daemons, tickets.pop())

        self.run_scene(scenario)

    async def _wait_until_running(
        self, scene: scenarios.Scene, daemon: Any, ticket: str
    ) -> str:
        while True:
            for row in await scene.list_rows(daemon, "show requests"):
                if row["name"] == ticket and row["tokens"] > 2:
                    return row["runner"]
            await trio.sleep(0.02)

    async def _find_stream(self, scene: scenarios.Scene, ticket: str) -> str:
        while True:
            for shard in range(4):
                name = f"work-serrana-{shard}"
                for record in scene.world.log.list_records(name):
                    if ticket.encode() in record.payload:
                        return name
            await trio.sleep(0.02)
