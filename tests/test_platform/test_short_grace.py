"""A stop ends within the grace time, however short that is."""

from __future__ import annotations

import signal

import testtools
import trio

from tests.test_platform import process_scene

# Ends a scenario that hangs.
_HANG_S = 60.0
_GRACE_S = 2.0
_SHORTER_GRACE_S = 1.5


class ShortGraceTest(testtools.TestCase):
    def _stop(self, changed_s: float | None = None) -> None:
        async def run() -> None:
            grace_s = 8.0 if changed_s else _GRACE_S
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    grace_s=grace_s
                ) as scene:
                    await scene.wait_until_serving()
                    stopped_at = trio.current_time()
                    scene.send_signals(signal.SIGTERM)
                    if changed_s:
                        scene.grace_s = changed_s
                        scene.write_settings()
                        scene.send_signals(signal.SIGHUP)
                    status = await scene.wait_exit()
                    took_s = trio.current_time() - stopped_at
                    self.assertEqual(0, status, scene.describe())
                    limit_s = changed_s or _GRACE_S
                    self.assertLess(took_s, limit_s, scene.describe())

        trio.run(run)

    def test_that_is_shorter_than_the_notice(self) -> None:
        self._stop()

    def test_that_becomes_shorter_during_the_notice(self) -> None:
        self._stop(_SHORTER_GRACE_S)
