"""A reset during an upload does not complete an answer without a length."""

from __future__ import annotations

import testtools
import trio

from martenquay_core.serving import catalog
from martenquay_daemon.forwarding import runner_connection as connections
from martenquay_standins.ports import runner as scripted
from martenquay_standins.ports.runner import Script
from tests import forwarder_case as case
from tests import serving_builders as builders
from tests import serving_scene, write_first_stream

_HANG_S = 30.0
_BODY = bytes(write_first_stream.MIN_BODY_BYTES)
_REQUEST = connections.RunnerRequest(
    "POST",
    "/a",
    [(b"host", b"a"), (b"content-length", b"%d" % len(_BODY))],
    _BODY,
)
_CALL = (
    b"POST /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"
    b"attempt-id: call-1\r\ncontent-length: %d\r\n\r\n%b" % (len(_BODY), _BODY)
)
_HEAD = b"HTTP/1.1 200 OK\r\nattempt-id: call-1\r\nserver-seal: s1\r\n"
_UNSIZED = _HEAD + b"\r\n"
_SIZED = _HEAD + b"content-length: 5\r\n\r\n"
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"


class ConnectionTest(testtools.TestCase):
    def _read_body(
        self, script: Script
    ) -> bytes | connections.BrokenAnswerError:
        """Let writing fail, then return the body that is read, or the error."""

        async def run() -> bytes | connections.BrokenAnswerError:
            server = scripted.ScriptedRunner([script])
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.run)
                    async with connections.connect_runner(
                        server.address, 5.0
                    ) as connection:
                        result = await self._exchange(connection)
                    nursery.cancel_scope.cancel()
            return result

        return trio.run(run)

    async def _exchange(
        self, connection: connections.RunnerConnection
    ) -> bytes | connections.BrokenAnswerError:
        with self.assertRaises(connections.BrokenAnswerError):
            await connection.send_request(_REQUEST)
        await connection.read_head()
        try:
            return await connection.read_body()
        except connections.BrokenAnswerError as error:
            return error

    def test_a_part_without_length_is_broken(self) -> None:
        result = self._read_body(Script((_UNSIZED, b"hel"), is_reset=True))
        self.assertIsInstance(result, connections.BrokenAnswerError)

    def test_a_body_that_ended_before_the_reset_is_whole(self) -> None:
        script = Script((_UNSIZED, b"hello"), is_reset=True, ends_sending=True)
        self.assertEqual(b"hello", self._read_body(script))

    def test_a_body_of_its_length_is_whole(self) -> None:
        script = Script((_SIZED, b"hello"), is_reset=True)
        self.assertEqual(b"hello", self._read_body(script))

    def test_a_body_with_its_last_chunk_is_whole(self) -> None:
        script = Script((_CHUNKED, b"5\r\nhello\r\n0\r\n\r\n"), is_reset=True)
        self.assertEqual(b"hello", self._read_body(script))


class CallerTest(testtools.TestCase):
    def _ask(
        self,
        *scripts: Script,
        kind: catalog.CallKind = catalog.CallKind.IDEMPOTENT,
    ) -> serving_scene.Reply:
        """Send an upload; one runner for each script gets it in turn."""
        content = builders.build_catalog(
            routes=(builders.build_route(kind=kind, max_attempts=len(scripts)),)
        )

        async def run() -> serving_scene.Reply:
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(
                    content,
                    *([one] for one in scripts),
                    opener=write_first_stream.open_stream,
                ) as scene:
                    return await scene.ask(_CALL)

        return trio.run(run)

    def test_a_plain_call_does_not_get_the_part(self) -> None:
        reply = self._ask(Script((_UNSIZED, b"hel"), is_reset=True))
        self.assertEqual(502, reply.status)
        self.assertNotIn(b"hel", reply.body)

    def test_a_call_that_may_be_repeated_goes_on_elsewhere(self) -> None:
        cut = Script((_UNSIZED, b"hel"), is_reset=True)
        good = Script((case.build_answer(200, b"fine", case.SEAL),))
        for scripts in ((cut, good), (good, cut)):
            reply = self._ask(*scripts)
            self.assertEqual((200, b"fine"), (reply.status, reply.body))

    def test_a_stream_is_not_ended_as_if_it_were_complete(self) -> None:
        event = b"id: 1\ndata: token 1\n\n"
        reply = self._ask(
            Script((_UNSIZED, event), is_reset=True),
            kind=catalog.CallKind.STREAM,
        )
        self.assertEqual((200, event), (reply.status, reply.body))
        self.assertFalse(reply.is_whole)
