"""Test case: callers disconnect, each scenario by close and by reset."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import testtools
import trio
import trio.testing

from martenquay_core.serving import catalog
from martenquay_standins.ports import runner as scripted
from tests import leaving, serving_scene
from tests import serving_builders as builders

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_standins.ports.runner import Script

__all__ = [
    "CALL",
    "CALL_HEADERS",
    "GOOD",
    "LONG_S",
    "POST",
    "SILENT",
    "STREAM_HEAD",
    "DisconnectTestCase",
    "World",
    "build_event",
    "read_until",
]

_HANG_S = 30.0
# Longer than the test, so that only the disconnect can end the work.
LONG_S = 600.0
CALL_HEADERS = (
    b"host: desk.example\r\nattempt-id: call-1\r\ndeadline-ms: 600000\r\n"
)
CALL = b"GET /lookup/7 HTTP/1.1\r\n" + CALL_HEADERS + b"\r\n"
POST = (
    b"POST /lookup/7 HTTP/1.1\r\n"
    + CALL_HEADERS
    + b"content-length: %d\r\n\r\n"
)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nattempt-id: call-1\r\nserver-seal: s1\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
SILENT = scripted.Script(is_held=True)
GOOD = scripted.Script(
    (b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 4\r\n\r\nfine",)
)


def build_event(number: int, filling: bytes = b"") -> bytes:
    """Return an event of a stream as an HTTP chunk."""
    raw = b"id: %d\ndata: token %d%s\n\n" % (number, number, filling)
    return b"%x\r\n%s\r\n" % (len(raw), raw)


async def read_until(caller: trio.SocketStream, wanted: bytes) -> None:
    """Read an answer until it contains the bytes."""
    whole = b""
    while wanted not in whole:
        data = await caller.receive_some(65_536)
        if not data:
            raise AssertionError(f"closed after {whole!r}")
        whole += data


@dataclasses.dataclass
class World:
    """The environment of one scenario.

    Attributes:
        scene: The daemon and its runners.
        log: The daemon's log lines of callers that left.
        connects: Its connections to runners.
        is_reset: Whether callers reset the connection instead of closing it.
        nursery: Runs the runners that are added later.
    """

    scene: serving_scene.Scene
    log: leaving.DepartureLog
    connects: leaving.ConnectWatch
    is_reset: bool
    nursery: trio.Nursery

    async def call(self, raw: bytes = CALL) -> trio.SocketStream:
        """Open a connection and send a request."""
        caller = await self.scene.open_caller()
        await caller.send_all(raw)
        return caller

    async def add_runner(self, script: Script) -> scripted.ScriptedRunner:
        """Start one more runner and add it to the directory."""
        runner = scripted.ScriptedRunner([script])
        await self.nursery.start(runner.run)
        self.scene.add_runner(runner.address)
        return runner

    async def leave(
        self, caller: trio.SocketStream, told: trio.Event | None = None
    ) -> None:
        """Disconnect; expect runner and log to notice within half a second."""
        leaving.disconnect_caller(caller, is_reset=self.is_reset)
        with trio.fail_after(leaving.CANCEL_LIMIT_S):
            if told is not None:
                await told.wait()
            await self.log.written.wait()
        await trio.testing.wait_all_tasks_blocked()


class DisconnectTestCase(testtools.TestCase):
    """Plays each scenario with a close and with a reset."""

    def play(
        self,
        scenario: Callable[[World], Awaitable[None]],
        *scripts: Script,
        kind: catalog.CallKind = catalog.CallKind.IDEMPOTENT,
    ) -> None:
        for is_reset in (False, True):
            trio.run(self._run, scenario, scripts, kind, is_reset)

    async def _run(
        self,
        scenario: Callable[[World], Awaitable[None]],
        scripts: tuple[Script, ...],
        kind: catalog.CallKind,
        is_reset: bool,
    ) -> None:
        route = builders.build_route(
            kind=kind, is_resumable=True, timeout_s=LONG_S
        )
        content = builders.build_catalog(routes=(route,))
        with contextlib.ExitStack() as stack:
            stack.enter_context(trio.fail_after(_HANG_S))
            log = stack.enter_context(leaving.open_departure_log())
            connects = stack.enter_context(leaving.open_connect_watch())
            async with (
                serving_scene.open_scene(
                    content, *[[script] for script in scripts]
                ) as scene,
                trio.open_nursery() as nursery,
            ):
                await scenario(World(scene, log, connects, is_reset, nursery))
                nursery.cancel_scope.cancel()

    def assert_told(self, world: World, stage: str, connects: int) -> None:
        """Check the one log line and the number of connections to runners."""
        self.assertEqual(1, len(world.log.lines), world.log.lines)
        line = world.log.lines[0]
        self.assertEqual(("call-1", stage), (line["request"], line["stage"]))
        self.assertGreaterEqual(line["elapsed_ms"], 0)
        self.assertEqual(connects, len(world.connects.addresses))
