"""Bodies that many callers of a standalone daemon leave unfinished fit."""

from __future__ import annotations

import contextlib
import pathlib

import testtools
import trio

from martenquay_standins import partners, running, world
from tests import crowd_scene, serving_scene

_CLIENTS = 60
_BODY_BYTES = 4_194_304
_PIECE_BYTES = 65_536
_HANG_S = 120.0
_LIMITS = {"body_bytes": _BODY_BYTES, "body_timeout_s": 100.0}
_TEAM = f"{partners.SERRANA.name}-counter".encode()
_HEAD = (
    b"POST /services/status/x HTTP/1.1\r\nhost: a\r\n"
    b"authorization: Bearer %b\r\ncontent-length: %d\r\n\r\n"
)


class StandaloneTest(testtools.TestCase):
    def test_unfinished_bodies_fit_in_memory(self) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    test_world = world.World(nursery)
                    try:
                        await self._play(test_world)
                    finally:
                        test_world.end_processes()
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def _play(self, test_world: world.World) -> None:
        await test_world.start_platform()
        test_world.put_standard_config()
        zone = partners.SERRANA.zones[0]
        await test_world.add_service(partners.SERRANA, zone, "service-1")
        daemon = await test_world.start_process(
            partners.SERRANA, zone, "entry-1", limits=_LIMITS
        )
        await self._ask_until_served(daemon)
        async with contextlib.AsyncExitStack() as stack:

            async def send_most() -> None:
                stream = await stack.enter_async_context(await _open(daemon))
                # The daemon may refuse clients and close their connections.
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(_HEAD % (_TEAM, _BODY_BYTES))
                    for _ in range(_BODY_BYTES // _PIECE_BYTES - 1):
                        await stream.send_all(bytes(_PIECE_BYTES))

            async with trio.open_nursery() as crowd:
                for _ in range(_CLIENTS):
                    crowd.start_soon(send_most)
            self.assertIsNone(daemon.process.poll())
            reply = await _ask(daemon)
            self.assertEqual(200, reply.status, reply)
            self.assertLess(_read_peak_bytes(daemon), crowd_scene.MEMORY_BYTES)

    async def _ask_until_served(self, daemon: running.DaemonProcess) -> None:
        """Wait until the daemon knows its configuration and runner."""
        while (await _ask(daemon)).status != 200:
            await trio.sleep(0.1)


async def _open(daemon: running.DaemonProcess) -> trio.SocketStream:
    host, _, port = daemon.addresses.callers.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def _ask(daemon: running.DaemonProcess) -> serving_scene.Reply:
    async with await _open(daemon) as stream:
        await stream.send_all(_HEAD % (_TEAM, 5) + b"hello")
        return await serving_scene.read_reply(stream)


def _read_peak_bytes(daemon: running.DaemonProcess) -> int:
    status = pathlib.Path(f"/proc/{daemon.process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0]) * 1024
