"""Calls to the platform move from unresponsive connections to new ones."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_core.platform import outcome
from martenquay_core.serving import ports
from martenquay_core.util import http
from martenquay_daemon.duties import lease
from martenquay_daemon.fleet import view
from martenquay_platform import cloud, log
from martenquay_platform_standins import store
from martenquay_standins import host, loopback
from martenquay_standins.chaos import proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_HANG_S = 20.0
_POLL_INTERVAL_S = 0.02
_LONG_POLL_S = 30.0


@dataclasses.dataclass
class _Scene:
    """A stand-in for the platform, a faulty proxy before it and clients.

    Attributes:
        platform: Serves the log and the cloud API.
        front: The proxy through which the clients connect.
        log: The client of the log.
        cloud: The client of the cloud API.
        nursery: Runs tasks until the end of the test.
    """

    platform: store.StoreStandIn
    front: proxy.FaultyProxy
    log: log.PlatformLog
    cloud: cloud.PlatformCloud
    nursery: trio.Nursery


@contextlib.asynccontextmanager
async def _open_scene() -> AsyncIterator[_Scene]:
    with trio.fail_after(_HANG_S):
        async with trio.open_nursery() as nursery:
            platform = store.StoreStandIn(lambda *_, **__: None)
            running = await host.start_stand_in(
                nursery, platform, loopback.create_address()
            )
            front = proxy.FaultyProxy(running.address)
            await nursery.start(front.run)
            async with http.open_client(resets=True) as client:
                log_client = log.create_log(client, front.address)
                cloud_client = cloud.create_cloud(client, front.address)
                yield _Scene(platform, front, log_client, cloud_client, nursery)
            nursery.cancel_scope.cancel()


class SilentStoreTest(testtools.TestCase):
    def _run_scenario(self, scenario) -> None:
        async def run() -> None:
            async with _open_scene() as scene:
                await scenario(scene)

        trio.run(run)

    async def _open_connections(self, scene: _Scene, count: int) -> None:
        """Open kept-alive connections by as many concurrent calls."""
        expected = scene.front.count_connections() + count
        scene.platform.faults.delay_s = 0.1
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(scene.log.read, "work", 0)
        scene.platform.faults.delay_s = 0.0
        self.assertEqual(expected, scene.front.count_connections())

    def test_a_read_is_retried_at_once_on_a_new_connection(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._open_connections(scene, 4)
            scene.front.silence_connections()
            page = await scene.log.read("work", 0)
            self.assertTrue(page.is_ok(), page)

        self._run_scenario(scenario)

    def test_the_call_after_an_unanswered_one_uses_a_new_connection(
        self,
    ) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._open_connections(scene, 4)
            scene.front.silence_connections()
            lost = await scene.log.append("work", [b"a"])
            self.assertTrue(lost.is_error())
            done = await scene.log.append("work", [b"b"])
            self.assertTrue(done.is_ok(), done)

        self._run_scenario(scenario)

    def test_an_unanswered_report_is_sent_again_on_a_new_connection(
        self,
    ) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._open_connections(scene, 4)
            scene.front.silence_connections()
            report = ports.UsageReport(1, {"florists": 2})
            lost = await scene.cloud.report_usage(report, "e", 1)
            self.assertIs(outcome.Effect.UNKNOWN, lost.error.effect)
            second = await scene.cloud.report_usage(report, "e", 1)
            self.assertEqual(200, second.ok)

        self._run_scenario(scenario)

    def test_a_silent_long_poll_moves_once_another_read_reaches_the_log(
        self,
    ) -> None:
        async def scenario(scene: _Scene) -> None:
            received = trio.Event()

            async def poll() -> None:
                page = await scene.log.read("work", 0, wait_s=_LONG_POLL_S)
                self.assertEqual((b"news",), page.ok.records)
                received.set()

            scene.nursery.start_soon(poll)
            while not scene.front.count_connections():
                await trio.sleep(_POLL_INTERVAL_S)
            await self._open_connections(scene, 2)
            scene.front.silence_connections()
            await scene.platform.log.append("work", [b"news"])
            await scene.log.read("other", 0)
            await received.wait()

        self._run_scenario(scenario)

    def test_an_append_whose_answer_is_lost_has_an_unknown_effect(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._open_connections(scene, 1)
            scene.front.set_faults(proxy.ProxyFaults(is_silent_from=True))
            lost = await scene.log.append("lease", [b"a"], expected_end=0)
            self.assertIs(outcome.Effect.UNKNOWN, lost.error.effect)
            scene.front.set_faults(proxy.ProxyFaults())
            page = await scene.log.read("lease", 0)
            self.assertEqual((b"a",), page.ok.records)

        self._run_scenario(scenario)

    def test_the_lease_is_kept_when_connections_go_silent(self) -> None:
        async def scenario(scene: _Scene) -> None:
            own_lease = lease.create_lease(
                scene.log, "lease", "e.aa", "e", 3.0, view.FleetView("e")
            )
            scene.nursery.start_soon(own_lease.run)
            while not own_lease.is_held():
                await trio.sleep(_POLL_INTERVAL_S)
            fence = own_lease.fence
            scene.front.silence_connections()
            before = await scene.platform.log.read("lease", 0)
            end = before.ok.end
            while end < before.ok.end + 2:
                await trio.sleep(_POLL_INTERVAL_S)
                self.assertEqual(fence, own_lease.fence)
                page = await scene.platform.log.read("lease", 0)
                end = page.ok.end

        self._run_scenario(scenario)
