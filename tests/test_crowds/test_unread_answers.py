"""Answers that many callers do not read fit in the process's memory."""

from __future__ import annotations

import contextlib
import socket

import trio

from tests import crowd_case, crowd_scene, plain_runner

_CLIENTS = 60
_ANSWER = bytes(4_000_000)
# Of a caller that reads nothing more.
_RECEIVE_BUFFER_BYTES = 8192
_REQUEST = (
    b"GET /lookup/long HTTP/1.1\r\nhost: desk.example\r\n"
    b"attempt-id: long-%d\r\n\r\n"
)


class UnreadAnswersTest(crowd_case.CrowdCase):
    def test_large_answers(self) -> None:
        async def scenario(scene: crowd_scene.CrowdScene) -> None:
            async with contextlib.AsyncExitStack() as stack:
                numbers = iter(range(_CLIENTS))

                async def ask(scene: crowd_scene.CrowdScene) -> None:
                    sock = trio.socket.socket()
                    stream = await stack.enter_async_context(
                        trio.SocketStream(sock)
                    )
                    sock.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_RCVBUF,
                        _RECEIVE_BUFFER_BYTES,
                    )
                    await sock.connect(scene.addresses.find("callers"))
                    await stream.send_all(_REQUEST % next(numbers))
                    await stream.receive_some(1)

                await scene.play(_CLIENTS, ask)
                await self.assert_healthy(scene)

        self.play(scenario, runner=plain_runner.PlainRunner(_ANSWER))
