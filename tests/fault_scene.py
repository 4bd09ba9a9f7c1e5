"""Run a daemon with a request in progress while a part of it fails."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import eliot
import testtools
import trio
import zmq

from martenquay_core.peers import sockets
from martenquay_standins.ports import runner as scripted
from tests import gateway_fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from tests import serving_scene

__all__ = ["FaultScene", "FaultTestCase"]

_TIMEOUT_S = 10.0
_POLL_S = 0.01
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nserver-seal: s\r\n"
    b"content-type: text/event-stream\r\ncontent-length: 14\r\n\r\n",
    b"id: 1\n\n",
    b"id: 2\n\n",
)


class FaultScene:
    """One daemon, its runner and a peer that sends it messages.

    Attributes:
        catalog: Fields of the catalog that differ from the builder's.
        platform: Fakes of the platform.
        daemon: The daemon.
        lines: Its log lines.
        peer: Sends messages as another daemon does.
        resume: Lets the request in progress end.
        runner: The runner of all requests.
    """

    def __init__(self, catalog: dict[str, object]) -> None:
        self.catalog = catalog
        self.platform = gateway_fleet.Platform()
        self.daemon: gateway_fleet.Daemon
        self.lines: list[dict[str, object]] = []
        self.peer: sockets.PeerSocket
        self.resume = trio.Event()
        self.runner = scripted.ScriptedRunner([scripted.Script(_ANSWER)])
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()

    async def send(self, *messages: bytes) -> None:
        """Send messages to the daemon, at least one by one."""
        for raw in messages:
            while not self.peer.send([raw]):
                await trio.sleep(_POLL_S)

    async def wait_line(self, text: str) -> dict[str, object]:
        """Return the first log line with this text, once there is one."""
        while True:
            for line in self.lines:
                if text in str(line.get("text")):
                    return line
            await trio.sleep(_POLL_S)

    async def wait_until_serving(self) -> None:
        """Wait until a request is served."""
        while (await self.daemon.ask()).status != 200:
            await trio.sleep(_POLL_S)

    async def hold_request(self, replies: list[serving_scene.Reply]) -> None:
        """Send a request whose answer ends once `resume` is set."""
        script = scripted.Script(_ANSWER, resume=self.resume)
        self.runner.replace_scripts([script])
        replies.append(await self.daemon.ask())

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Run the daemon, the runner and the peer."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.runner.run)
            self.platform.put_catalog(1, **self.catalog)
            self.platform.put_runner(self.runner.address, zone="a", born_ms=1)
            async with gateway_fleet.open_daemons(self.platform, 1) as (
                self.daemon,
            ):
                self.peer = sockets.connect_dealer(
                    self._context, self.daemon.parts.links.address
                )
                try:
                    await self.wait_until_serving()
                    yield
                finally:
                    self.peer.close()
                    self._context.destroy(linger=0)
            nursery.cancel_scope.cancel()


class FaultTestCase(testtools.TestCase):
    """Base of tests that let a part fail beside a request."""

    def run_beside_request(
        self,
        fail: Callable[[FaultScene], Awaitable[None]],
        **catalog: object,
    ) -> FaultScene:
        """Let a part fail; a request in progress and a next one are served."""
        scene = FaultScene(catalog)
        eliot.add_destinations(scene.lines.append)
        self.addCleanup(eliot.remove_destination, scene.lines.append)
        replies: list[serving_scene.Reply] = []

        async def run() -> None:
            with trio.fail_after(_TIMEOUT_S):
                async with scene.open(), trio.open_nursery() as nursery:
                    scene.runner.heard = trio.Event()
                    nursery.start_soon(scene.hold_request, replies)
                    await scene.runner.heard.wait()
                    await fail(scene)
                    scene.resume.set()
                    await trio.sleep(_POLL_S)
                    replies.append(await scene.daemon.ask())

        trio.run(run)
        self.assertEqual([200, 200], [reply.status for reply in replies])
        self.assertTrue(all(reply.is_whole for reply in replies))
        return scene
