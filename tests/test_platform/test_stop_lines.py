"""The log tells which requests a stop cut off, and a kill from an end."""

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
_GRACE_S = 4.0


class StopLinesTest(testtools.TestCase):
    def _run_scenario(
        self,
        scenario: Callable[[process_scene.ProcessScene], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    grace_s=_GRACE_S
                ) as scene:
                    await scenario(scene)

        trio.run(run)

    def test_a_request_that_outlasts_the_grace_time_is_named(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            scene.send_signals(signal.SIGTERM)
            self.assertEqual(0, await scene.wait_exit(), scene.describe())
            await stream.aclose()
            [cut] = [
                line
                for line in scene.lines
                if line.get("text", "").startswith("Cut off a request")
            ]
            self.assertEqual("call-1", cut["request"])
            self.assertEqual("streaming", cut["stage"])
            self.assertIn("grace time", cut["text"])
            self.assertLess(cut["taken_s"], 0.0)
            self.assertGreater(cut["runner_s"], 0.0)
            [stopped] = [x for x in scene.lines if x.get("text") == "Stopped."]
            self.assertEqual(1, stopped["cut_off"])
            self.assertTrue(scene.texts[-1].startswith("Ended"))

        self._run_scenario(scenario)

    def test_a_killed_process_tells_how_far_its_stop_had_come(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            scene.send_signals(signal.SIGTERM)
            await scene.wait_text("Draining")
            scene.send_signals(signal.SIGKILL)
            self.assertEqual(-signal.SIGKILL, await scene.wait_exit())
            await stream.aclose()
            self.assertIn("Announced the stop.", scene.texts)
            self.assertNotIn("Stopped.", scene.texts)
            self.assertFalse(scene.texts[-1].startswith("Ended"))
            draining = next(
                line for line in scene.lines if line.get("text") == "Draining."
            )
            self.assertGreaterEqual(draining["state"]["connections"], 1)
            self.assertIn("call-1", draining["state"]["requests"][0])

        self._run_scenario(scenario)
