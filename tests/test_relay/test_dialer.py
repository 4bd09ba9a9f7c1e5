"""A runner is reached over the path that works; no relay blames a runner."""

from __future__ import annotations

import gc
import socket

import testtools
import trio

from martenquay_daemon.forwarding import runner_connection as connections
from martenquay_daemon.quarantine import evidence
from martenquay_standins import loopback
from martenquay_standins.ports import runner as scripted
from martenquay_standins.ports.runner import Script
from tests import relay_builders, runner_cut

_HANG_S = 20.0
_TIMEOUT_S = 0.1
_SELF = "dialer"


class RunnerDialerTest(testtools.TestCase):
    def _run(
        self, scenario, *, relays: int = 1, is_silent: bool = False
    ) -> None:
        """Run a scenario in a process that is cut off from the runner.

        The relays are not cut off.
        """

        async def run() -> None:
            runner = scripted.ScriptedRunner([Script(is_held=True)])
            cut = runner_cut.RunnerCut(is_silent=is_silent)
            with trio.fail_after(_HANG_S), cut.apply():
                async with trio.open_nursery() as nursery:
                    await nursery.start(runner.run)
                    cut.add_runner(runner.address)
                    async with relay_builders.open_relay_scene(relays) as scene:
                        with runner_cut.run_as(_SELF):
                            await scenario(scene, runner, cut)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def _find_relay(self, scene, runner) -> str:
        async with connections.connect_runner(
            runner.address, _TIMEOUT_S, opener=scene.dialer.open_stream
        ) as connection:
            return connection.relay

    def test_a_path_that_works_is_direct(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            del cut
            self.assertEqual("", await self._find_relay(scene, runner))
            self.assertEqual([], scene.outcomes)

        self._run(scenario)

    def test_a_refusing_path_is_replaced_by_a_relay(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            cut.instances = {_SELF}
            relay = await self._find_relay(scene, runner)
            self.assertIn(relay, scene.addresses)
            self.assertTrue(scene.paths.is_lost(runner.address))

        self._run(scenario)

    def test_a_silent_path_is_replaced_before_its_timeout(self) -> None:
        # With all tests loaded, a full collection takes most of the timeout.
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

        async def scenario(scene, runner, cut) -> None:
            cut.instances = {_SELF}
            started_at = trio.current_time()
            self.assertTrue(await self._find_relay(scene, runner))
            self.assertLess(trio.current_time() - started_at, _TIMEOUT_S)

        self._run(scenario, is_silent=True)

    def test_a_path_that_is_known_to_be_lost_is_not_tried_again(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            cut.instances = {_SELF}
            await self._find_relay(scene, runner)
            attempts = cut.attempts
            await self._find_relay(scene, runner)
            self.assertEqual(attempts, cut.attempts)

        self._run(scenario)

    def test_a_path_that_is_back_is_used_after_a_probe(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            cut.instances = {_SELF}
            await self._find_relay(scene, runner)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scene.paths.run)
                cut.instances = set()
                while scene.paths.is_lost(runner.address):
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
            self.assertEqual("", await self._find_relay(scene, runner))

        self._run(scenario)

    def test_a_relay_that_lost_the_path_too_is_passed_over(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            cut.instances = {_SELF}
            for relay_paths in scene.relay_paths[:2]:
                relay_paths.note_lost(runner.address)
            relay = await self._find_relay(scene, runner)
            self.assertEqual(scene.addresses[2], relay)

        self._run(scenario, relays=3)

    def test_a_daemon_without_relays_reports_the_failure(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            cut.instances = {_SELF}
            with self.assertRaises(connections.NotConnectedError):
                await self._find_relay(scene, runner)

        self._run(scenario, relays=0)

    def test_a_lost_path_is_no_evidence_of_a_crash(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            cut.instances = {_SELF}
            opener = scene.dialer.open_stream
            self.assertFalse(await evidence.has_ended(runner.address, opener))
            scene.relay_paths[0].note_lost(runner.address)
            self.assertFalse(await evidence.has_ended(runner.address, opener))

        self._run(scenario)

    def test_a_runner_that_refuses_all_daemons_has_ended(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            del cut
            runner.stop_listening()
            await trio.sleep(0.05)
            opener = scene.dialer.open_stream
            self.assertTrue(await evidence.has_ended(runner.address, opener))
            self.assertFalse(scene.paths.is_lost(runner.address))

        self._run(scenario)

    def test_a_relay_that_is_gone_does_not_hide_a_crash(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            del cut
            scene.peers.add("entry-gone", "127.0.0.1:1", 0.0)
            runner.stop_listening()
            await trio.sleep(0.05)
            opener = scene.dialer.open_stream
            self.assertTrue(await evidence.has_ended(runner.address, opener))

        self._run(scenario)

    def test_after_two_lost_paths_all_begin_with_relays(self) -> None:
        async def scenario(scene, runner, cut) -> None:
            cut.instances = {_SELF}
            for address in ("127.0.0.1:1", "127.0.0.1:2"):
                self.assertFalse(scene.paths.is_cut_off)
                scene.paths.note_lost(address)
            await self._find_relay(scene, runner)
            self.assertEqual(0, cut.attempts)
            scene.paths.note_direct(runner.address)
            self.assertFalse(scene.paths.is_cut_off)

        self._run(scenario)

    def test_a_relay_that_never_responds_is_passed_over_and_avoided(
        self,
    ) -> None:
        async def scenario(scene, runner, cut) -> None:
            cut.instances = {_SELF}
            with socket.socket() as suspended:
                suspended.bind((loopback.HOST, 0))
                suspended.listen()
                port = suspended.getsockname()[1]
                silent = loopback.create_address(port)
                scene.peers.add("entry-silent", silent, 1e6)
                self.assertEqual(silent, scene.peers.choose(1)[0])
                relay = await self._find_relay(scene, runner)
                self.assertEqual(scene.addresses[0], relay)
                self.assertNotEqual(silent, scene.peers.choose(1)[0])

        self._run(scenario)
