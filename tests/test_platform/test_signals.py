"""Series of signals at any stage of the daemon's process interrupt no request.

A reload signal during a stop must not end the process by its default action.
"""

from __future__ import annotations

import itertools
import signal
from typing import TYPE_CHECKING

import testtools
import trio

from tests.test_platform import process_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Ends a scenario that hangs; nothing is asserted about time.
_HANG_S = 60.0
_SIGNAL_INTERVAL_S = 0.002
_STOPPING_PREFIX = "Stopping"
_HUP_TEXT = "Received SIGHUP."
# Log lines that report the outcome of reading the settings.
_SETTINGS_READ_PREFIXES = ("Read the settings", "Applied the changed settings")
_TERM = signal.SIGTERM
_HUP = signal.SIGHUP


class SignalsTest(testtools.TestCase):
    def _run_scenario(
        self,
        scenario: Callable[[process_scene.ProcessScene], Awaitable[None]],
        *,
        blocks_imports: bool = False,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    blocks_imports=blocks_imports
                ) as scene:
                    await scenario(scene)

        trio.run(run)

    async def _check_answer_and_exit(
        self, scene: process_scene.ProcessScene, stream: trio.SocketStream
    ) -> None:
        reply = await scene.read_answer(stream)
        self.assertEqual(200, reply.status, scene.describe())
        self.assertTrue(reply.is_whole, scene.describe())
        self.assertEqual(0, await scene.wait_exit(), scene.describe())

    def test_a_reload_during_a_stop_interrupts_no_request(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            scene.send_signals(_TERM)
            await scene.wait_text(_STOPPING_PREFIX)
            # The unchanged file is not read again by polling, so only the
            # signal can cause the line that follows.
            scene.send_signals(_HUP)
            await scene.wait_text(_HUP_TEXT)
            scene.change_settings()
            scene.send_signals(_HUP)
            await scene.wait_text("Applied the changed settings")
            await self._check_answer_and_exit(scene, stream)
            next_texts = [
                after
                for text, after in itertools.pairwise(scene.texts)
                if text == _HUP_TEXT
            ]
            self.assertEqual(2, len(next_texts), scene.describe())
            for text in next_texts:
                self.assertTrue(
                    text.startswith(_SETTINGS_READ_PREFIXES), scene.describe()
                )

        self._run_scenario(scenario)

    def test_repeated_stop_signals_interrupt_no_request(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            scene.send_signals(_HUP, _TERM)
            await scene.wait_text(_STOPPING_PREFIX)
            scene.send_signals(_TERM, signal.SIGINT, _HUP, _TERM)
            await self._check_answer_and_exit(scene, stream)

        self._run_scenario(scenario)

    def test_signals_until_the_process_exits_have_no_effect(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            scene.send_signals(_TERM)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_signals_until_exit, scene)
                await self._check_answer_and_exit(scene, stream)

        self._run_scenario(scenario)

    async def _send_signals_until_exit(
        self, scene: process_scene.ProcessScene
    ) -> None:
        while scene.program.process.poll() is None:
            scene.send_signals(_HUP, _TERM)
            await trio.sleep(_SIGNAL_INTERVAL_S)

    def test_a_stop_signal_during_imports_ends_the_daemon_at_once(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.send_signals_while_importing(_HUP, _TERM, _HUP)
            self.assertEqual(0, await scene.wait_exit(), scene.describe())
            self.assertIn("Stopped before callers were served.", scene.texts)

        self._run_scenario(scenario, blocks_imports=True)

    # On a busy machine the imports took longer than the grace time.
    def test_a_stop_signal_does_not_wait_for_the_imports(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            async with scene.hold_imports():
                scene.send_signals(_HUP, _TERM)
                self.assertEqual(0, await scene.wait_exit(), scene.describe())
            self.assertIn("Stopped before callers were served.", scene.texts)

        self._run_scenario(scenario, blocks_imports=True)

    def test_reload_signals_during_imports_do_not_end_the_daemon(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.send_signals_while_importing(_HUP, _HUP)
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            scene.send_signals(_HUP, _TERM)
            await self._check_answer_and_exit(scene, stream)

        self._run_scenario(scenario, blocks_imports=True)
