"""Bodies that many callers leave unfinished fit in the process's memory."""

from __future__ import annotations

import contextlib

from tests import crowd_case, crowd_scene

_CLIENTS = 60
_CHUNK_BYTES = 65_536
_CHUNK = b"10000\r\n" + bytes(_CHUNK_BYTES) + b"\r\n"
_HEAD = b"POST /%b/7 HTTP/1.1\r\nhost: desk.example\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_SIZED = b"content-length: %d\r\n\r\n" % crowd_scene.BODY_BYTES


class UnfinishedBodiesTest(crowd_case.CrowdCase):
    def _play_bodies(self, head: bytes, piece: bytes) -> None:
        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            async with contextlib.AsyncExitStack() as stack:

                async def send_most(scene: crowd_scene.CrowdScene) -> None:
                    stream = await scene.connect()
                    await stack.enter_async_context(stream)
                    await stream.send_all(head)
                    await crowd_case.send_bytes(
                        stream, piece, crowd_scene.BODY_BYTES - _CHUNK_BYTES
                    )

                await scene.play(_CLIENTS, send_most)
                await self.assert_healthy(scene)

        self.play(scenario)

    def test_large_chunks(self) -> None:
        self._play_bodies(_HEAD % b"lookup" + _CHUNKED, _CHUNK)

    def test_a_length(self) -> None:
        self._play_bodies(_HEAD % b"lookup" + _SIZED, bytes(_CHUNK_BYTES))

    def test_at_a_path_that_no_route_has(self) -> None:
        self._play_bodies(_HEAD % b"nowhere" + _CHUNKED, _CHUNK)
