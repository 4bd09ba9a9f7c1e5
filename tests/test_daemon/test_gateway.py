"""A daemon on a fake platform becomes ready, serves, gossips and drains."""

from __future__ import annotations

import math

import msgspec
import testtools
import trio

from martenquay_core.settings import gateway as settings_module
from martenquay_daemon.duties import lease_topic
from martenquay_daemon.engines import loads
from martenquay_standins.ports import runner as scripted
from tests import gateway_fleet
from tests import serving_builders as builders

_TIMEOUT_S = 60.0
_FAILING = scripted.Script(
    (b"HTTP/1.1 500 X\r\nserver-seal: s\r\ncontent-length: 0\r\n\r\n",)
)
_GOOD = scripted.Script(
    (b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 4\r\n\r\nfine",)
)


class GatewayTest(testtools.TestCase):
    def _run(self, scenario, count: int = 1) -> None:
        async def run() -> None:
            platform = gateway_fleet.Platform()
            runner = scripted.ScriptedRunner([_GOOD])
            with trio.fail_after(_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    await nursery.start(runner.run)
                    async with gateway_fleet.open_daemons(
                        platform, count
                    ) as daemons:
                        await scenario(platform, daemons, runner)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_a_daemon_is_ready_once_it_has_read_a_catalog(
        self,
    ) -> None:
        async def scenario(platform, daemons, runner) -> None:
            daemon = daemons[0]
            self.assertFalse(daemon.parts.is_ready())
            self.assertEqual(503, (await daemon.ask()).status)
            platform.put_catalog(3)
            platform.put_runner(runner.address)
            while not daemon.parts.is_ready():
                await trio.sleep(0.01)
            while (await daemon.ask()).status != 200:
                await trio.sleep(0.05)

        self._run(scenario)

    def test_a_request_waits_for_the_first_reads(
        self,
    ) -> None:
        async def run() -> None:
            platform = gateway_fleet.Platform()
            runner = scripted.ScriptedRunner([_GOOD])
            with trio.fail_after(_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    await nursery.start(runner.run)
                    platform.put_catalog(3)
                    platform.put_runner(runner.address)
                    platform.delay_first_reads(0.05)
                    daemon = gateway_fleet.Daemon("entry-0", platform)
                    daemon.address = await nursery.start(
                        daemon.parts.listener.run
                    )
                    nursery.start_soon(daemon.parts.run)
                    self.assertEqual(200, (await daemon.ask()).status)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_a_restarted_runner_loses_its_load_and_ejection(self) -> None:
        async def scenario(platform, daemons, runner) -> None:
            daemon = daemons[0]
            platform.put_catalog(3)
            platform.put_runner(runner.address, born_ms=1000)
            while (await daemon.ask()).status != 200:
                await trio.sleep(0.05)
            ledger = daemon.parts._loads
            ejector = daemon.parts._ejector
            ledger.replace_source("x", {"runner-1": loads.RunnerLoad(5, 0)})
            ejector.note_unreachable("runner-1")
            platform.put_runner(runner.address, born_ms=2000)
            while ledger.find("runner-1").requests:
                await trio.sleep(0.05)
            self.assertFalse(ejector.is_ejected("runner-1"))

        self._run(scenario)

    def test_a_failed_background_task_does_not_end_the_daemon(
        self,
    ) -> None:
        async def scenario(platform, daemons, runner) -> None:
            daemon = daemons[0]
            platform.put_catalog(3)
            platform.put_runner(runner.address)
            while (await daemon.ask()).status != 200:
                await trio.sleep(0.05)
            read = platform.log.read
            failed = trio.Event()

            async def fail_first_read(
                topic: str, start: int, *, wait_s: float = 0.0
            ):
                platform.log.read = read
                failed.set()
                raise ValueError("a record that nobody expected")

            platform.log.read = fail_first_read
            platform.put_catalog(4)
            await failed.wait()
            platform.put_catalog(5, routes=())
            while (await daemon.ask()).status != 404:
                await trio.sleep(0.05)

        self._run(scenario)

    def test_a_newer_catalog_changes_the_routes(self) -> None:
        async def scenario(platform, daemons, runner) -> None:
            daemon = daemons[0]
            platform.put_catalog(3)
            platform.put_runner(runner.address)
            while (await daemon.ask()).status != 200:
                await trio.sleep(0.05)
            platform.put_catalog(4, routes=())
            while (await daemon.ask()).status != 404:
                await trio.sleep(0.05)

        self._run(scenario)

    def test_one_of_the_daemons_performs_the_duties(
        self,
    ) -> None:
        async def scenario(platform, daemons, runner) -> None:
            del runner
            platform.put_catalog(3)
            while not platform.cloud.list_reports():
                await trio.sleep(0.05)
            holders = {call.holder for call in platform.cloud.received}
            self.assertEqual(1, len(holders))
            instances = {daemon.parts.instance for daemon in daemons}
            self.assertTrue(holders <= instances)

        self._run(scenario, 3)

    def test_a_stopping_daemon_hands_over_after_its_duties_calls(self) -> None:
        async def scenario(platform, daemons, runner) -> None:
            platform.cloud.answer_s = 0.5
            platform.put_catalog(3)
            while not platform.cloud.under_way:
                await trio.sleep(0.02)
            deadline = trio.current_time() + _TIMEOUT_S
            await daemons[0].parts.begin_stop(lambda: deadline)
            self.assertEqual(0, platform.cloud.under_way)
            last = msgspec.msgpack.decode(
                platform.log.list_payloads("lease")[-1],
                type=lease_topic.LeaseRecord,
            )
            self.assertIs(lease_topic.RecordKind.RELEASED, last.kind)

        self._run(scenario)

    def test_a_stopping_daemon_is_not_ready_and_still_answers(self) -> None:
        async def scenario(platform, daemons, runner) -> None:
            daemon = daemons[0]
            platform.put_catalog(3)
            platform.put_runner(runner.address)
            while (await daemon.ask()).status != 200:
                await trio.sleep(0.05)
            await daemon.parts.begin_stop(lambda: math.inf)
            self.assertFalse(daemon.parts.is_ready())
            reply = await daemon.ask()
            self.assertEqual(200, reply.status)
            self.assertEqual(b"close", reply.headers[b"connection"])

        self._run(scenario)

    async def _roll_out(
        self, platform, daemons, old, script: scripted.Script
    ) -> list[str]:
        """Roll out a version that answers by `script`; return the statuses."""
        async with trio.open_nursery() as nursery:
            new = scripted.ScriptedRunner([script])
            await nursery.start(new.run)
            platform.put_catalog(3)
            platform.put_runner(old.address, software="v1")
            while (await daemons[0].ask()).status != 200:
                await trio.sleep(0.05)
            platform.put_order("desk", "v2", 4.0)
            platform.put_runner(new.address, id="runner-2", software="v2")
            with trio.move_on_after(6.0):
                while len(platform.list_status()) < 2:
                    await daemons[0].ask()
                    await trio.sleep(0.01)
            self.canary_requests = len(new.requests)
            nursery.cancel_scope.cancel()
        return platform.list_status()

    def test_a_good_version_is_rolled_out(self) -> None:
        async def scenario(platform, daemons, runner) -> None:
            statuses = await self._roll_out(platform, daemons, runner, _GOOD)
            self.assertEqual(["v2 in_progress", "v2 completed"], statuses)

        self._run(scenario)

    def test_a_bad_version_is_rolled_back(self) -> None:
        async def scenario(platform, daemons, runner) -> None:
            statuses = await self._roll_out(platform, daemons, runner, _FAILING)
            self.assertEqual(["v2 in_progress", "v2 rolled_back"], statuses)
            self.assertLess(self.canary_requests, 50)
            reply = await daemons[0].ask()
            self.assertEqual(200, reply.status)

        self._run(scenario)

    def test_changed_bounds_apply_at_once(self) -> None:
        async def scenario(platform, daemons, runner) -> None:
            del platform, runner
            content = builders.build_gateway_settings()
            content["bounds"]["retry_slack"] = 7.0
            changed = msgspec.convert(content, settings_module.GatewaySettings)
            daemons[0].parts.apply_settings(changed)
            bounds = daemons[0].parts.find_retry_bounds()
            self.assertEqual(7.0, bounds.slack)

        self._run(scenario)
