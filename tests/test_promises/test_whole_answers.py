"""Callers get complete answers despite runner failures and stream faults."""

from __future__ import annotations

from typing import Any

import trio

from martenquay_standins import engine, partners, running
from tests import scenarios

_SLOW = engine.EngineShape(token_s=0.01)


def _build_text(prompt: str, count: int) -> str:
    return "".join(
        engine.make_token(f"user: {prompt}", i) for i in range(count)
    )


class StreamTest(scenarios.ScenarioTestCase):
    def test_reordered_repeated_and_foreign_tokens_change_no_answer(self):
        async def scenario(scene: scenarios.Scene) -> None:
            app = await scene.world.add_engine(
                partners.SERRANA, "serra-a", "model-1"
            )
            daemons = await scene.start_daemons(partners.SERRANA, 1)
            for fault in ("repeat_tokens", "swap_tokens", "foreign_tokens"):
                app.set_faults({fault: True})
                reply = await scene.caller.chat(
                    daemons[0], prompt=fault, max_tokens=21, stream=True
                )
                self.assertEqual(_build_text(fault, 21), reply.read_text())
                self.assertTrue(reply.is_unbroken())

        self.run_scene(scenario)

    def test_many_callers_at_once_each_get_their_own_answer(self):
        async def scenario(scene: scenarios.Scene) -> None:
            for number in range(3):
                app = await scene.world.add_engine(
                    partners.SERRANA, "serra-a", f"model-{number}"
                )
                app.set_faults({"foreign_tokens": True, "swap_tokens": True})
            daemons = await scene.start_daemons(partners.SERRANA, 2)
            replies: dict[str, str] = {}

            async def ask(number: int) -> None:
                prompt = f"order {number} of the harvest"
                reply = await scene.caller.chat(
                    daemons[number % 2],
                    prompt=prompt,
                    max_tokens=15,
                    stream=number % 3 == 0,
                )
                replies[prompt] = reply.read_text()

            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(ask, number)
            for prompt, text in replies.items():
                self.assertEqual(_build_text(prompt, 15), text)

        self.run_scene(scenario)

    def test_a_reclaimed_runner_transfers_its_stream_and_its_cache(self):
        async def scenario(scene: scenarios.Scene) -> None:
            reply, daemon = await self._move_stream(scene, "notice")
            prompt = "long brief " * 200
            self.assertEqual(_build_text(prompt, 60), reply.read_text())
            self.assertTrue(reply.is_unbroken())
            recomputed = await self._count_recomputed(scene, daemon)
            # Less than one block of the prompt plus the generated tokens.
            self.assertLess(recomputed["reclaimed"], 32 + 60)
            self.assertNotIn("lost", recomputed)

        self.run_scene(scenario)

    def test_a_killed_runner_costs_recomputed_tokens_but_no_answer(self):
        async def scenario(scene: scenarios.Scene) -> None:
            reply, daemon = await self._move_stream(scene, "kill")
            prompt = "long brief " * 200
            self.assertEqual(_build_text(prompt, 60), reply.read_text())
            self.assertTrue(reply.is_unbroken())
            recomputed = await self._count_recomputed(scene, daemon)
            self.assertGreaterEqual(recomputed["lost"], 400)

        self.run_scene(scenario)

    def test_a_stream_that_cannot_be_finished_ends_with_an_error_event(self):
        async def scenario(scene: scenarios.Scene) -> None:
            await scene.world.add_engine(
                partners.SERRANA, "serra-a", "model-1", _SLOW
            )
            daemons = await scene.start_daemons(partners.SERRANA, 1)
            await scene.ask(daemons[0], "set route chat deadline_s=1.5")
            replies: list[scenarios.CallerReply] = []

            async def ask() -> None:
                replies.append(
                    await scene.caller.chat(
                        daemons[0], max_tokens=500, stream=True
                    )
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await self._wait_for_tokens(scene, daemons[0])
                scene.world.runners["model-1"].kill()
            self.assertIn(b"event: error", replies[0].body)
            self.assertIn(b"4003", replies[0].body)
            self.assertFalse(replies[0].is_unbroken())

        self.run_scene(scenario)

    def test_a_caller_that_disconnects_cancels_its_request_at_the_engine(self):
        async def scenario(scene: scenarios.Scene) -> None:
            await scene.world.add_engine(
                partners.SERRANA, "serra-a", "model-1", _SLOW
            )
            daemons = await scene.start_daemons(partners.SERRANA, 1)

            async def ask(*, task_status: Any) -> None:
                with trio.CancelScope() as scope:
                    task_status.started(scope)
                    await scene.caller.chat(
                        daemons[0], max_tokens=5000, stream=True
                    )

            scope = await scene.nursery.start(ask)
            await self._wait_for_tokens(scene, daemons[0])
            scope.cancel()

            async def is_idle() -> bool:
                requests = await scene.list_rows(daemons[0], "show requests")
                runners = await scene.list_rows(daemons[0], "show runners")
                return not requests and runners[0]["ahead"] == 0

            await scene.wait_until(is_idle)

        self.run_scene(scenario)

    async def _move_stream(
        self, scene: scenarios.Scene, how: str
    ) -> tuple[scenarios.CallerReply, running.LocalDaemon]:
        for number in range(2):
            await scene.world.add_engine(
                partners.SERRANA, "serra-a", f"model-{number}", _SLOW
            )
        daemons = await scene.start_daemons(partners.SERRANA, 1)
        replies: list[scenarios.CallerReply] = []

        async def ask() -> None:
            replies.append(
                await scene.caller.chat(
                    daemons[0],
                    prompt="long brief " * 200,
                    max_tokens=60,
                    stream=True,
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            runner = await self._wait_for_tokens(scene, daemons[0])
            if how == "notice":
                scene.world.instances.give_notice(runner, "serra-a")
                # Time to transfer the stream before the runner ends.
                await trio.sleep(0.3)
            scene.world.runners[runner].kill()
        return replies[0], daemons[0]

    async def _wait_for_tokens(
        self, scene: scenarios.Scene, daemon: Any
    ) -> str:
        while True:
            for row in await scene.list_rows(daemon, "show requests"):
                if row["tokens"] > 3:
                    return row["runner"]
            await trio.sleep(0.01)

    async def _count_recomputed(
        self, scene: scenarios.Scene, daemon: Any
    ) -> dict[str, float]:
        reply = await scene.caller.send(daemon, "GET", "/metrics")
        found: dict[str, float] = {}
        for line in reply.body.decode().splitlines():
            if line.startswith("martenquay_recomputed_tokens_total{"):
                cause = line.split('"')[1]
                found[cause] = float(line.rsplit(" ", 1)[1])
        return found
