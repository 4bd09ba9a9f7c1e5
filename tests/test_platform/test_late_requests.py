"""A stopping daemon refuses a stream that would outlast its grace time.

This holds for a request on a kept connection whose last answer began earlier.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import testtools
import trio

from tests.test_platform import process_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Ends a scenario that hangs; nothing is asserted about time.
_HANG_S = 60.0


class LateRequestTest(testtools.TestCase):
    def _run_scenario(
        self,
        scenario: Callable[[process_scene.ProcessScene], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene() as scene:
                    await scenario(scene)

        trio.run(run)

    def test_a_second_request_on_a_connection_is_refused_during_a_stop(
        self,
    ) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            scene.send_signals(signal.SIGTERM)
            await scene.wait_text("Stopping")
            await scene.send_second_request(stream)
            first, second = await scene.read_two_answers(stream)
            self.assertEqual(200, first.status, scene.describe())
            self.assertTrue(first.is_whole, scene.describe())
            self.assertEqual(503, second.status, scene.describe())
            self.assertTrue(second.is_whole, scene.describe())
            self.assertEqual(b"close", second.headers[b"connection"])
            self.assertEqual(0, await scene.wait_exit(), scene.describe())
            self.assertEqual(1, len(scene.runner.requests))

        self._run_scenario(scenario)
