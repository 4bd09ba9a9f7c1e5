"""A stream goes on only at the software version that began it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core.serving import catalog
from martenquay_daemon.allowances import terms
from martenquay_standins.ports import runner as scripted
from martenquay_standins.ports.runner import Script
from tests import forwarder_case as case
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


_NEW = case.CALL % (b"GET /lookup/7", 5000)
_RESUMING = (
    b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: call-2\r\n"
    b"deadline-ms: 5000\r\nlast-event-id: 1\r\nresumes: %s\r\n\r\n"
)


def _add_key(request: bytes) -> bytes:
    return request.replace(
        b"\r\n\r\n", b"\r\nauthorization: Token key-1\r\n\r\n"
    )


def _head(call: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nserver-seal: s1\r\n"
        b"transfer-encoding: chunked\r\n\r\n" % call
    )


def _chunk(number: int) -> bytes:
    event = b"id: %d\ndata: token %d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(event), event)


def _begin(call: bytes, resume: trio.Event | None = None) -> Script:
    """Return a stream that breaks off after its first event."""
    return Script((_head(call) + _chunk(1), b""), resume=resume)


def _finish(call: bytes) -> Script:
    """Return the rest of such a stream."""
    return Script((_head(call) + _chunk(2) + _chunk(3) + b"0\r\n\r\n",))


class StreamVersionTest(case.ForwarderTestCase):
    kind = catalog.CallKind.STREAM

    def _run_with_versions(
        self,
        scenario: Callable[
            [serving_scene.Scene, Callable[..., Awaitable]], Awaitable[None]
        ],
        teams: tuple[catalog.Team, ...] = (),
    ) -> None:
        """Run a scenario, which may add runners of given versions."""

        async def run() -> None:
            content = dataclasses.replace(
                self.build_content(is_resumable=True), teams=teams
            )
            async with (
                trio.open_nursery() as nursery,
                serving_scene.open_scene(content) as scene,
            ):

                async def add(
                    software: str, *scripts: Script
                ) -> scripted.ScriptedRunner:
                    runner = scripted.ScriptedRunner(list(scripts))
                    await nursery.start(runner.run)
                    scene.add_runner(runner.address, software=software)
                    return runner

                with trio.fail_after(10):
                    await scenario(scene, add)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def _ask_while_versions_join(
        self, *joining: str
    ) -> tuple[serving_scene.Reply, list[int]]:
        """Break a stream off at version v1 once other runners have joined.

        Returns:
            The reply and the number of requests of each other runner.
        """
        replies: list[serving_scene.Reply] = []
        counts: list[int] = []

        async def scenario(
            scene: serving_scene.Scene, add: Callable[..., Awaitable]
        ) -> None:
            broken = trio.Event()
            first = await add("v1", _begin(b"call-1", broken))

            async def ask() -> None:
                replies.append(await scene.ask(_NEW))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await first.heard.wait()
                others = [
                    await add(software, _finish(b"call-1"))
                    for software in joining
                ]
                broken.set()
            counts.extend(len(runner.requests) for runner in others)

        self._run_with_versions(scenario)
        return replies[0], counts

    def test_a_broken_stream_does_not_go_on_at_another_version(self) -> None:
        reply, counts = self._ask_while_versions_join("v1.1", "v1.2")
        self.assertEqual((200, False), (reply.status, reply.is_whole))
        self.assertNotIn(b"token 2\n", reply.body)
        self.assertEqual([0, 0], counts)

    def test_a_broken_stream_goes_on_at_its_version(self) -> None:
        reply, counts = self._ask_while_versions_join("v1.1", "v1", "v1.2")
        self.assertTrue(reply.is_whole)
        self.assertEqual([0, 1, 0], counts)

    def test_a_resumed_stream_goes_on_at_the_version_that_began_it(
        self,
    ) -> None:
        async def scenario(
            scene: serving_scene.Scene, add: Callable[..., Awaitable]
        ) -> None:
            older = await add("v1", _begin(b"call-1"), _finish(b"call-2"))
            broken = await scene.ask(_NEW)
            self.assertFalse(broken.is_whole)
            newer = await add("v1.1", _finish(b"call-2"))
            # The placer prefers the idle runner.
            with scene.ledger.count("runner-0", 0):
                reply = await scene.ask(_RESUMING % b"call-1")
            self.assertTrue(reply.is_whole)
            self.assertEqual([], newer.requests)
            self.assertIn(b"last-event-id: 1", older.requests[-1])

        self._run_with_versions(scenario)

    def test_a_stream_of_an_unknown_version_is_not_resumed(self) -> None:
        async def scenario(
            scene: serving_scene.Scene, add: Callable[..., Awaitable]
        ) -> None:
            runners = [
                await add(software, _finish(b"call-2"))
                for software in ("v1", "v1.1")
            ]
            reply = await scene.ask(_RESUMING % b"call-9")
            self.assertEqual(503, reply.status)
            self.assertEqual([[], []], [one.requests for one in runners])

        self._run_with_versions(scenario)

    def test_a_stream_whose_version_is_gone_is_not_resumed(self) -> None:
        async def scenario(
            scene: serving_scene.Scene, add: Callable[..., Awaitable]
        ) -> None:
            await add("v1", _begin(b"call-1"))
            await scene.ask(_NEW)
            scene.drop_entry(0)
            newer = await add("v1.1", _finish(b"call-2"))
            reply = await scene.ask(_RESUMING % b"call-1")
            self.assertEqual(503, reply.status)
            self.assertEqual([], newer.requests)

        self._run_with_versions(scenario)

    def test_a_resumed_stream_is_not_put_behind_others_in_the_quota(
        self,
    ) -> None:
        asked: list[terms.AdmissionRequest] = []

        async def scenario(
            scene: serving_scene.Scene, add: Callable[..., Awaitable]
        ) -> None:
            async def acquire(
                team: catalog.Team, request: terms.AdmissionRequest
            ) -> terms.AdmissionDecision:
                del team
                asked.append(request)
                return terms.AdmissionDecision(0.0)

            scene.parts.allowances.acquire = acquire
            await add("v1", _begin(b"call-1"), _finish(b"call-2"))
            await scene.ask(_add_key(_NEW))
            # The caller has used up the route's target.
            resuming = _RESUMING.replace(b"5000", b"2000") % b"call-1"
            await scene.ask(_add_key(resuming))

        self._run_with_versions(scenario, teams=(builders.build_team(),))
        new, resumed = asked
        self.assertFalse(new.is_resuming)
        self.assertEqual(
            (True, False, 0),
            (resumed.is_resuming, resumed.is_late, resumed.reserve),
        )
