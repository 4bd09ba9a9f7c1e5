"""Connections to the platform that go silent are left for new ones."""

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
from martenquay_standins import host
from martenquay_standins.chaos import proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_HANG_S = 20.0
_PAUSE_S = 0.02
_LONG_POLL_S = 30.0


@dataclasses.dataclass
class _Scene:
    """A store, the way there and a client.

    Attributes:
        stand_in: The store.
        front: Stands before it.
        log: The client of its log.
        cloud: The client of its cloud API.
        nursery: Runs tasks to the end of the test.
    """

    stand_in: store.StoreStandIn
    front: proxy.FaultyProxy
    log: log.PlatformLog
    cloud: cloud.PlatformCloud
    nursery: trio.Nursery


@contextlib.asynccontextmanager
async def _open_scene() -> AsyncIterator[_Scene]:
    with trio.fail_after(_HANG_S):
        async with trio.open_nursery() as nursery:
            stand_in = store.StoreStandIn(lambda *_, **__: None)
            running = await host.start_stand_in(
                nursery, stand_in, "127.0.0.1:0"
            )
            front = proxy.FaultyProxy(running.address)
            await nursery.start(front.run)
            async with http.open_client(resets=True) as client:
                platform = log.create_log(client, front.address)
                duties = cloud.create_cloud(client, front.address)
                yield _Scene(stand_in, front, platform, duties, nursery)
            nursery.cancel_scope.cancel()


class SilentStoreTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        async def run() -> None:
            async with _open_scene() as scene:
                await scenario(scene)

        trio.run(run)

    async def _open_connections(self, scene: _Scene, count: int) -> None:
        """Have connections kept, by as many calls at a time."""
        wanted = scene.front.count_connections() + count
        scene.stand_in.faults.delay_s = 0.1
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(scene.log.read, "work", 0)
        scene.stand_in.faults.delay_s = 0.0
        self.assertEqual(wanted, scene.front.count_connections())

    def test_a_read_is_repeated_at_once_on_a_new_connection(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._open_connections(scene, 4)
            scene.front.silence_connections()
            page = await scene.log.read("work", 0)
            self.assertTrue(page.is_ok(), page)

        self._run(scenario)

    def test_after_a_silent_call_the_next_one_has_a_new_connection(
        self,
    ) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._open_connections(scene, 4)
            scene.front.silence_connections()
            lost = await scene.log.append("work", [b"a"])
            self.assertTrue(lost.is_error())
            done = await scene.log.append("work", [b"b"])
            self.assertTrue(done.is_ok(), done)

        self._run(scenario)

    def test_a_report_that_was_lost_goes_out_again_on_a_new_connection(
        self,
    ) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._open_connections(scene, 4)
            scene.front.silence_connections()
            report = ports.UsageReport(1, {"florists": 2})
            lost = await scene.cloud.report_usage(report, "e", 1)
            self.assertIs(outcome.Effect.UNKNOWN, lost.error.effect)
            again = await scene.cloud.report_usage(report, "e", 1)
            self.assertEqual(200, again.ok)

        self._run(scenario)

    def test_a_silent_long_poll_is_left_when_others_prove_the_store_well(
        self,
    ) -> None:
        async def scenario(scene: _Scene) -> None:
            heard = trio.Event()

            async def poll() -> None:
                page = await scene.log.read("work", 0, wait_s=_LONG_POLL_S)
                self.assertEqual((b"news",), page.ok.records)
                heard.set()

            scene.nursery.start_soon(poll)
            while not scene.front.count_connections():
                await trio.sleep(_PAUSE_S)
            await self._open_connections(scene, 2)
            scene.front.silence_connections()
            await scene.stand_in.log.append("work", [b"news"])
            await scene.log.read("other", 0)
            await heard.wait()

        self._run(scenario)

    def test_an_append_whose_answer_is_lost_may_have_been_done(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._open_connections(scene, 1)
            scene.front.set_faults(proxy.ProxyFaults(is_silent_from=True))
            lost = await scene.log.append("lease", [b"a"], expected_end=0)
            self.assertIs(outcome.Effect.UNKNOWN, lost.error.effect)
            scene.front.set_faults(proxy.ProxyFaults())
            page = await scene.log.read("lease", 0)
            self.assertEqual((b"a",), page.ok.records)

        self._run(scenario)

    def test_the_lease_outlives_silent_connections(self) -> None:
        async def scenario(scene: _Scene) -> None:
            held = lease.create_lease(
                scene.log, "lease", "e.aa", "e", 3.0, view.FleetView("e")
            )
            scene.nursery.start_soon(held.run)
            while not held.is_held():
                await trio.sleep(_PAUSE_S)
            fence = held.fence
            scene.front.silence_connections()
            before = await scene.stand_in.log.read("lease", 0)
            end = before.ok.end
            while end < before.ok.end + 2:
                await trio.sleep(_PAUSE_S)
                self.assertEqual(fence, held.fence)
                page = await scene.stand_in.log.read("lease", 0)
                end = page.ok.end

        self._run(scenario)
