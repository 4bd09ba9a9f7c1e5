"""Connections that send nothing leave descriptors for everything else."""

from __future__ import annotations

import contextlib

from tests import crowd_case, crowd_scene

_CLIENTS = 200


class SilentConnectionsTest(crowd_case.CrowdCase):
    def _play_silence(self, endpoint: str, first: bytes = b"") -> None:
        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            async with contextlib.AsyncExitStack() as stack:

                async def open_silently(scene: crowd_scene.CrowdScene) -> None:
                    stream = await scene.connect(endpoint)
                    await stack.enter_async_context(stream)
                    await stream.send_all(first)

                await scene.play(_CLIENTS, open_silently)
                await self.assert_healthy(scene)
                self.assertLess(
                    scene.count_descriptors(), crowd_scene.DESCRIPTORS
                )

        self.play(scenario, descriptors=crowd_scene.DESCRIPTORS)

    def test_of_callers(self) -> None:
        self._play_silence("callers")

    def test_of_callers_with_half_a_head(self) -> None:
        self._play_silence("callers", b"POST /lookup/7 HTTP/1.1\r\n")

    def test_at_the_readiness_port(self) -> None:
        self._play_silence("readiness")

    def test_at_the_relay_port(self) -> None:
        self._play_silence("relay")

    def test_at_the_port_of_links(self) -> None:
        self._play_silence("peers")
