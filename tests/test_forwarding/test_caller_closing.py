"""A connection that closes after an answer delivers it whole."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_standins.ports.runner import Script
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_HANG_S = 30.0
_CALL = b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n\r\n"
_UPLOAD = (
    b"POST /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"
    b"content-length: 900000\r\n\r\n"
)
_BODY = b"x" * 600_000
_LONG = Script(
    (
        b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: %d\r\n\r\n"
        % len(_BODY),
        _BODY,
    )
)
_GOOD = Script(
    (b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 4\r\n\r\nfine",)
)
# Keeps most of an answer in the daemon's send buffer.
_RECEIVE_BUFFER_BYTES = 8192
_READ_BYTES = 16_384
_READ_INTERVAL_S = 0.01
_POLL_S = 0.01


class CallerClosingTest(testtools.TestCase):
    def _run(
        self,
        script: Script,
        scenario: Callable[[serving_scene.Scene], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            content = builders.build_catalog()
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(content, [script]) as scene:
                    scene.listener.begin_closing()
                    await scenario(scene)

        trio.run(run)

    async def _open_slow_caller(
        self, scene: serving_scene.Scene
    ) -> trio.SocketStream:
        sock = trio.socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        host, _, port = scene.address.rpartition(":")
        await sock.connect((host, int(port)))
        return trio.SocketStream(sock)

    async def _read_slowly(self, caller: trio.SocketStream) -> bytes:
        """Read to the end; a reset fails the test."""
        whole = b""
        while data := await caller.receive_some(_READ_BYTES):
            whole += data
            await trio.sleep(_READ_INTERVAL_S)
        return whole

    def test_bytes_behind_a_request_do_not_cost_a_slow_caller_its_answer(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            caller = await self._open_slow_caller(scene)

            async def send() -> None:
                with contextlib.suppress(trio.BrokenResourceError):
                    await caller.send_all(_UPLOAD + b"a" * 400_000)

            async with caller, trio.open_nursery() as nursery:
                await caller.send_all(_CALL)
                whole = await caller.receive_some(_READ_BYTES)
                self.assertIn(b"connection: close", whole)
                nursery.start_soon(send)
                whole += await self._read_slowly(caller)
            self.assertTrue(whole.endswith(_BODY), len(whole))

        self._run(_LONG, scenario)

    def test_a_request_that_crosses_the_close_does_not_cost_the_answer(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with await self._open_slow_caller(scene) as caller:
                await caller.send_all(_CALL)
                head = await caller.receive_some(_READ_BYTES)
                self.assertIn(b"connection: close", head)
                rest = await self._read_until_idle(scene, caller)
                await caller.send_all(_CALL)
                rest += await self._read_slowly(caller)
            self.assertTrue((head + rest).endswith(_BODY), len(rest))
            self.assertEqual(1, len(scene.runners[0].requests))

        self._run(_LONG, scenario)

    async def _read_until_idle(
        self, scene: serving_scene.Scene, caller: trio.SocketStream
    ) -> bytes:
        """Read until the daemon has passed the whole answer to its kernel."""
        whole = b""
        while scene.listener.count_busy():
            whole += await caller.receive_some(_READ_BYTES)
            await trio.sleep(_POLL_S)
        return whole

    def test_a_request_that_was_read_before_the_answer_is_answered_too(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with await scene.open_caller() as caller:
                await caller.send_all(_CALL + _CALL)
                whole = await self._read_slowly(caller)
            self.assertEqual(2, whole.count(b"fine"), whole)
            self.assertEqual(1, whole.count(b"connection: close"), whole)

        self._run(_GOOD, scenario)

    def test_a_caller_that_does_not_close_delays_the_end_for_a_bounded_time(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with await scene.open_caller() as caller:
                await caller.send_all(_CALL)
                await serving_scene.read_reply(caller)
                while scene.listener.count_busy():
                    await trio.sleep(_POLL_S)
                scene.listener.stop_accepting()
                with trio.fail_after(3.0):
                    while scene.listener.count_busy():
                        await trio.sleep(_POLL_S)

        self._run(_GOOD, scenario)
