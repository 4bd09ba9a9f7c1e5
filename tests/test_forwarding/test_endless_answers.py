"""Bytes of runners that come without end cost the daemon little."""

from __future__ import annotations

import testtools
import trio

from martenquay_core.serving import catalog
from martenquay_standins.ports import runner as scripted
from martenquay_standins.ports.runner import Script
from tests import endless_runner, prefilling_runner, serving_scene, step_timer
from tests import forwarder_case as case
from tests import serving_builders as builders
from tests.endless_runner import EndlessAnswer

_HANG_S = 30.0
_HEAD = b"HTTP/1.1 200 OK\r\nattempt-id: call-1\r\nserver-seal: s1\r\n"
_UNSIZED = _HEAD + b"\r\n"
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_EVENT = b"id: %d\r\ndata: token %d\r\n\r\n"
_BUDGET_MS = 3000
# Two thirds of it may pass before the first event; the limit after it is fixed.
_DRIP_BUDGET_MS = 1200
# What the two kernels' buffers of a loopback connection hold, and what one
# answer may hold in the daemon.
_MAX_TAKEN_BYTES = 24_000_000


def _find_budget_ms(answer: EndlessAnswer) -> int:
    piece = answer.piece
    has_event = piece.startswith(b":") or b"id: 1" in answer.first + piece
    return _DRIP_BUDGET_MS if answer.pause_s and not has_event else _BUDGET_MS


class EndlessAnswerTest(testtools.TestCase):
    """One runner of two answers for ever; the other one is healthy."""

    kind = catalog.CallKind.IDEMPOTENT

    def _play(
        self,
        answer: EndlessAnswer,
        good: Script,
        *,
        max_attempts: int = 2,
        headers: bytes = b"",
    ) -> tuple[serving_scene.Reply, endless_runner.EndlessRunner, float]:
        """Ask until the endless runner got a request.

        Returns the reply to this request, the runner, and how long it took.
        """
        found: list[
            tuple[serving_scene.Reply, endless_runner.EndlessRunner, float]
        ] = []
        timer = step_timer.StepTimer()
        route = builders.build_route(
            kind=self.kind, max_attempts=max_attempts, is_resumable=True
        )
        content = builders.build_catalog(routes=(route,))

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with (
                    trio.open_nursery() as nursery,
                    serving_scene.open_scene(content) as scene,
                ):
                    endless = endless_runner.EndlessRunner(answer)
                    healthy = scripted.ScriptedRunner([good])
                    await nursery.start(endless.run)
                    await nursery.start(healthy.run)
                    scene.add_runner(endless.address)
                    scene.add_runner(healthy.address)
                    while not endless.requests:
                        began_at = trio.current_time()
                        call = case.CALL % (
                            b"GET /lookup/7",
                            _find_budget_ms(answer),
                        )
                        reply = await scene.ask(call[:-2] + headers + b"\r\n")
                        took_s = trio.current_time() - began_at
                    found.append((reply, endless, took_s))
                    nursery.cancel_scope.cancel()

        trio.run(run, instruments=[timer])
        self.assertLess(timer.longest_s, step_timer.MAX_STEP_S, timer.task_name)
        return found[0]

    def _assert_goes_on_elsewhere(
        self, answer: EndlessAnswer, good: Script, body: bytes
    ) -> None:
        reply, endless, took_s = self._play(answer, good)
        self.assertEqual(200, reply.status)
        self.assertTrue(reply.is_whole)
        self.assertEqual(body, reply.body)
        self.assertLess(endless.sent_bytes, _MAX_TAKEN_BYTES)
        self.assertLess(took_s, _BUDGET_MS / 1000)


_FINE = Script((case.build_answer(200, b"fine", case.SEAL),))


class EndlessPlainAnswerTest(EndlessAnswerTest):
    def _assert_call_goes_on(self, first: bytes, piece: bytes) -> None:
        answer = EndlessAnswer(first, piece)
        self._assert_goes_on_elsewhere(answer, _FINE, b"fine")

    def test_a_head_in_one_line(self) -> None:
        self._assert_call_goes_on(b"HTTP/1.1 200 OK\r\nx: ", b"x")

    def test_a_head_of_many_lines(self) -> None:
        self._assert_call_goes_on(b"HTTP/1.1 200 OK\r\n", b"x: x\r\n")

    def test_interim_answers(self) -> None:
        self._assert_call_goes_on(b"", b"HTTP/1.1 100 \r\n\r\n")

    def test_a_body_without_length(self) -> None:
        self._assert_call_goes_on(_UNSIZED, b"x")

    def test_a_body_with_a_huge_length(self) -> None:
        first = _HEAD + b"content-length: 900000000000\r\n\r\n"
        self._assert_call_goes_on(first, b"x")

    def test_a_length_of_thousands_of_digits(self) -> None:
        first = _HEAD + b"content-length: " + b"9" * 5000 + b"\r\n\r\n"
        self._assert_call_goes_on(first, b"x")

    def test_chunks(self) -> None:
        self._assert_call_goes_on(_CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n")

    def test_chunks_of_one_byte(self) -> None:
        self._assert_call_goes_on(_CHUNKED, b"1\r\nx\r\n")

    def test_chunks_with_extensions(self) -> None:
        piece = b"1;" + b"y" * 8000 + b"\r\nx\r\n"
        self._assert_call_goes_on(_CHUNKED, piece)

    def test_a_size_line_of_a_chunk(self) -> None:
        self._assert_call_goes_on(_CHUNKED, b"0")

    def test_an_extension_of_a_chunk(self) -> None:
        self._assert_call_goes_on(_CHUNKED + b"1;", b"y")

    def test_trailers(self) -> None:
        self._assert_call_goes_on(_CHUNKED + b"0\r\n", b"x: x\r\n")

    def test_a_failure_that_might_be_kept_for_later(self) -> None:
        first = _UNSIZED.replace(b"200 OK", b"500 X")
        self._assert_call_goes_on(first, b"x")

    def test_a_call_that_may_not_be_repeated_may_have_run(self) -> None:
        self.kind = catalog.CallKind.NON_IDEMPOTENT
        reply, endless, took_s = self._play(EndlessAnswer(_UNSIZED), _FINE)
        self.assertEqual(502, reply.status)
        self.assertEqual(1, endless.requests)
        self.assertLess(took_s, _BUDGET_MS / 1000)

    def test_a_head_that_drips(self) -> None:
        first = b"HTTP/1.1 200 OK\r\nx: "
        answer = EndlessAnswer(first, b"x", pause_s=0.02)
        self._assert_goes_on_elsewhere(answer, _FINE, b"fine")

    def test_a_failure_that_drips(self) -> None:
        first = _UNSIZED.replace(b"200 OK", b"500 X")
        answer = EndlessAnswer(first, b"x", pause_s=0.02)
        self._assert_goes_on_elsewhere(answer, _FINE, b"fine")

    def test_interim_answers_that_drip(self) -> None:
        answer = EndlessAnswer(b"", b"HTTP/1.1 100 \r\n\r\n", pause_s=0.02)
        self._assert_goes_on_elsewhere(answer, _FINE, b"fine")


class EndlessStreamTest(EndlessAnswerTest):
    kind = catalog.CallKind.STREAM

    def _assert_stream_goes_on(self, answer: EndlessAnswer) -> None:
        events = [_EVENT % (number, number) for number in (1, 2, 3)]
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(e), e) for e in events)
        good = Script((_CHUNKED + chunks + b"0\r\n\r\n",))
        self._assert_goes_on_elsewhere(answer, good, b"".join(events))

    def test_a_body_without_an_events_end(self) -> None:
        self._assert_stream_goes_on(EndlessAnswer(_UNSIZED, b"x"))

    def test_lines_without_a_blank_line(self) -> None:
        self._assert_stream_goes_on(EndlessAnswer(_UNSIZED, b"data: x\r\n"))

    def test_blank_lines_alone(self) -> None:
        self._assert_stream_goes_on(EndlessAnswer(_UNSIZED, b"\r\n"))

    def test_an_event_without_an_end_behind_good_ones(self) -> None:
        first = _UNSIZED + _EVENT % (1, 1) + b"data: "
        self._assert_stream_goes_on(EndlessAnswer(first, b"x"))

    def test_chunks_of_one_byte(self) -> None:
        self._assert_stream_goes_on(EndlessAnswer(_CHUNKED, b"1\r\nx\r\n"))

    def test_chunks_with_extensions(self) -> None:
        piece = b"1;" + b"y" * 8000 + b"\r\nx\r\n"
        self._assert_stream_goes_on(EndlessAnswer(_CHUNKED, piece))

    def test_bytes_that_drip_before_the_first_event(self) -> None:
        self._assert_stream_goes_on(EndlessAnswer(_UNSIZED, b"x", pause_s=0.02))

    def test_bytes_that_drip_in_the_middle_of_a_stream(self) -> None:
        first = _UNSIZED + _EVENT % (1, 1)
        self._assert_stream_goes_on(EndlessAnswer(first, b"x", pause_s=0.02))

    def test_blank_lines_that_drip(self) -> None:
        self._assert_stream_goes_on(
            EndlessAnswer(_UNSIZED, b"\n", pause_s=0.02)
        )

    def test_comments_that_drip(self) -> None:
        answer = EndlessAnswer(_UNSIZED, b": x\n\n", pause_s=0.02)
        good = _EVENT % (1, 1)
        reply, _, took_s = self._play(answer, Script((_UNSIZED + good,)))
        self.assertTrue(reply.is_whole)
        self.assertEqual(good, reply.body.replace(b": x\n\n", b""))
        self.assertLess(took_s, _BUDGET_MS / 1000)

    def test_comments_during_a_prefill_above_the_pause_of_a_stream(
        self,
    ) -> None:
        """The pause between events begins with the first one."""
        script = [_UNSIZED, *[b": x\n\n"] * 25, _EVENT % (1, 1)]
        route = builders.build_route(
            kind=self.kind, max_attempts=2, is_resumable=True
        )
        content = builders.build_catalog(routes=(route,))

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with (
                    trio.open_nursery() as nursery,
                    serving_scene.open_scene(content) as scene,
                ):
                    for _ in range(2):
                        runner = prefilling_runner.PrefillingRunner(script)
                        await nursery.start(runner.run)
                        scene.add_runner(runner.address)
                    reply = await scene.ask(
                        case.CALL % (b"GET /lookup/7", 8000)
                    )
                    self.assertEqual(
                        b": x\n\n" * 25 + _EVENT % (1, 1), reply.body
                    )
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_an_event_that_is_repeated_slowly(self) -> None:
        piece = _EVENT % (1, 1)
        self._assert_stream_goes_on(
            EndlessAnswer(_UNSIZED, piece, pause_s=0.02)
        )

    def test_events_without_an_id(self) -> None:
        first = _UNSIZED + _EVENT % (1, 1)
        self._assert_stream_ends(EndlessAnswer(first, b": x\r\n\r\n"))

    def test_more_events_than_tokens_were_asked_for(self) -> None:
        events = b"".join(_EVENT % (n, n) for n in range(1, 40_000))
        self._assert_stream_ends(EndlessAnswer(_UNSIZED + events))

    def _assert_stream_ends(self, answer: EndlessAnswer) -> None:
        """Check that a stream past its tokens is cut, and not as whole."""
        good = Script((_UNSIZED + b"!",))
        reply, endless, took_s = self._play(
            answer, good, headers=b"token-counts: 100,3\r\n"
        )
        # 502 if one read brought more than the bound.
        self.assertFalse(reply.is_whole and reply.status == 200)
        self.assertLess(reply.body.count(b"\r\n\r\n"), 10_000)
        self.assertLess(endless.sent_bytes, _MAX_TAKEN_BYTES)
        self.assertLess(took_s, _BUDGET_MS / 1000)


class LeavingCallerTest(testtools.TestCase):
    """A caller's close reaches a runner that sends for ever."""

    def _leave(self, answer: EndlessAnswer, kind: catalog.CallKind) -> None:
        route = builders.build_route(kind=kind, is_resumable=True)
        content = builders.build_catalog(routes=(route,))

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with (
                    trio.open_nursery() as nursery,
                    serving_scene.open_scene(content) as scene,
                ):
                    endless = endless_runner.EndlessRunner(answer)
                    await nursery.start(endless.run)
                    scene.add_runner(endless.address)
                    caller = await scene.open_caller()
                    await caller.send_all(
                        case.CALL % (b"GET /lookup/7", _BUDGET_MS)
                    )
                    while not endless.sent_bytes:
                        await trio.sleep(0.01)
                    await caller.aclose()
                    # Runners may work on for half a second.
                    with trio.fail_after(0.5):
                        while not endless.closed:
                            await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_events_that_the_caller_does_not_read(self) -> None:
        answer = EndlessAnswer(_UNSIZED, b"data: x\n\n")
        self._leave(answer, catalog.CallKind.STREAM)

    def test_bytes_that_drip(self) -> None:
        for kind in catalog.CallKind:
            self._leave(EndlessAnswer(_UNSIZED, b"x", pause_s=0.02), kind)

    def test_a_head_that_drips(self) -> None:
        for kind in catalog.CallKind:
            self._leave(EndlessAnswer(b"", b"\n", pause_s=0.02), kind)


class EjectionTest(testtools.TestCase):
    """Runners whose bytes form no answer get no requests for a while."""

    def _assert_ejected(
        self, answer: EndlessAnswer, kind: catalog.CallKind
    ) -> None:
        route = builders.build_route(kind=kind, max_attempts=1)
        content = builders.build_catalog(routes=(route,))

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with (
                    trio.open_nursery() as nursery,
                    serving_scene.open_scene(content) as scene,
                ):
                    endless = endless_runner.EndlessRunner(answer)
                    await nursery.start(endless.run)
                    scene.add_runner(endless.address, id="endless")
                    for _ in range(3):
                        reply = await scene.ask(
                            case.CALL % (b"GET /lookup/7", 500)
                        )
                        self.assertIn(reply.status, (502, 504))
                    self.assertEqual(3, endless.requests)
                    self.assertTrue(scene.parts.ejector.is_ejected("endless"))
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_of_fast_bytes(self) -> None:
        for kind in catalog.CallKind:
            self._assert_ejected(EndlessAnswer(_UNSIZED, b"x"), kind)

    def test_of_a_head_that_drips_until_the_deadline(self) -> None:
        answer = EndlessAnswer(b"HTTP/1.1 200 OK\r\nx: ", b"x", pause_s=0.02)
        for kind in catalog.CallKind:
            self._assert_ejected(answer, kind)
