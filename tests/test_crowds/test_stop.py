"""A stop refuses bodies that callers do not end, and ends itself."""

from __future__ import annotations

import contextlib
import signal

import trio

from tests import crowd_case, crowd_scene, serving_scene

_CLIENTS = 20
_HEAD = (
    b"POST /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"
    b"content-length: 100000\r\n\r\n"
)
_DRIP_S = 0.05


class StopTest(crowd_case.CrowdCase):
    def test_bodies_that_drip_are_refused_as_not_run(self) -> None:
        replies: list[serving_scene.Reply] = []

        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            begun = 0
            all_begun = trio.Event()

            async def drip(scene: crowd_scene.CrowdScene) -> None:
                nonlocal begun
                async with (
                    await scene.connect() as stream,
                    trio.open_nursery() as nursery,
                ):
                    await stream.send_all(_HEAD)
                    nursery.start_soon(_send_slowly, stream)
                    begun += 1
                    if begun == _CLIENTS:
                        all_begun.set()
                    replies.append(await serving_scene.read_reply(stream))
                    nursery.cancel_scope.cancel()

            await self.assert_healthy(scene)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scene.play, _CLIENTS, drip)
                await all_begun.wait()
                scene.process.send_signals(signal.SIGTERM)
                status = await scene.process.wait_exit()
            self.assertEqual(0, status, scene.process.describe())

        self.play(scenario)
        self.assertEqual(
            [(503, True)] * _CLIENTS,
            [(reply.status, reply.is_whole) for reply in replies],
        )
        for reply in replies:
            self.assertIn(b"retry-after", reply.headers)


async def _send_slowly(stream: trio.SocketStream) -> None:
    with contextlib.suppress(trio.BrokenResourceError):
        while True:
            await stream.send_all(b"x")
            await trio.sleep(_DRIP_S)
