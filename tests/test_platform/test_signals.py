"""Signals in series, at every stage of a daemon's process, cut nothing off.

Symptom: two streams ended in the middle, though only planned work was under
way at their daemon.

Sequence: the daemon took a request, got SIGTERM 14 ms later, went on serving
what was in progress, and got SIGHUP 192 ms after that. Its process ended at
once; callers saw their connections close 3 ms later.

Cause: signals were handled until the first SIGTERM only. From then on, and
also before the daemon served, the system's own action applied, which for
SIGHUP, SIGTERM and SIGINT is to end the process. The same holds while the
interpreter shuts down, since it takes handlers out.

What settled it: the last line before the end is an ordinary
"Request delivered"; there is neither "Read the settings" for that SIGHUP nor
"Stopped" nor a traceback, the memory stood at 29 of 300 MB, and the exit
status of the process here is -1, that is SIGHUP. A daemon that got the two
signals in the other order stopped without a loss.
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
# Between two signals of a storm.
_STORM_S = 0.002
_STOPPING = "Stopping"
_RECEIVED_HUP = "Received SIGHUP."
# How a line begins that tells of the settings as they were read.
_READ = ("Read the settings", "Took the settings")
_TERM = signal.SIGTERM
_HUP = signal.SIGHUP


class SignalsTest(testtools.TestCase):
    def _run(
        self,
        scenario: Callable[[process_scene.ProcessScene], Awaitable[None]],
        *,
        holds_imports: bool = False,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    holds_imports=holds_imports
                ) as scene:
                    await scenario(scene)

        trio.run(run)

    async def _expect_whole(
        self, scene: process_scene.ProcessScene, stream: trio.SocketStream
    ) -> None:
        reply = await scene.read_answer(stream)
        self.assertEqual(200, reply.status, scene.describe())
        self.assertTrue(reply.is_whole, scene.describe())
        self.assertEqual(0, await scene.wait_end(), scene.describe())

    def test_a_reload_during_a_stop_cuts_no_request_off(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_serving()
            stream = await scene.open_stream()
            scene.send(_TERM)
            await scene.wait_text(_STOPPING)
            # Without a change no poll of the file reads it again: the line
            # that follows can come of the signal alone.
            scene.send(_HUP)
            await scene.wait_text(_RECEIVED_HUP)
            scene.change_settings()
            scene.send(_HUP)
            await scene.wait_text("Took the settings")
            await self._expect_whole(scene, stream)
            followers = [
                after
                for text, after in itertools.pairwise(scene.texts)
                if text == _RECEIVED_HUP
            ]
            self.assertEqual(2, len(followers), scene.describe())
            for text in followers:
                self.assertTrue(text.startswith(_READ), scene.describe())

        self._run(scenario)

    def test_stop_signals_in_series_cut_no_request_off(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_serving()
            stream = await scene.open_stream()
            scene.send(_HUP, _TERM)
            await scene.wait_text(_STOPPING)
            scene.send(_TERM, signal.SIGINT, _HUP, _TERM)
            await self._expect_whole(scene, stream)

        self._run(scenario)

    def test_signals_until_the_process_is_gone_change_nothing(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_serving()
            stream = await scene.open_stream()
            scene.send(_TERM)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._storm, scene)
                await self._expect_whole(scene, stream)

        self._run(scenario)

    async def _storm(self, scene: process_scene.ProcessScene) -> None:
        while scene.program.process.poll() is None:
            scene.send(_HUP, _TERM)
            await trio.sleep(_STORM_S)

    def test_a_stop_before_it_serves_ends_it_at_once(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.send_while_importing(_HUP, _TERM, _HUP)
            self.assertEqual(0, await scene.wait_end(), scene.describe())
            self.assertIn("Stopped before callers were served.", scene.texts)

        self._run(scenario, holds_imports=True)

    def test_signals_in_series_while_it_starts_do_not_end_it(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.send_while_importing(_HUP, _HUP)
            await scene.wait_serving()
            stream = await scene.open_stream()
            scene.send(_HUP, _TERM)
            await self._expect_whole(scene, stream)

        self._run(scenario, holds_imports=True)
