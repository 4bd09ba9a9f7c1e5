"""Run daemons that share a log and runners that one request crashes."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from martenquay_core.serving import catalog
from martenquay_standins.ports import log
from martenquay_standins.ports import runner as scripted
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["HARMLESS", "LETHAL", "CrashFleet", "build_request", "open_fleet"]

LETHAL = b"/lookup/lethal"
HARMLESS = b"/lookup/7"
_EVENT = b"id: 1\ndata: x\n\n"
_STREAM = scripted.Script(
    (
        b"HTTP/1.1 200 OK\r\nserver-seal: s1\r\n"
        b"transfer-encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(_EVENT), _EVENT),
    )
)


def build_request(path: bytes, number: int = 0, parts: bytes = b"") -> bytes:
    """Return a request; retries differ in their number.

    Args:
        path: Its path.
        number: Number of its attempt id.
        parts: Value of the header with the prompt's parts; empty for none.
    """
    prompt = b"prefix-hash: %s\r\n" % parts if parts else b""
    return (
        b"POST %s HTTP/1.1\r\nhost: desk.example\r\nattempt-id: call-%d\r\n"
        b"deadline-ms: 5000\r\n%scontent-length: 5\r\n\r\nhello"
        % (path, number, prompt)
    )


class CrashFleet:
    """Daemons that share nothing but a log and runners.

    Attributes:
        log: The platform's log.
        runners: All runners; those that end are not restarted.
        daemons: The started daemons.
    """

    def __init__(self, nursery: trio.Nursery, lethal: bytes) -> None:
        self._lethal = lethal
        self.log = log.MemoryLog()
        self.runners: list[scripted.ScriptedRunner] = []
        self.daemons: list[serving_scene.Scene] = []
        self._nursery = nursery

    def count_ended(self) -> int:
        """Return how many runners have ended."""
        return sum(runner.has_ended for runner in self.runners)

    async def add_runner(self) -> None:
        """Start a runner that daemons started later use."""
        runner = scripted.ScriptedRunner([_STREAM], self._lethal)
        await self._nursery.start(runner.run)
        self.runners.append(runner)

    async def start_daemon(self) -> serving_scene.Scene:
        """Start a daemon that reads crash records from the log."""
        route = builders.build_route(
            kind=catalog.CallKind.STREAM, is_resumable=True, max_attempts=2
        )
        content = builders.build_catalog(routes=(route,))
        scene = serving_scene.Scene(content, self.log)
        scene.runners = self.runners
        for runner in self.runners:
            scene.add_runner(runner.address)
        await self._nursery.start(scene.run)
        self.daemons.append(scene)
        return scene


@contextlib.asynccontextmanager
async def open_fleet(
    daemons: int, runners: int, lethal: bytes = LETHAL
) -> AsyncIterator[CrashFleet]:
    """Run a fleet of so many daemons and runners.

    Args:
        daemons: Number of daemons.
        runners: Number of runners.
        lethal: Bytes of requests that crash runners.
    """
    async with trio.open_nursery() as nursery:
        fleet = CrashFleet(nursery, lethal)
        for _ in range(runners):
            await fleet.add_runner()
        for _ in range(daemons):
            await fleet.start_daemon()
        yield fleet
        nursery.cancel_scope.cancel()
