"""Limits, keep-alive, stop and handler errors of a caller's connection."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from unittest import mock

import h11
import msgspec
import testtools
import trio
import trio.testing

from martenquay_core import results
from martenquay_core.serving import catalog
from martenquay_daemon.forwarding import caller_connection
from martenquay_platform import codec
from martenquay_standins.ports.runner import Script
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.serving import calls
    from martenquay_daemon.forwarding import answers

_HANG_S = 30.0
_GOOD = Script(
    (b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 4\r\n\r\nfine",)
)
_CALL = b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n\r\n"
_POST = b"POST /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"


class CallerConnectionTest(testtools.TestCase):
    def _run(
        self,
        scenario: Callable[[serving_scene.Scene], Awaitable[None]],
        **limits,
    ) -> None:
        content = builders.build_catalog(limits=catalog.CallerLimits(**limits))

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(content, [_GOOD]) as scene:
                    await scenario(scene)

        trio.run(run)

    def test_one_connection_serves_many_requests(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with await scene.open_caller() as caller:
                for _ in range(3):
                    await caller.send_all(_CALL)
                    reply = await serving_scene.read_reply(caller)
                    self.assertEqual(b"fine", reply.body)

        self._run(scenario)

    def test_a_pipelined_request_is_answered_in_order(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with await scene.open_caller() as caller:
                await caller.send_all(_CALL + _CALL)
                whole = b""
                while whole.count(b"fine") < 2:
                    whole += await caller.receive_some(65_536)

        self._run(scenario)

    def test_a_head_over_the_limit_is_rejected(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            long = b"x-long: " + b"a" * 3000 + b"\r\n\r\n"
            reply = await scene.ask(_CALL[:-2] + long)
            self.assertEqual(431, reply.status)
            self.assertEqual([], scene.runners[0].requests)

        self._run(scenario, header_bytes=2000)

    def test_a_body_over_the_limit_is_rejected_before_it_is_read(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            sized = await scene.ask(_POST + b"content-length: 5000\r\n\r\n")
            self.assertEqual(413, sized.status)
            chunked = _POST + b"transfer-encoding: chunked\r\n\r\n"
            reply = await scene.ask(chunked + b"5dc\r\n" + b"a" * 1500)
            self.assertEqual(413, reply.status)

        self._run(scenario, body_bytes=1000)

    def test_a_body_at_an_unknown_path_is_rejected_before_it_is_read(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            post = _POST.replace(b"lookup", b"nowhere")
            part = b"a" * 40_000
            sized = b"content-length: 900000\r\n\r\n" + part
            reply = await scene.ask(post + sized)
            self.assertEqual((404, True), (reply.status, reply.is_whole))
            chunked = b"transfer-encoding: chunked\r\n\r\nffff\r\n" + part
            reply = await scene.ask(post + chunked)
            self.assertEqual((404, True), (reply.status, reply.is_whole))

        self._run(scenario, header_s=1.0)

    def test_a_short_body_at_an_unknown_path_keeps_the_connection(
        self,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with await scene.open_caller() as caller:
                post = _POST.replace(b"lookup", b"nowhere")
                await caller.send_all(post + b"content-length: 5\r\n\r\nhello")
                reply = await serving_scene.read_reply(caller)
                self.assertEqual(404, reply.status)
                await caller.send_all(_CALL)
                reply = await serving_scene.read_reply(caller)
                self.assertEqual(b"fine", reply.body)

        self._run(scenario)

    def test_a_length_of_any_number_of_digits_is_rejected(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            for digits in (19, 400, 5000):
                length = b"content-length: " + b"9" * digits + b"\r\n\r\n"
                reply = await scene.ask(_POST + length)
                self.assertIn(reply.status, {400, 413}, digits)

        self._run(scenario, body_bytes=1000)

    def test_a_slow_head_is_rejected(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(b"GET /lookup/7 HT")
            self.assertEqual(408, reply.status)

        self._run(scenario, header_s=0.05)

    def test_an_idle_connection_is_closed_without_an_answer(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(b"")
            self.assertEqual(0, reply.status)

        self._run(scenario, idle_s=0.05)

    def test_bytes_that_are_not_http_are_rejected(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(b"\x16\x03\x01 hello\r\n\r\n")
            self.assertEqual(400, reply.status)

        self._run(scenario)

    def test_a_stop_closes_connections_only_between_requests(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with await scene.open_caller() as caller:
                await caller.send_all(_CALL)
                await serving_scene.read_reply(caller)
                scene.listener.begin_closing()
                await caller.send_all(_CALL)
                reply = await serving_scene.read_reply(caller)
                self.assertEqual(b"fine", reply.body)
                self.assertEqual(b"close", reply.headers[b"connection"])
                self.assertEqual(b"", await caller.receive_some(10))

        self._run(scenario)

    def test_a_stop_closes_idle_connections_and_accepts_no_more(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            async with await scene.open_caller() as caller:
                await caller.send_all(_CALL)
                await serving_scene.read_reply(caller)
                scene.listener.stop_accepting()
                self.assertEqual(b"", await caller.receive_some(10))
            try:
                stream = await scene.open_caller()
            except OSError:
                return
            self.assertEqual(b"", await stream.receive_some(10))

        self._run(scenario)

    def test_smuggled_framing_reaches_the_runner_as_one_request(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            raw = (
                _POST + b"transfer-encoding: chunked\r\n"
                b"content-length: 4\r\n\r\n0\r\n\r\n"
            )
            await scene.ask(raw)
            for sent in scene.runners[0].requests:
                self.assertNotIn(b"transfer-encoding", sent)
                self.assertEqual(1, sent.count(b"HTTP/1.1"))

        self._run(scenario)


class _FailingHandler:
    """Raises an unexpected error.

    Attributes:
        start_bytes: Part of the body that is sent before the error.
    """

    def __init__(self, start_bytes: bytes) -> None:
        self.start_bytes = start_bytes

    def reject_early(self, call: calls.Call) -> None:
        """Reject no request."""

    async def handle(
        self, call: calls.Call, received_at: float, writer: answers.AnswerWriter
    ) -> None:
        """Send `start_bytes` if there are any, then fail."""
        del call, received_at
        if self.start_bytes:
            await writer.start(200, [], 10)
            await writer.write(self.start_bytes)
        raise KeyError("a fault")


class HandlerErrorTest(testtools.TestCase):
    def _ask(self, start_bytes: bytes) -> serving_scene.Reply:
        """Return the answer of a connection with a failing handler."""
        listener_state = mock.Mock(is_closing=False, is_stopped=False)
        listener_state.find_limits.return_value = catalog.CallerLimits()
        replies: list[serving_scene.Reply] = []

        async def scenario() -> None:
            daemon_end, caller_end = socket.socketpair()
            daemon_end.setblocking(False)
            caller_end.setblocking(False)
            stream = trio.SocketStream(
                trio.socket.from_stdlib_socket(daemon_end)
            )
            caller = trio.SocketStream(
                trio.socket.from_stdlib_socket(caller_end)
            )
            connection = caller_connection.CallerConnection(
                stream,
                codec.create_codec(),
                _FailingHandler(start_bytes),
                listener_state,
            )
            with trio.fail_after(_HANG_S):
                async with caller, trio.open_nursery() as nursery:
                    nursery.start_soon(connection.serve)
                    await caller.send_all(_CALL)
                    replies.append(await serving_scene.read_reply(caller))
                    nursery.cancel_scope.cancel()

        trio.run(scenario)
        return replies[0]

    def test_an_error_before_the_answer_says_that_the_call_may_have_run(
        self,
    ) -> None:
        with mock.patch.object(caller_connection, "_LOG") as log:
            reply = self._ask(b"")
        self.assertEqual(502, reply.status)
        self.assertTrue(reply.is_whole)
        code = msgspec.json.decode(reply.body)["code"]
        self.assertEqual(results.ResultCode.UNKNOWN_ANSWER_LOST, code)
        self.assertIn("KeyError", log.write.call_args.args[0])

    def test_an_error_within_the_answer_truncates_it(self) -> None:
        with mock.patch.object(caller_connection, "_LOG") as log:
            reply = self._ask(b"half")
        self.assertEqual((200, b"half"), (reply.status, reply.body))
        self.assertFalse(reply.is_whole)
        self.assertIn("KeyError", log.write.call_args.args[0])


class PartialWriteTest(testtools.TestCase):
    async def _start_answer(
        self, stream: trio.StapledStream
    ) -> caller_connection.CallerConnection:
        """Return a connection that has sent a response head."""
        listener_state = mock.Mock(is_closing=False, is_stopped=False)
        listener_state.find_limits.return_value = catalog.CallerLimits()
        connection = caller_connection.CallerConnection(
            stream, mock.Mock(), mock.Mock(), listener_state
        )
        connection.receive_bytes(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await connection.send_head(200, [], None)
        return connection

    def test_nothing_follows_a_chunk_that_was_sent_in_part(self) -> None:
        async def scenario() -> None:
            daemon_end, caller_end = trio.testing.memory_stream_pair()
            del caller_end
            connection = await self._start_answer(daemon_end)
            daemon_end.send_stream.send_all_hook = trio.sleep_forever
            with trio.move_on_after(1.0):
                await connection.send_event(h11.Data(data=b"first"))
            daemon_end.send_stream.send_all_hook = None
            with self.assertRaises(trio.BrokenResourceError):
                await connection.send_event(h11.Data(data=b"second"))

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scenario, clock=clock)

    def test_a_chunk_that_the_caller_does_not_read_ends_the_answer(
        self,
    ) -> None:
        async def scenario() -> None:
            daemon_end, caller_end = trio.testing.memory_stream_pair()
            del caller_end
            connection = await self._start_answer(daemon_end)
            daemon_end.send_stream.send_all_hook = trio.sleep_forever
            with trio.fail_after(_HANG_S):
                with self.assertRaises(trio.BrokenResourceError):
                    await connection.send_event(h11.Data(data=b"first"))
            daemon_end.send_stream.send_all_hook = None
            with self.assertRaises(trio.BrokenResourceError):
                await connection.send_event(h11.Data(data=b"second"))

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scenario, clock=clock)
