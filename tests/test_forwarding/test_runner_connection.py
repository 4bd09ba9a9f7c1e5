"""A truncated or malformed response raises an error."""

from __future__ import annotations

import contextlib

import testtools
import trio

from martenquay_daemon.forwarding import runner_connection as connections
from martenquay_standins.ports import runner
from tests import endless_runner

_REQUEST = connections.RunnerRequest("GET", "/a", [(b"host", b"a")])
_SIZED = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"
_UNSIZED = b"HTTP/1.1 200 OK\r\n\r\n"
_CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class StopReadingTest(testtools.TestCase):
    def test_a_body_without_end_ends_after_what_has_arrived(self) -> None:
        async def run() -> int:
            server = endless_runner.EndlessRunner(
                endless_runner.EndlessAnswer(_UNSIZED)
            )
            size = 0
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                async with connections.connect_runner(
                    server.address, 5.0
                ) as connection:
                    await connection.send_request(_REQUEST)
                    await connection.read_head()
                    async for piece in connection.iterate_body():
                        if not size:
                            connection.stop_reading()
                        size += len(piece)
                        # The runner is faster, so that bytes always wait.
                        await trio.sleep(0.001)
                nursery.cancel_scope.cancel()
            return size

        # The kernel's buffer of one connection.
        self.assertLess(trio.run(run), 10_000_000)


class RunnerConnectionTest(testtools.TestCase):
    def _call(
        self, script: runner.Script
    ) -> bytes | connections.BrokenAnswerError:
        """Return the body that a scripted runner sends, or the error."""

        async def run() -> bytes | connections.BrokenAnswerError:
            server = runner.ScriptedRunner([script])
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                result = await self._exchange(server.address)
                nursery.cancel_scope.cancel()
            return result

        return trio.run(run)

    async def _exchange(
        self, address: str
    ) -> bytes | connections.BrokenAnswerError:
        async with connections.connect_runner(address, 5.0) as connection:
            try:
                await connection.send_request(_REQUEST)
                await connection.read_head()
                return await connection.read_body()
            except connections.BrokenAnswerError as error:
                return error

    def _assert_broken(self, script: runner.Script) -> str:
        result = self._call(script)
        self.assertIsInstance(result, connections.BrokenAnswerError)
        return str(result)

    def test_a_whole_answer_is_returned(self) -> None:
        script = runner.Script((_SIZED, b"he", b"llo"))
        self.assertEqual(b"hello", self._call(script))

    def test_a_body_without_length_ends_with_its_connection(self) -> None:
        self.assertEqual(b"hel", self._call(runner.Script((_UNSIZED, b"hel"))))

    def test_a_reset_does_not_complete_a_body_without_length(self) -> None:
        self._assert_broken(runner.Script((_UNSIZED, b"hel"), is_reset=True))

    def test_a_body_that_is_too_short_is_broken(self) -> None:
        self._assert_broken(runner.Script((_SIZED, b"hel")))

    def test_a_chunked_body_needs_its_last_chunk(self) -> None:
        self._assert_broken(runner.Script((_CHUNKED, b"3\r\nhel\r\n")))
        script = runner.Script((_CHUNKED, b"3\r\nhel\r\n0\r\n\r\n"))
        self.assertEqual(b"hel", self._call(script))

    def test_bytes_that_are_not_http_are_broken(self) -> None:
        reason = self._assert_broken(runner.Script((b"\x00\xff no http\r\n",)))
        self.assertIn("no HTTP answer", reason)

    def test_a_close_without_an_answer_is_broken(self) -> None:
        self._assert_broken(runner.Script())

    def test_bytes_after_the_answer_are_ignored(self) -> None:
        surplus = _SIZED + b"hello" + _SIZED + b"again"
        self.assertEqual(b"hello", self._call(runner.Script((surplus,))))

    def test_an_answer_of_tiny_chunks_is_returned_whole(self) -> None:
        body = b"1\r\nx\r\n" * 10_000
        script = runner.Script((_CHUNKED + body + b"0\r\n\r\n",))
        self.assertEqual(b"x" * 10_000, self._call(script))

    def test_the_bytes_before_a_broken_chunk_are_returned(self) -> None:
        async def run() -> bytes:
            server = runner.ScriptedRunner(
                [runner.Script((_CHUNKED + b"3\r\nhel\r\n!",))]
            )
            found = b""
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                async with connections.connect_runner(
                    server.address, 5.0
                ) as connection:
                    await connection.send_request(_REQUEST)
                    await connection.read_head()
                    with contextlib.suppress(connections.BrokenAnswerError):
                        async for piece in connection.iterate_body():
                            found += piece
                nursery.cancel_scope.cancel()
            return found

        self.assertEqual(b"hel", trio.run(run))

    def test_a_length_beyond_the_bound_is_broken_at_once(self) -> None:
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
        most = connections.MAX_ANSWER_BYTES
        script = runner.Script((head % (most + 1),), is_held=True)
        self.assertIn("bytes", self._assert_broken(script))
        script = runner.Script((head % most, b"x" * most))
        self.assertEqual(most, len(self._call(script)))

    def test_an_address_that_cannot_be_looked_up_raises_not_connected(
        self,
    ) -> None:
        async def run(address: str) -> None:
            async with connections.connect_runner(address, 5.0):
                self.fail("connected to no address")

        for address in (
            *("\u00fc..x:80", "a\x00b:80", "..:80", "x" * 300 + ":80"),
            *("127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:http", "127.0.0.1"),
        ):
            self.assertRaises(
                connections.NotConnectedError, trio.run, run, address
            )

    def test_a_refused_connection_raises_not_connected(self) -> None:
        async def run() -> None:
            async with connections.connect_runner("127.0.0.1:1", 5.0):
                self.fail("connected to a port without a listener")

        self.assertRaises(connections.NotConnectedError, trio.run, run)
