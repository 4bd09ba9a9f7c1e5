"""A stream that a stop might cut off is rejected, however fast others were."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import testtools
import trio

from tests import paced_runner, serving_scene
from tests.test_platform import process_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Ends a scenario that hangs; nothing is asserted about time.
_HANG_S = 60.0
_EVENT_S = 0.01
_SLOW_EVENT_S = 0.1
_LEARNT_STREAMS = 6
# Longer than the notice of a stop.
_LONG_TOKENS = 350


async def _open(scene: process_scene.ProcessScene) -> trio.SocketStream:
    host, _, port = scene.find_address().rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def _send(stream: trio.SocketStream, call_id: str, tokens: int) -> None:
    await stream.send_all(
        b"GET /note/1 HTTP/1.1\r\nhost: desk.example\r\n"
        b"attempt-id: %s\r\ndeadline-ms: 30000\r\n"
        b"token-counts: 10,%d\r\n\r\n" % (call_id.encode(), tokens)
    )


class LateStreamTest(testtools.TestCase):
    def _run_scenario(
        self,
        scenario: Callable[
            [process_scene.ProcessScene, paced_runner.PacedRunner],
            Awaitable[None],
        ],
    ) -> None:
        async def run() -> None:
            runner = paced_runner.PacedRunner(_EVENT_S)
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    runner=runner
                ) as scene:
                    await scene.wait_until_serving()
                    await scenario(scene, runner)

        trio.run(run)

    async def _learn(
        self, scene: process_scene.ProcessScene, tokens: int
    ) -> None:
        """Let the daemon learn from streams of this length."""
        async with trio.open_nursery() as nursery:
            for number in range(_LEARNT_STREAMS):
                nursery.start_soon(self._ask, scene, f"learnt-{number}", tokens)

    async def _ask(
        self, scene: process_scene.ProcessScene, call_id: str, tokens: int
    ) -> serving_scene.Reply:
        async with await _open(scene) as stream:
            await _send(stream, call_id, tokens)
            return await serving_scene.read_reply(stream)

    def test_on_an_engine_that_is_slower_than_learnt(self) -> None:
        async def scenario(scene, runner) -> None:
            await self._learn(scene, 70)
            async with await _open(scene) as stream:
                await _send(stream, "long", _LONG_TOKENS)
                # Its head must be written before the stop, as one that is
                # written later tells the caller to close.
                await trio.lowlevel.wait_readable(stream.socket)
                scene.send_signals(signal.SIGTERM)
                await scene.wait_text("Stopping")
                first = await serving_scene.read_reply(stream)
                self.assertTrue(first.is_whole, scene.describe())
                runner.event_s = _SLOW_EVENT_S
                await _send(stream, "late", 70)
                late = await serving_scene.read_reply(stream)
            self._check_rejected(late, "late", scene, runner)
            self.assertEqual(0, await scene.wait_exit(), scene.describe())

        self._run_scenario(scenario)

    def test_of_a_length_that_was_never_learnt(self) -> None:
        async def scenario(scene, runner) -> None:
            await self._learn(scene, 4)
            async with await _open(scene) as stream:
                await _send(stream, "first", 4)
                await serving_scene.read_reply(stream)
                scene.send_signals(signal.SIGTERM)
                await scene.wait_text("Stopping")
                # Streams of a few events do not show the pace of a long one.
                runner.event_s = _SLOW_EVENT_S
                await _send(stream, "late", 140)
                late = await serving_scene.read_reply(stream)
            self._check_rejected(late, "late", scene, runner)
            self.assertEqual(0, await scene.wait_exit(), scene.describe())

        self._run_scenario(scenario)

    def _check_rejected(
        self,
        reply: serving_scene.Reply,
        call_id: str,
        scene: process_scene.ProcessScene,
        runner: paced_runner.PacedRunner,
    ) -> None:
        self.assertTrue(reply.is_whole, scene.describe())
        self.assertEqual(503, reply.status, scene.describe())
        self.assertEqual(b"0.000", reply.headers[b"retry-after"])
        self.assertEqual(b"close", reply.headers[b"connection"])
        self.assertNotIn(call_id, runner.runs)
