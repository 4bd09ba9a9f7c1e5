"""A settings file that is being written at the start ends no process.

Operators and the platform may write the file anew while a process starts.
"""

from __future__ import annotations

import json
import signal
from typing import TYPE_CHECKING

import testtools
import trio

from tests.test_platform import process_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Ends a scenario that hangs; nothing is asserted about time.
_HANG_S = 60.0
_EXIT_SETTINGS = 7
_POLL_INTERVAL_S = 0.01
_SIGNAL_INTERVAL_S = 0.002
# Between the parts of a file that is written in parts.
_WRITE_PAUSE_S = 0.3


def _remove(scene: process_scene.ProcessScene) -> None:
    scene.settings.unlink()


def _empty(scene: process_scene.ProcessScene) -> None:
    scene.settings.write_text("")


def _halve(scene: process_scene.ProcessScene) -> None:
    text = scene.create_settings()
    scene.settings.write_text(text[: len(text) // 2])


async def _wait_errors(scene: process_scene.ProcessScene, text: str) -> None:
    """Wait for a text on standard error; fail if the daemon ends."""
    while text not in scene.program.errors.decode():
        status = scene.program.process.poll()
        assert status is None, f"{status}: {scene.describe()}"
        await trio.sleep(_POLL_INTERVAL_S)


class StartSettingsTest(testtools.TestCase):
    def _run_scenario(
        self,
        prepare: Callable[[process_scene.ProcessScene], None],
        scenario: Callable[[process_scene.ProcessScene], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    prepare=prepare
                ) as scene:
                    await scenario(scene)

        trio.run(run)

    def _check_start(
        self, prepare: Callable[[process_scene.ProcessScene], None]
    ) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await _wait_errors(scene, "reading again for 8 s")
            text = scene.create_settings()
            for end in (0, len(text) // 3, len(text) - 1, len(text)):
                scene.settings.write_text(text[:end])
                await trio.sleep(_WRITE_PAUSE_S)
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            scene.send_signals(signal.SIGTERM)
            reply = await scene.read_answer(stream)
            self.assertEqual(200, reply.status, scene.describe())
            self.assertTrue(reply.is_whole, scene.describe())
            self.assertEqual(0, await scene.wait_exit(), scene.describe())

        self._run_scenario(prepare, scenario)

    def test_a_missing_file_delays_the_start(self) -> None:
        self._check_start(_remove)

    def test_an_empty_file_delays_the_start(self) -> None:
        self._check_start(_empty)

    def test_a_file_written_in_parts_delays_the_start(self) -> None:
        self._check_start(_halve)

    def _check_error(
        self,
        prepare: Callable[[process_scene.ProcessScene], None],
        message: str,
    ) -> str:
        errors: list[str] = []

        async def scenario(scene: process_scene.ProcessScene) -> None:
            status = await scene.wait_exit()
            self.assertEqual(_EXIT_SETTINGS, status, scene.describe())
            errors.extend(scene.program.errors.decode().splitlines())

        self._run_scenario(prepare, scenario)
        self.assertIn(message, errors[-1])
        return errors[0]

    def test_a_file_that_stays_incomplete_ends_the_start(self) -> None:
        first = self._check_error(_halve, "(6002)")
        self.assertIn("reading again", first)

    def test_an_invalid_complete_file_ends_the_start_at_once(self) -> None:
        def prepare(scene: process_scene.ProcessScene) -> None:
            content = json.loads(scene.create_settings())
            content["listen"]["callers"] = "127.0.0.1:70000"
            scene.settings.write_text(json.dumps(content))

        first = self._check_error(prepare, "listen.callers:")
        self.assertNotIn("reading again", first)

    def test_signals_do_not_change_the_status_of_an_error(self) -> None:
        def prepare(scene: process_scene.ProcessScene) -> None:
            scene.settings.write_text("{}")

        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_until_signals_are_held()
            while scene.program.process.poll() is None:
                scene.send_signals(signal.SIGHUP)
                await trio.sleep(_SIGNAL_INTERVAL_S)
            status = await scene.wait_exit()
            self.assertEqual(_EXIT_SETTINGS, status, scene.describe())

        self._run_scenario(prepare, scenario)

    def test_an_ip_that_is_no_address_ends_the_start_at_once(self) -> None:
        def prepare(scene: process_scene.ProcessScene) -> None:
            content = json.loads(scene.create_settings())
            content["listen"]["ip"] = "a..b"
            scene.settings.write_text(json.dumps(content))

        self._check_error(prepare, "listen.ip:")

    def test_a_number_with_too_many_digits_is_a_settings_error(self) -> None:
        def prepare(scene: process_scene.ProcessScene) -> None:
            text = scene.create_settings()
            digits = "9" * 5000
            scene.settings.write_text(f'{{"link_mbps": {digits}, {text[1:]}')

        self._check_error(prepare, "(6002)")

    def test_a_stop_signal_ends_the_wait_for_the_file(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await _wait_errors(scene, "reading again for 8 s")
            scene.send_signals(signal.SIGHUP)
            scene.send_signals(signal.SIGTERM)
            self.assertEqual(0, await scene.wait_exit(), scene.describe())
            self.assertIn("Stopped before", scene.describe())

        self._run_scenario(_remove, scenario)
