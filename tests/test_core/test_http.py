"""Malformed answers are failures; calls that time out can be reset."""

from __future__ import annotations

import msgspec
import testtools
import trio
from expression import Ok

from martenquay_core.util import http
from martenquay_standins import loopback

_HANG_S = 30.0


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
