"""Which connections of callers are closed when there are too many."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_core.settings import gateway
from martenquay_daemon.forwarding import connection_limit
from tests import forwarder_case as case
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_HANG_S = 20.0
_MOST = 8
_CALL = (
    b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"
    b"attempt-id: call-1\r\n\r\n"
)


@dataclasses.dataclass
class _Connection:
    name: str
    waits_since: float | None
    is_resting: bool = False


class ConnectionLimitTest(testtools.TestCase):
    def test_unfinished_requests_are_closed_before_rests(self) -> None:
        connections = [
            _Connection("rests for long", 1.0, is_resting=True),
            _Connection("rests", 5.0, is_resting=True),
            _Connection("answered", None),
            _Connection("new", 9.0),
            _Connection("silent for long", 2.0),
        ]
        chosen = connection_limit.choose_connections(connections, 4)
        self.assertEqual(
            ["silent for long", "new", "rests for long", "rests"],
            [one.name for one in chosen],
        )

    def test_descriptors_are_left_for_runners_and_the_rest(self) -> None:
        resources = gateway.ResourceSettings(memory_mb=300, descriptors=128)
        callers = connection_limit.find_max_connections(resources)
        tunnels = connection_limit.find_max_tunnels(resources)
        self.assertEqual((32, 16), (callers, tunnels))

    def test_little_memory_allows_fewer_connections(self) -> None:
        few, many = (
            connection_limit.find_max_connections(
                gateway.ResourceSettings(memory_mb=memory_mb, descriptors=8192)
            )
            for memory_mb in (200, 552)
        )
        self.assertLess(few, many)
        self.assertGreater(few, 1000)


class FullListenerTest(testtools.TestCase):
    def _run(
        self, scenario: Callable[[serving_scene.Scene], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            content = builders.build_catalog()
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(
                    content, [case.GOOD]
                ) as scene:
                    scene.listener.max_connections = _MOST
                    await scenario(scene)

        trio.run(run)

    async def _open(
        self, scene: serving_scene.Scene, raw: bytes
    ) -> list[trio.SocketStream]:
        """Open as many connections as there may be; send bytes on each."""
        callers = []
        for _ in range(_MOST):
            caller = await scene.open_caller()
            await caller.send_all(raw)
            callers.append(caller)
        while scene.listener.count_connections() < _MOST:
            await trio.sleep(0.01)
        return callers

    def test_a_silent_connection_makes_room(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            first, *_ = await self._open(scene, b"")
            reply = await scene.ask(_CALL)
            self.assertEqual(200, reply.status)
            self.assertEqual(b"", await first.receive_some(10))

        self._run(scenario)

    def test_half_a_request_is_refused_as_not_run(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            first, *_ = await self._open(scene, _CALL[:-2])
            while scene.listener.count_requests() < _MOST:
                await trio.sleep(0.01)
            reply = await scene.ask(_CALL)
            self.assertEqual(200, reply.status)
            refused = await serving_scene.read_reply(first)
            self.assertEqual(503, refused.status)
            self.assertIn(b"retry-after", refused.headers)

        self._run(scenario)
