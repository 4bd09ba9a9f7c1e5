"""Bodies far over the limit are not kept while they are rejected."""

from __future__ import annotations

import contextlib

from tests import crowd_case, crowd_scene

_CLIENTS = 60
_SENT_BYTES = 4 * crowd_scene.BODY_BYTES
_CHUNK_BYTES = 65_536
_CHUNK = b"10000\r\n" + bytes(_CHUNK_BYTES) + b"\r\n"
_HEAD = b"POST /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"


class OversizedBodiesTest(crowd_case.CrowdCase):
    def _play_bodies(self, head: bytes, piece: bytes) -> None:
        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            async with contextlib.AsyncExitStack() as stack:

                async def send_all(scene: crowd_scene.CrowdScene) -> None:
                    stream = await scene.connect()
                    await stack.enter_async_context(stream)
                    await stream.send_all(head)
                    await crowd_case.send_bytes(stream, piece, _SENT_BYTES)

                await scene.play(_CLIENTS, send_all)
                await self.assert_healthy(scene)

        self.play(scenario)

    def test_that_are_announced(self) -> None:
        length = b"content-length: %d\r\n\r\n" % _SENT_BYTES
        self._play_bodies(_HEAD + length, bytes(_CHUNK_BYTES))

    def test_that_are_sent_in_chunks(self) -> None:
        chunked = b"transfer-encoding: chunked\r\n\r\n"
        self._play_bodies(_HEAD + chunked, _CHUNK)
