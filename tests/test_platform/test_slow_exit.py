"""A planned stop ends within its grace time however slow Python's exit is."""

from __future__ import annotations

import signal

import testtools
import trio

from tests.test_platform import process_scene

# Ends a scenario that hangs; nothing else is asserted about time.
_HANG_S = 60.0
_GRACE_S = 8.0
_EXIT_MODULE = "import atexit, time\natexit.register(time.sleep, 20.0)\n"


class SlowExitTest(testtools.TestCase):
    def test_a_stop_does_not_wait_for_the_interpreter(self) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    grace_s=_GRACE_S, startup_module=_EXIT_MODULE
                ) as scene:
                    await scene.wait_until_serving()
                    scene.send_signals(signal.SIGTERM)
                    status = None
                    with trio.move_on_after(_GRACE_S):
                        status = await scene.wait_exit()
                    self.assertEqual(0, status, scene.describe())
                    self.assertTrue(scene.texts[-1].startswith("Ended"))

        trio.run(run)
