"""Bodies in chunks of one byte hold up neither themselves nor others."""

from __future__ import annotations

import trio

from tests import crowd_case, crowd_scene, plain_runner

_CLIENTS = 300
_HEAD = (
    b"POST /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"
    b"attempt-id: chunks\r\ndeadline-ms: 30000\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
_CHUNKS = b"1\r\nx\r\n" * 8192
_BODY_BYTES = crowd_scene.BODY_BYTES


class SmallChunksTest(crowd_case.CrowdCase):
    def test_one_body_within_the_limits_is_served(self) -> None:
        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            chunks = _CHUNKS * (_BODY_BYTES // 8192)
            reply = await scene.ask(_HEAD + chunks + b"0\r\n\r\n")
            self.assertEqual(
                (200, plain_runner.ANSWER), (reply.status, reply.body)
            )
            self.assertEqual([_BODY_BYTES], scene.process.runner.requests)
            await self.assert_healthy(scene)

        self.play(scenario)

    def test_an_ordinary_request_is_served_among_many(self) -> None:
        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            sending = 0
            all_send = trio.Event()

            async def send_for_ever(scene: crowd_scene.CrowdScene) -> None:
                nonlocal sending
                async with await scene.connect() as stream:
                    await stream.send_all(_HEAD + _CHUNKS)
                    sending += 1
                    if sending == _CLIENTS:
                        all_send.set()
                    while True:
                        await stream.send_all(_CHUNKS)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(scene.play, _CLIENTS, send_for_ever)
                await all_send.wait()
                await self.assert_healthy(scene)
                nursery.cancel_scope.cancel()

        self.play(scenario)
