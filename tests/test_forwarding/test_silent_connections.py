"""Connections that stay open but go silent are found and replaced."""

from __future__ import annotations

import pathlib
import socket
import sys

import testtools
import trio

from martenquay_core.serving import catalog
from martenquay_daemon.forwarding import retry_window
from martenquay_daemon.forwarding import runner_connection as connections
from martenquay_standins import loopback
from martenquay_standins.chaos import proxy
from martenquay_standins.ports import runner as scripted
from martenquay_standins.ports.runner import Script
from tests import serving_builders as builders
from tests import serving_scene

_HANG_S = 20.0
_POLL_S = 0.02
_CALL = (
    b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: call-1\r\n"
    b"deadline-ms: %d\r\n\r\n"
)
_HEAD = b"HTTP/1.1 200 OK\r\nattempt-id: call-1\r\nserver-seal: s1\r\n"
_GOOD = Script((_HEAD + b"content-length: 4\r\n\r\nfine",))
_SILENT = Script(is_held=True)
_STREAM = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_END = b"0\r\n\r\n"
# Timer and state columns of /proc/net/tcp.
_KEEPALIVE_TIMER = "02"
_ESTABLISHED = "01"


def _event(number: int) -> bytes:
    raw = b"id: %d\ndata: token %d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(raw), raw)


def _count_keepalives(address: str) -> int:
    """Return how many connections of an address run a keep-alive timer."""
    host, _, port = address.rpartition(":")
    ip = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    wanted = f"{ip:08X}:{int(port):04X}"
    lines = pathlib.Path("/proc/self/net/tcp").read_text("ascii").splitlines()
    fields = [line.split() for line in lines[1:]]
    return sum(
        wanted in {local, remote}
        and state == _ESTABLISHED
        and timer.startswith(_KEEPALIVE_TIMER)
        for _, local, remote, state, _, timer, *_ in fields
    )


async def _start_stream_runner(
    nursery: trio.Nursery,
    scene: serving_scene.Scene,
    request_heads: list[bytes],
) -> proxy.FaultyProxy:
    """Start a runner whose stream stalls after one event until resumed."""

    async def serve(stream: trio.SocketStream) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            try:
                piece = await stream.receive_some(1000)
            except trio.BrokenResourceError:
                # A probe connects and resets without a request.
                return
            if not piece:
                return
            head += piece
        request_heads.append(head)
        if b"last-event-id: 1" in head:
            await stream.send_all(_STREAM + _event(2) + _END)
            return
        await stream.send_all(_STREAM + _event(1))
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    fault_proxy = proxy.FaultyProxy(loopback.create_address(port))
    await nursery.start(fault_proxy.run)
    scene.add_runner(fault_proxy.address)
    return fault_proxy


class _SilentTestCase(testtools.TestCase):
    def _run(self, scenario, *scripts: list[Script], **route) -> None:
        content = builders.build_catalog(
            routes=(builders.build_route(**route),)
        )

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(content, *scripts) as scene:
                    await scenario(scene)

        trio.run(run)


class SilentRunnerTest(_SilentTestCase):
    def test_a_silent_idempotent_call_is_retried_in_time(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            while not scene.runners[0].requests:
                reply = await scene.ask(_CALL % 1500)
                self.assertEqual(200, reply.status)

        self._run(
            scenario,
            [_SILENT],
            [_GOOD],
            kind=catalog.CallKind.IDEMPOTENT,
            max_attempts=2,
        )

    def test_a_silent_call_without_a_retry_left_is_waited_for(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            scene.parts.retries.bounds = retry_window.RetryBounds(0, 10, 0)
            while not scene.runners[0].requests:
                asked_at = trio.current_time()
                reply = await scene.ask(_CALL % 1500)
            self.assertEqual(504, reply.status)
            self.assertGreaterEqual(trio.current_time() - asked_at, 1.4)

        self._run(
            scenario,
            [_SILENT],
            [_GOOD],
            kind=catalog.CallKind.IDEMPOTENT,
            max_attempts=2,
        )

    def test_a_silent_connection_is_not_counted_as_a_failure(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            scene.parts.ejector.note_failure = failures.append
            while not scene.runners[0].requests:
                await scene.ask(_CALL % 1500)
            self.assertEqual([], failures)

        failures: list[str] = []
        self._run(
            scenario,
            [_SILENT],
            [_GOOD],
            kind=catalog.CallKind.IDEMPOTENT,
            max_attempts=2,
        )

    def test_a_silent_non_idempotent_call_is_waited_for(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(_CALL % 1500)
            self.assertEqual(504, reply.status)
            sent = [r for one in scene.runners for r in one.requests if r]
            self.assertEqual(1, len(sent))

        self._run(
            scenario,
            [_SILENT],
            [_SILENT],
            kind=catalog.CallKind.NON_IDEMPOTENT,
            max_attempts=2,
        )

    def test_a_silent_stream_is_resumed_although_its_runner_is_reachable(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with trio.open_nursery() as nursery:
                request_heads: list[bytes] = []
                fault_proxies = [
                    await _start_stream_runner(nursery, scene, request_heads)
                    for _ in range(2)
                ]
                caller = await scene.open_caller()
                await caller.send_all(_CALL % 8000)
                received = b""
                while b"token 1" not in received:
                    received += await caller.receive_some(1000)
                for fault_proxy in fault_proxies:
                    fault_proxy.silence_connections()
                while not received.endswith(_END):
                    piece = await caller.receive_some(1000)
                    self.assertNotEqual(b"", piece, "cut off")
                    received += piece
                self.assertEqual(2, len(request_heads))
                self.assertEqual(1, received.count(b"token 1"))
                self.assertEqual(1, received.count(b"token 2"))
                nursery.cancel_scope.cancel()

        self._run(
            scenario,
            kind=catalog.CallKind.STREAM,
            max_attempts=2,
            is_resumable=True,
            timeout_s=8.0,
        )

    def test_keepalive_is_enabled_for_runners(self) -> None:
        async def scenario() -> None:
            server = scripted.ScriptedRunner([_SILENT])
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                async with connections.connect_runner(
                    server.address, 5.0, max_use_s=5.0
                ):
                    self.assertEqual(1, _count_keepalives(server.address))
                nursery.cancel_scope.cancel()

        trio.run(scenario)


class SilentCallerTest(_SilentTestCase):
    def _count_open(self, scene: serving_scene.Scene) -> int:
        return len(scene.listener._connections)

    def test_a_caller_that_stops_reading_is_disconnected(self) -> None:
        large = b"a" * 8_000_000
        answer = _HEAD + b"content-length: %d\r\n\r\n" % len(large) + large

        async def scenario(scene: serving_scene.Scene) -> None:
            caller = trio.socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            host, _, port = scene.address.rpartition(":")
            await caller.connect((host, int(port)))
            await caller.send(_CALL % 5000)
            while not self._count_open(scene):
                await trio.sleep(_POLL_S)
            while self._count_open(scene):
                await trio.sleep(_POLL_S)
            caller.close()

        self._run(scenario, [Script((answer,))])

    def test_keepalive_is_enabled_for_waiting_callers(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with await scene.open_caller() as caller:
                await caller.send_all(_CALL % 5000)
                while not scene.runners[0].requests:
                    await trio.sleep(_POLL_S)
                self.assertEqual(1, _count_keepalives(scene.address))

        self._run(scenario, [_SILENT])
