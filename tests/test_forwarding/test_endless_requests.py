"""Bytes of callers that come without end cost the daemon little."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_core.serving import catalog
from tests import forwarder_case as case
from tests import serving_builders as builders
from tests import serving_scene, step_timer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_HANG_S = 20.0
_BODY_BYTES = 100_000
_POST = (
    b"POST /lookup/7 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: call-1\r\n"
    b"deadline-ms: %d\r\n"
)
_CHUNKED = _POST % 5000 + b"transfer-encoding: chunked\r\n\r\n"


class EndlessRequestTest(testtools.TestCase):
    def _run(
        self, scenario: Callable[[serving_scene.Scene], Awaitable[None]]
    ) -> None:
        limits = catalog.CallerLimits(body_bytes=_BODY_BYTES, header_s=0.5)
        content = builders.build_catalog(limits=limits)
        timer = step_timer.StepTimer()

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(
                    content, [case.GOOD]
                ) as scene:
                    await scenario(scene)

        trio.run(run, instruments=[timer])
        self.assertLess(timer.longest_s, step_timer.MAX_STEP_S, timer.task_name)

    async def _send_for_ever(
        self,
        scene: serving_scene.Scene,
        first: bytes,
        piece: bytes,
        pause_s: float = 0.0,
    ) -> tuple[int, int]:
        """Send a piece for ever; return the answer's status and bytes sent."""
        sent_bytes = 0
        status = 0
        async with (
            await scene.open_caller() as caller,
            trio.open_nursery() as nursery,
        ):

            async def send() -> None:
                nonlocal sent_bytes
                with contextlib.suppress(trio.BrokenResourceError):
                    await caller.send_all(first)
                    while True:
                        await caller.send_all(piece)
                        sent_bytes += len(piece)
                        await trio.sleep(pause_s)

            nursery.start_soon(send)
            # An answer may be followed by a reset.
            with contextlib.suppress(trio.BrokenResourceError):
                reply = await caller.receive_some(65_536)
                status = int(reply.split(b" ", 2)[1])
            nursery.cancel_scope.cancel()
        return status, sent_bytes

    def _assert_rejected(
        self,
        first: bytes,
        piece: bytes,
        *statuses: int,
        most_s: float = 4.0,
        pause_s: float = 0.0,
    ) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            with trio.fail_after(most_s):
                status, sent_bytes = await self._send_for_ever(
                    scene, first, piece, pause_s
                )
            self.assertIn(status, statuses)
            self.assertLess(sent_bytes, 24_000_000)
            self.assertEqual([], scene.runners[0].requests)

        self._run(scenario)

    def test_a_body(self) -> None:
        piece = b"400\r\n" + b"x" * 1024 + b"\r\n"
        self._assert_rejected(_CHUNKED, piece * 60, 413)

    def test_a_body_in_chunks_of_one_byte(self) -> None:
        self._assert_rejected(_CHUNKED, b"1\r\nx\r\n" * 10_000, 413)

    def test_extensions_of_chunks(self) -> None:
        piece = b"1;" + b"y" * 8000 + b"\r\nx\r\n"
        self._assert_rejected(_CHUNKED, piece * 8, 413)

    def test_a_size_line_of_a_chunk(self) -> None:
        self._assert_rejected(_CHUNKED, b"0" * 65_536, 400, 431)

    def test_trailers(self) -> None:
        first = _CHUNKED + b"0\r\n"
        self._assert_rejected(first, b"x: x\r\n" * 10_000, 400, 431)

    def test_a_head_in_one_line(self) -> None:
        self._assert_rejected(_POST % 5000 + b"x: ", b"x" * 65_536, 431)

    def test_blank_lines_before_a_request(self) -> None:
        self._assert_rejected(b"", b"\r\n" * 30_000, 400, 408, 431)

    def test_a_body_that_drips_past_the_callers_deadline(self) -> None:
        first = _POST % 1000 + b"content-length: 90000\r\n\r\n"
        self._assert_rejected(first, b"x", 408, most_s=2.0, pause_s=0.02)

    def test_a_body_in_chunks_of_one_byte_arrives_unchanged(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            chunks = b"1\r\nx\r\n" * 40_000 + b"0\r\n\r\n"
            reply = await scene.ask(_CHUNKED + chunks)
            self.assertEqual(b"fine", reply.body)

        self._run(scenario)
