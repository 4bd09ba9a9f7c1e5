"""An address that is taken for a moment delays the start and ends no process.

All addresses are listened on before the first caller's connection is accepted,
since the connections to a process that then ends are lost.
"""

from __future__ import annotations

import contextlib
import json
import signal
from typing import TYPE_CHECKING

import testtools
import trio

from tests import start_addresses
from tests.test_platform import process_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Ends a scenario that hangs; nothing is asserted about time.
_HANG_S = 60.0
_EXIT_ADDRESS = 8
_SHORT_GRACE_S = 0.5
_POLL_INTERVAL_S = 0.01
_MEMBERS_TOPIC = "keyed.martenquay-members"
_SETTINGS = {
    "callers": "listen.callers",
    "readiness": "listen.readiness",
    "peers": "listen.peer_port",
    "relay": "listen.relay_port",
}


async def _can_connect(address: tuple[str, int]) -> bool:
    try:
        stream = await trio.open_tcp_stream(*address)
    except OSError:
        return False
    await stream.aclose()
    return True


class StartAddressesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.addresses = start_addresses.create_addresses()

    def _run_scenario(
        self,
        scenario: Callable[[process_scene.ProcessScene], Awaitable[None]],
        grace_s: float = 8.0,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    listen=self.addresses.build_listen(), grace_s=grace_s
                ) as scene:
                    await scenario(scene)

        trio.run(run)

    def _take(self, endpoint: str) -> contextlib.ExitStack:
        """Listen on an address until the returned stack is closed."""
        holder = contextlib.ExitStack()
        holder.enter_context(self.addresses.take(endpoint))
        self.addCleanup(holder.close)
        return holder

    def _describe_taken(self, endpoint: str) -> str:
        return (
            f"{self.addresses.format(endpoint)} "
            f"(setting {_SETTINGS[endpoint]}): Address already in use"
        )

    async def _check_serves(self, scene: process_scene.ProcessScene) -> None:
        await scene.wait_until_serving()
        stream = await scene.open_stream()
        scene.send_signals(signal.SIGTERM)
        reply = await scene.read_answer(stream)
        self.assertEqual(200, reply.status, scene.describe())
        self.assertTrue(reply.is_whole, scene.describe())
        self.assertEqual(0, await scene.wait_exit(), scene.describe())

    def _check_delayed_start(self, endpoint: str) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_text(
                f"Cannot listen on {self._describe_taken(endpoint)}"
            )
            callers = self.addresses.find("callers")
            if endpoint != "callers":
                self.assertFalse(await _can_connect(callers))
            holder.close()
            await scene.wait_text(
                f"Listening on {self.addresses.format(endpoint)}"
            )
            await self._check_serves(scene)

        holder = self._take(endpoint)
        self._run_scenario(scenario)

    def test_a_taken_callers_address_delays_the_start(self) -> None:
        self._check_delayed_start("callers")

    def test_a_taken_readiness_address_delays_the_start(self) -> None:
        self._check_delayed_start("readiness")

    def test_a_taken_peer_address_delays_the_start(self) -> None:
        self._check_delayed_start("peers")

    def _check_address_error(self, endpoint: str) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            status = await scene.wait_exit()
            self.assertEqual(_EXIT_ADDRESS, status, scene.describe())
            message = f"Cannot listen on {self._describe_taken(endpoint)}"
            self.assertIn(f"Ended at the start: {message}.", scene.texts)
            errors = scene.program.errors.decode().splitlines()
            self.assertEqual([message], errors)

        with self.addresses.take(endpoint):
            self._run_scenario(scenario, _SHORT_GRACE_S)

    def test_a_callers_address_that_stays_taken_ends_the_start(self) -> None:
        self._check_address_error("callers")

    def test_a_readiness_address_that_stays_taken_ends_the_start(self) -> None:
        self._check_address_error("readiness")

    def test_a_peer_address_that_stays_taken_ends_the_start(self) -> None:
        self._check_address_error("peers")

    def test_an_address_of_another_host_ends_the_start_with_an_error(
        self,
    ) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            status = await scene.wait_exit()
            self.assertEqual(_EXIT_ADDRESS, status, scene.describe())
            self.assertIn(
                "192.0.2.1:7600 (setting listen.callers): "
                "Cannot assign requested address",
                scene.describe(),
            )

        listen = self.addresses.build_listen() | {"callers": "192.0.2.1:7600"}

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    listen=listen, grace_s=_SHORT_GRACE_S
                ) as scene:
                    await scenario(scene)

        trio.run(run)

    def test_signals_are_handled_while_an_address_is_taken(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_text("Cannot listen on")
            scene.send_signals(signal.SIGHUP)
            await scene.wait_text("Read the settings")
            scene.send_signals(signal.SIGTERM)
            self.assertEqual(0, await scene.wait_exit(), scene.describe())
            self.assertIn("Stopped before callers were served.", scene.texts)

        with self.addresses.take("readiness"):
            self._run_scenario(scenario)

    def test_a_taken_relay_address_delays_only_the_relay(self) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_until_serving()
            self.assertTrue(
                any(self._describe_taken("relay") in t for t in scene.texts)
            )
            holder.close()
            while not await _can_connect(self.addresses.find("relay")):
                await trio.sleep(_POLL_INTERVAL_S)
            announced = self.addresses.format("relay")
            while announced not in await self._read_announcements(scene):
                await trio.sleep(_POLL_INTERVAL_S)
            await self._check_serves(scene)

        holder = self._take("relay")
        self._run_scenario(scenario)

    async def _read_announcements(
        self, scene: process_scene.ProcessScene
    ) -> list[str]:
        newest = await scene.platform.log.read_newest(_MEMBERS_TOPIC)
        return [
            json.loads(record.value)["relay"] for record in newest.ok.records
        ]
