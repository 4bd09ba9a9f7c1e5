"""Requests that are sent ahead take no more memory than one caller may."""

from __future__ import annotations

import contextlib

import trio

from tests import crowd_case, crowd_scene

_CLIENTS = 40
_SENT_BYTES = 16_000_000
# A client that is not read any more stops sending after this time.
_SEND_S = 15.0
_UNKNOWN = b"GET /nowhere/%d HTTP/1.1\r\nhost: desk.example\r\n\r\n"


class RequestsAheadTest(crowd_case.CrowdCase):
    def _play_ahead(self, *, reads: bool) -> None:
        piece = b"".join(_UNKNOWN % number for number in range(500))

        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            async with contextlib.AsyncExitStack() as stack:

                async def send_ahead(scene: crowd_scene.CrowdScene) -> None:
                    stream = await scene.connect()
                    await stack.enter_async_context(stream)
                    with trio.move_on_after(_SEND_S):
                        async with trio.open_nursery() as nursery:
                            if reads:
                                nursery.start_soon(_read_all, stream)
                            # The daemon may close the connection.
                            with contextlib.suppress(trio.BrokenResourceError):
                                await crowd_case.send_bytes(
                                    stream, piece, _SENT_BYTES
                                )
                            nursery.cancel_scope.cancel()

                await scene.play(_CLIENTS, send_ahead)
                await self.assert_healthy(scene)

        self.play(scenario)

    def test_answers_that_are_not_read(self) -> None:
        self._play_ahead(reads=False)

    def test_answers_that_are_read(self) -> None:
        self._play_ahead(reads=True)


async def _read_all(stream: trio.SocketStream) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        while await stream.receive_some(65_536):
            pass
