"""Malformed answers are failures; calls that time out can be reset."""

from __future__ import annotations

import contextlib
import dataclasses
import random
from typing import TYPE_CHECKING, Any

import httpcore
import msgspec
import testtools
import trio
from expression import Ok

from martenquay_core.util import http
from martenquay_standins import loopback
from martenquay_standins.ports import runner
from tests import endless_runner, step_timer

if TYPE_CHECKING:
    from collections.abc import (
        AsyncIterator,
        Awaitable,
        Callable,
        Sequence,
    )

    from expression import Result

_HANG_S = 30.0
# What the two kernels' buffers of a loopback connection hold, and one answer.
_MAX_TAKEN_BYTES = 24_000_000
# Larger than what they hold of a body that its receiver leaves unread.
_UPLOAD = bytes(32_000_000)
_UNSIZED = b"HTTP/1.1 200 OK\r\n\r\n"
_SIZED = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"


@dataclasses.dataclass
class _Server:
    url: str
    connections: int = 0


@contextlib.asynccontextmanager
async def _open_server(answers: Sequence[bytes]) -> AsyncIterator[_Server]:
    """Run a server that gives these answers, then closes."""
    left = list(answers)

    async def serve(stream: trio.SocketStream) -> None:
        server.connections += 1
        async with stream:
            while left and await stream.receive_some(65_536):
                await stream.send_all(left.pop(0))

    listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
    port = listeners[0].socket.getsockname()[1]
    server = _Server(f"http://{loopback.create_address(port)}/")
    with trio.fail_after(_HANG_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            yield server
            nursery.cancel_scope.cancel()


class _Load(msgspec.Struct):
    name: str


class DecodeTest(testtools.TestCase):
    def test_a_malformed_body_is_a_failure(self) -> None:
        bodies = [
            b"",
            b"<html>",
            b'{"name": 1}',
            b"[]",
            b'{"name": "\xff"}',
            b'{"name": "\\ud800"}',
            b'{"other": ' + b"[" * 100_000,
        ]
        for body in bodies:
            answer = http.Answer(200, [], body)
            decoded = http.decode_json(Ok(answer), _Load)
            self.assertTrue(decoded.is_error(), body[:20])
            self.assertTrue(decoded.error.sent)
            self.assertIn("malformed answer", decoded.error.message)

    def test_a_valid_body_is_decoded(self) -> None:
        answer = http.Answer(200, [], b'{"name": "a"}')
        self.assertEqual("a", http.decode_json(Ok(answer), _Load).ok.name)


class TimedOutCallTest(testtools.TestCase):
    def _time_out_call(self, **options: bool) -> bool:
        """Let a call time out; return whether its server saw a reset."""
        resets_seen: list[bool] = []

        async def serve(stream: trio.SocketStream) -> None:
            try:
                while await stream.receive_some(1000):
                    pass
                resets_seen.append(False)
            except trio.BrokenResourceError:
                resets_seen.append(True)

        async def run() -> None:
            listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
            port = listeners[0].socket.getsockname()[1]
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(trio.serve_listeners, serve, listeners)
                    async with http.open_client(**options) as client:
                        answer = await client.call(
                            "POST",
                            f"http://{loopback.create_address(port)}/",
                            body=b"order",
                            timeout_s=0.05,
                        )
                    self.assertTrue(answer.error.sent)
                    while not resets_seen:
                        await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()

        trio.run(run)
        return resets_seen[0]

    def test_a_client_that_resets_drops_unsent_data(self) -> None:
        self.assertTrue(self._time_out_call(resets=True))

    def test_other_clients_close_without_a_reset(self) -> None:
        self.assertFalse(self._time_out_call())


class EndlessAnswerTest(testtools.TestCase):
    """Answers that come without end are failures, and cost little."""

    def _call(self, answer: endless_runner.EndlessAnswer) -> http.CallFailure:
        timer = step_timer.StepTimer()

        async def run() -> http.CallFailure:
            server = endless_runner.EndlessRunner(answer)
            with trio.fail_after(_HANG_S):
                async with (
                    trio.open_nursery() as nursery,
                    http.open_client() as client,
                ):
                    await nursery.start(server.run)
                    result = await client.call(
                        "GET", f"http://{server.address}/", timeout_s=1.0
                    )
                    self.sent_bytes = server.sent_bytes
                    nursery.cancel_scope.cancel()
            return result.error

        failure = trio.run(run, instruments=[timer])
        self.assertLess(timer.longest_s, step_timer.MAX_STEP_S, timer.task_name)
        self.assertLess(self.sent_bytes, _MAX_TAKEN_BYTES)
        return failure

    def test_a_body(self) -> None:
        for head in (
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 90000000000\r\n\r\n",
            b"HTTP/1.1 503 X\r\n\r\n",
        ):
            failure = self._call(endless_runner.EndlessAnswer(head))
            self.assertTrue(failure.sent)
            self.assertTrue(failure.is_oversized)

    def test_chunks(self) -> None:
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        piece = b"400\r\n" + b"x" * 1024 + b"\r\n"
        failure = self._call(endless_runner.EndlessAnswer(head, piece))
        self.assertTrue(failure.is_oversized)

    def test_chunks_of_one_byte(self) -> None:
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        failure = self._call(endless_runner.EndlessAnswer(head, b"1\r\nx\r\n"))
        self.assertTrue(failure.sent)

    def test_a_head(self) -> None:
        for first, piece in (
            (b"HTTP/1.1 200 OK\r\nx: ", b"x"),
            (b"HTTP/1.1 200 OK\r\n", b"x: x\r\n"),
            (b"", b"HTTP/1.1 100 \r\n\r\n"),
        ):
            failure = self._call(endless_runner.EndlessAnswer(first, piece))
            self.assertTrue(failure.sent)

    def test_an_oversized_answer_is_the_last_on_its_connection(self) -> None:
        # Otherwise the rest of the body would be taken for the next answer.
        head = b"HTTP/1.1 200 OK\r\n\r\n"

        async def run() -> None:
            server = endless_runner.EndlessRunner(
                endless_runner.EndlessAnswer(head)
            )
            async with (
                trio.open_nursery() as nursery,
                http.open_client() as client,
            ):
                await nursery.start(server.run)
                for _ in range(2):
                    await client.call("GET", f"http://{server.address}/")
                while server.closed < 2:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        trio.run(run)


class ResetUploadTest(testtools.TestCase):
    """The server answers an upload at once, and resets while it is sent."""

    def _play(
        self,
        script: runner.Script,
        call: Callable[[http.HttpClient, str], Awaitable[Any]],
    ) -> Any:
        async def run() -> Any:
            server = runner.ScriptedRunner([script])
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.run)
                    async with http.open_client() as client:
                        result = await call(client, f"http://{server.address}/")
                    nursery.cancel_scope.cancel()
            return result

        return trio.run(run)

    def _call(
        self, script: runner.Script
    ) -> Result[http.Answer, http.CallFailure]:
        async def call(
            client: http.HttpClient, url: str
        ) -> Result[http.Answer, http.CallFailure]:
            return await client.call("POST", url, body=_UPLOAD)

        return self._play(script, call)

    def test_a_part_without_length_is_a_failure(self) -> None:
        answer = self._call(runner.Script((_UNSIZED, b"hel"), is_reset=True))
        self.assertTrue(answer.is_error(), answer)
        self.assertTrue(answer.error.sent)

    def test_a_body_that_ended_before_the_reset_is_whole(self) -> None:
        script = runner.Script(
            (_UNSIZED, b"hello"), is_reset=True, ends_sending=True
        )
        self.assertEqual(b"hello", self._call(script).ok.body)

    def test_a_body_of_its_length_is_whole(self) -> None:
        script = runner.Script((_SIZED, b"hello"), is_reset=True)
        self.assertEqual(b"hello", self._call(script).ok.body)

    def test_lines_without_length_end_with_an_error(self) -> None:
        async def read(
            client: http.HttpClient, url: str
        ) -> tuple[list[bytes], bool]:
            lines: list[bytes] = []
            try:
                async with client.stream("POST", url, body=_UPLOAD) as answer:
                    async for line in answer.iterate_lines():
                        lines.append(line)  # noqa: PERF401
            except httpcore.NetworkError:
                return lines, True
            return lines, False

        script = runner.Script((_UNSIZED, b"one\n"), is_reset=True)
        self.assertEqual(([b"one"], True), self._play(script, read))


class InvalidHeadTest(testtools.TestCase):
    """The server's answers are no HTTP; the client passes none of them on."""

    def _call(self, *answers: bytes) -> list[Result[http.Answer, Any]]:
        """Return what calls get from a server that answers in this order."""

        async def run() -> list[Result[http.Answer, Any]]:
            async with (
                _open_server(answers) as server,
                http.open_client() as client,
            ):
                return [await client.call("GET", server.url) for _ in answers]

        return trio.run(run)

    def test_a_blank_before_the_name_of_a_field(self) -> None:
        status_line = b"HTTP/1.1 200 OK\r\n"
        for head in (
            b"content-type: text/plain\r\n content-length: 2\r\n",
            b"content-type: text/plain\r\n\ttransfer-encoding: chunked\r\n",
            b"x-odd: 1\r\n x-even: 1\r\ncontent-length: 5\r\n",
        ):
            answers = self._call(status_line + head + b"\r\nhello")
            self.assertTrue(answers[0].is_error(), (head, answers))

    def test_a_status_above_any_class(self) -> None:
        answer = b"HTTP/1.1 %d X\r\ncontent-length: 5\r\n\r\nhello"
        for status in (600, 999):
            answers = self._call(answer % status)
            self.assertTrue(answers[0].is_error(), answers)
            self.assertTrue(answers[0].error.sent)

    def test_a_status_of_zeros(self) -> None:
        answers = self._call(b"HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n")
        self.assertTrue(answers[0].is_error(), answers)

    def test_the_next_answer_on_a_connection(self) -> None:
        folded = (
            b"HTTP/1.1 200 OK\r\nx-odd: 1\r\n x-even: 1\r\n"
            b"content-length: 5\r\n\r\nhello"
        )
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        answers = self._call(interim + _SIZED + b" \n\n\t ", folded)
        self.assertEqual(b" \n\n\t ", answers[0].ok.body)
        self.assertTrue(answers[1].is_error(), answers)


class SurplusAnswerTest(testtools.TestCase):
    """The server sends more behind a whole answer, in the same bytes."""

    def _call_twice(self, first: bytes) -> tuple[list[bytes], int]:
        """Return the bodies of two calls, and how many connections opened."""
        answers = [first, _SIZED + b"again"]

        async def run() -> tuple[list[bytes], int]:
            async with (
                _open_server(answers) as server,
                http.open_client() as client,
            ):
                bodies = [
                    (await client.call("GET", server.url)).ok.body
                    for _ in range(2)
                ]
                return bodies, server.connections

        return trio.run(run)

    def test_it_is_not_the_answer_to_the_next_call(self) -> None:
        surplus = _SIZED + b"wrong"
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        for whole in (
            _SIZED + b"hello",
            interim + _SIZED + b"hello",
            chunked + b"5\r\nhello\r\n0\r\n\r\n",
        ):
            for rest in (surplus, interim + surplus, b"wrong"):
                bodies, connections = self._call_twice(whole + rest)
                self.assertEqual([b"hello", b"again"], bodies, whole + rest)
                self.assertEqual(2, connections)

    def test_a_connection_without_surplus_is_used_again(self) -> None:
        bodies, connections = self._call_twice(_SIZED + b"hello")
        self.assertEqual(([b"hello", b"again"], 1), (bodies, connections))


class EndlessLineTest(testtools.TestCase):
    def test_a_line_without_end_is_a_protocol_error(self) -> None:
        timer = step_timer.StepTimer()

        async def run() -> None:
            server = endless_runner.EndlessRunner(
                endless_runner.EndlessAnswer(b"HTTP/1.1 200 OK\r\n\r\n")
            )
            with trio.fail_after(_HANG_S):
                async with (
                    trio.open_nursery() as nursery,
                    http.open_client() as client,
                ):
                    await nursery.start(server.run)
                    async with client.stream(
                        "GET", f"http://{server.address}/"
                    ) as answer:
                        async for _ in answer.iterate_lines():
                            pass
                    nursery.cancel_scope.cancel()

        error = self.assertRaises(
            ExceptionGroup, trio.run, run, instruments=[timer]
        )
        self.assertIsInstance(error.exceptions[0], httpcore.ProtocolError)
        self.assertLess(timer.longest_s, step_timer.MAX_STEP_S, timer.task_name)

    def test_lines_are_the_same_for_any_pieces(self) -> None:
        generator = random.Random(1)
        lines = [b"x" * generator.randrange(1, 40) for _ in range(300)]
        whole = b"\n".join(lines) + b"\n\nlast"
        splitter = http.LineSplitter()
        found = []
        while whole:
            size = generator.randrange(1, 90)
            found += splitter.feed(whole[:size])
            whole = whole[size:]
        self.assertEqual([*lines, b"last"], [*found, splitter.rest])
