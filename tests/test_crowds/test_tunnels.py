"""Tunnels that are opened and left idle leave descriptors for callers."""

from __future__ import annotations

import contextlib

from tests import crowd_case, crowd_scene

_CLIENTS = 200


class TunnelsTest(crowd_case.CrowdCase):
    def test_idle_tunnels_to_a_runner(self) -> None:
        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            runner = scene.process.runner.address.encode()
            connect = b"CONNECT %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (
                runner,
                runner,
            )
            async with contextlib.AsyncExitStack() as stack:

                async def open_tunnel(scene: crowd_scene.CrowdScene) -> None:
                    stream = await scene.connect("relay")
                    await stack.enter_async_context(stream)
                    await stream.send_all(connect)
                    await stream.receive_some(100)

                await scene.play(_CLIENTS, open_tunnel)
                await self.assert_healthy(scene)
                self.assertLess(
                    scene.count_descriptors(), crowd_scene.DESCRIPTORS
                )

        self.play(scenario, descriptors=crowd_scene.DESCRIPTORS)
