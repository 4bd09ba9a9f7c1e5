"""What a caller is told is true, whatever the runners do."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_core.serving import catalog
from martenquay_daemon.engines import loads, model
from martenquay_standins.ports import runner as scripted
from martenquay_standins.ports.runner import Script
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_HANG_S = 30.0
_CALL = (
    b"%s HTTP/1.1\r\nhost: desk.example\r\nattempt-id: call-1\r\n"
    b"deadline-ms: %d\r\n\r\n"
)


def _answer(
    status: int, body: bytes = b"", *headers: bytes, call: bytes = b"call-1"
) -> bytes:
    lines = [
        b"HTTP/1.1 %d X" % status,
        b"attempt-id: " + call,
        b"content-length: %d" % len(body),
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


_SEAL = b"server-seal: s1"
_NOT_RUN = b"not-executed: 1"
_GOOD = Script((_answer(200, b"fine", _SEAL),))
_FULL = Script((_answer(503, b"", _NOT_RUN),))
_BROKEN = Script((b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab",))
_FAILED = Script((_answer(500, b"oops", _SEAL),))
_SILENT = Script(is_held=True)


class ForwarderTestCase(testtools.TestCase):
    kind = catalog.CallKind.IDEMPOTENT
    attempts = 2

    def _build(self, **changes) -> catalog.Catalog:
        route = builders.build_route(
            kind=self.kind, max_attempts=self.attempts, **changes
        )
        return builders.build_catalog(routes=(route,))

    def _run(
        self,
        scenario: Callable[[serving_scene.Scene], Awaitable[None]],
        *scripts: list[Script],
        content: catalog.Catalog | None = None,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(
                    content or self._build(), *scripts
                ) as scene:
                    await scenario(scene)

        trio.run(run)

    def _ask_once(
        self,
        *scripts: list[Script],
        budget_ms: int = 5000,
        content: catalog.Catalog | None = None,
    ) -> tuple[serving_scene.Reply, list[list[bytes]]]:
        """Return the reply and what each runner was sent."""
        found = []

        async def scenario(scene: serving_scene.Scene) -> None:
            raw = _CALL % (b"GET /lookup/7", budget_ms)
            found.append(await scene.ask(raw))
            found.append([runner.requests for runner in scene.runners])

        self._run(scenario, *scripts, content=content)
        return found[0], found[1]


class PlainCallTest(ForwarderTestCase):
    def test_the_runners_answer_goes_back_unchanged(self) -> None:
        reply, _ = self._ask_once([_GOOD])
        self.assertEqual((200, b"fine"), (reply.status, reply.body))
        self.assertEqual(b"s1", reply.headers[b"server-seal"])

    def test_the_runner_gets_the_time_that_is_left(self) -> None:
        _, sent = self._ask_once([_GOOD], budget_ms=700)
        line = [
            part
            for part in sent[0][0].split(b"\r\n")
            if part.startswith(b"deadline-ms")
        ]
        self.assertLessEqual(int(line[0].split(b":")[1]), 700)

    def test_a_caller_cannot_steer_the_runner(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            forged = b"Hold: forged\r\nPIN-MS: forged\r\nKv-From: forged\r\n"
            head, _, rest = (_CALL % (b"GET /lookup/7", 5000)).partition(b"\n")
            await scene.ask(head + b"\n" + forged + rest)
            self.assertNotIn(b"forged", scene.runners[0].requests[0])

        self._run(scenario, [_GOOD])

    def test_a_broken_answer_is_asked_for_again(self) -> None:
        reply, sent = self._ask_once([_BROKEN, _GOOD], [_BROKEN, _GOOD])
        self.assertEqual(502, reply.status)
        self.assertEqual([1, 1], [len(requests) for requests in sent])

    def test_no_runner_is_asked_twice(self) -> None:
        reply, sent = self._ask_once([_BROKEN])
        self.assertEqual(502, reply.status)
        self.assertEqual(1, len(sent[0]))

    def test_a_failure_of_all_runners_goes_back_as_they_gave_it(self) -> None:
        reply, _ = self._ask_once([_FAILED], [_FAILED])
        self.assertEqual((500, b"oops"), (reply.status, reply.body))
        self.assertEqual(b"s1", reply.headers[b"server-seal"])

    def test_an_answer_that_nobody_vouches_for_is_not_passed_on(self) -> None:
        reply, _ = self._ask_once([Script((_answer(200, b"fake"),))])
        self.assertEqual(502, reply.status)
        self.assertNotIn(b"fake", reply.body)

    def test_an_answer_to_another_request_is_not_passed_on(self) -> None:
        foreign = Script((_answer(200, b"else", _SEAL, call=b"call-9"),))
        reply, _ = self._ask_once([foreign])
        self.assertEqual(502, reply.status)

    def test_without_runners_it_has_not_run(self) -> None:
        reply, _ = self._ask_once()
        self.assertEqual(503, reply.status)
        self.assertIn(b"retry-after", reply.headers)

    def test_an_unknown_route_is_told_at_once(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(_CALL % (b"GET /nothing/", 5000))
            self.assertEqual(404, reply.status)

        self._run(scenario, [_GOOD])

    def test_before_the_first_configuration_nothing_is_denied(self) -> None:
        empty = catalog.create_empty_catalog()

        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(_CALL % (b"GET /nothing/", 5000))
            self.assertEqual(503, reply.status)
            self.assertIn(b"retry-after", reply.headers)

        self._run(scenario, content=empty)

    def test_the_answer_comes_when_the_time_is_over(self) -> None:
        reply, _ = self._ask_once([_SILENT], budget_ms=150)
        self.assertEqual(504, reply.status)
        self.assertNotIn(b"retry-after", reply.headers)

    def test_the_routes_time_binds_as_the_callers_does(self) -> None:
        content = self._build(timeout_s=0.15)
        reply, _ = self._ask_once([_SILENT], content=content)
        self.assertEqual(504, reply.status)

    def test_a_caller_that_leaves_ends_the_work(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            caller = await scene.open_caller()
            # The time would be over long after the test has given up.
            await caller.send_all(_CALL % (b"GET /lookup/7", 600_000))
            while not scene.runners[0].requests:
                await trio.sleep(0.01)
            await caller.aclose()
            await scene.runners[0].closed.wait()

        self._run(scenario, [_SILENT], content=self._build(timeout_s=600.0))


class AtMostOnceTest(ForwarderTestCase):
    kind = catalog.CallKind.NON_IDEMPOTENT
    attempts = 3

    def test_a_lost_answer_is_not_asked_for_again(self) -> None:
        reply, sent = self._ask_once([_BROKEN], [_GOOD])
        reached = sum(len(requests) for requests in sent)
        self.assertEqual(1, reached)
        self.assertIn(reply.status, {200, 502})

    def test_what_did_not_run_goes_to_another_runner(self) -> None:
        reply, sent = self._ask_once([_FULL], [_FULL], [_FULL])
        self.assertEqual([1, 1, 1], [len(requests) for requests in sent])
        self.assertEqual(503, reply.status)
        self.assertIn(b"retry-after", reply.headers)

    def test_a_refusal_without_that_word_is_no_promise(self) -> None:
        unmarked = Script((_answer(503, b"", _SEAL),))
        reply, sent = self._ask_once([unmarked], [unmarked])
        self.assertEqual(502, reply.status)
        self.assertNotIn(b"server-seal", reply.headers)
        self.assertEqual(1, sum(len(requests) for requests in sent))

    def test_a_runner_that_cannot_be_reached_costs_nothing(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            scene.add_runner("127.0.0.1:1", id="dead")
            for _ in range(6):
                raw = _CALL % (b"GET /lookup/7", 5000)
                reply = await scene.ask(raw)
                self.assertEqual(200, reply.status)

        self._run(scenario, [_GOOD])

    def test_a_reused_address_is_found_out_and_left_alone(self) -> None:
        moved = Script((_answer(421),))

        async def scenario(scene: serving_scene.Scene) -> None:
            raw = _CALL % (b"GET /lookup/7", 5000)
            for _ in range(6):
                self.assertEqual(200, (await scene.ask(raw)).status)
            self.assertLessEqual(len(scene.runners[0].requests), 1)

        self._run(scenario, [moved], [_GOOD])


class AllowanceTest(ForwarderTestCase):
    def _build_limited(self) -> catalog.Catalog:
        team = builders.build_team(rate=1.0, burst=1.0)
        return builders.build_catalog(teams=(team,))

    def test_a_team_over_its_allowance_is_told_when_to_come_back(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            raw = (
                b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"
                b"attempt-id: call-1\r\nauthorization: Token key-1\r\n\r\n"
            )
            reply = await scene.ask(raw)
            self.assertEqual(429, reply.status)
            self.assertIn(b"retry-after", reply.headers)
            self.assertEqual([], scene.runners[0].requests)

        self._run(scenario, [_GOOD], content=self._build_limited())

    def test_a_key_of_nobody_is_refused(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(_CALL % (b"GET /lookup/7", 5000))
            self.assertEqual(401, reply.status)
            self.assertEqual([], scene.runners[0].requests)

        self._run(scenario, [_GOOD], content=self._build_limited())


def _stream(*events: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    head = (
        b"HTTP/1.1 200 OK\r\nattempt-id: call-1\r\nserver-seal: s1\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    chunks = [b"%x\r\n%s\r\n" % (len(e), e) for e in events]
    return head + b"".join(chunks) + end


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


_CUT = b""


class StreamTest(ForwarderTestCase):
    kind = catalog.CallKind.STREAM

    def _ask_stream(
        self, *scripts: list[Script], is_resumable: bool = True
    ) -> tuple[serving_scene.Reply, list[list[bytes]]]:
        return self._ask_once(
            *scripts, content=self._build(is_resumable=is_resumable)
        )

    def test_a_whole_stream_ends_whole(self) -> None:
        script = Script((_stream(_event(1), _event(2)),))
        reply, _ = self._ask_stream([script])
        self.assertTrue(reply.is_whole)
        self.assertEqual(_event(1) + _event(2), reply.body)

    def test_a_broken_stream_goes_on_after_the_last_event(self) -> None:
        first = Script((_stream(_event(1), _event(2)[:5], end=_CUT),))
        rest = Script((_stream(_event(2), _event(3)),))
        whole = _event(1) + _event(2) + _event(3)

        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(_CALL % (b"GET /lookup/7", 5000))
            if not scene.runners[0].requests:
                return
            self.assertEqual(whole, reply.body)
            self.assertTrue(reply.is_whole)
            self.assertIn(b"last-event-id: 1", scene.runners[1].requests[0])

        self._run(
            scenario, [first], [rest], content=self._build(is_resumable=True)
        )

    def test_events_that_were_delivered_are_not_sent_again(self) -> None:
        cut = Script((_stream(_event(1), _event(2), end=_CUT),))
        again = Script((_stream(_event(1), _event(2), _event(3)),))
        reply, _ = self._ask_stream([cut, again], [again, cut])
        self.assertEqual(1, reply.body.count(b"token 2\n"))

    def test_a_gap_between_events_is_never_passed_on(self) -> None:
        gap = Script((_stream(_event(1), _event(3)),))
        reply, _ = self._ask_stream([gap])
        self.assertFalse(reply.is_whole)
        self.assertNotIn(b"token 3", reply.body)

    def test_a_stream_that_cannot_go_on_does_not_look_whole(self) -> None:
        cut = Script((_stream(_event(1), end=_CUT),))
        reply, sent = self._ask_stream([cut], [cut], is_resumable=False)
        self.assertFalse(reply.is_whole)
        self.assertEqual(1, sum(len(requests) for requests in sent))

    def test_half_an_event_is_never_sent(self) -> None:
        cut = Script((_stream(_event(1), _event(2)[:9], end=_CUT),))
        reply, _ = self._ask_stream([cut], is_resumable=False)
        self.assertEqual(_event(1), reply.body)

    def test_a_stream_of_a_runner_that_is_gone_goes_on_elsewhere(self) -> None:
        held = Script((_stream(_event(1), end=_CUT),), is_held=True)
        rest = Script((_stream(_event(2), _event(3)),))

        async def scenario(scene: serving_scene.Scene) -> None:
            replies: list[serving_scene.Reply] = []

            async def ask() -> None:
                raw = _CALL % (b"GET /lookup/7", 5000)
                replies.append(await scene.ask(raw))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                while not scene.runners[0].requests:
                    await trio.sleep(0.01)
                scene.runners[0].stop_listening()
                other = scripted.ScriptedRunner([rest])
                await nursery.start(other.run)
                scene.add_runner(other.address)
                while not replies:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            whole = _event(1) + _event(2) + _event(3)
            self.assertEqual(whole, replies[0].body)
            self.assertTrue(replies[0].is_whole)

        self._run(scenario, [held], content=self._build(is_resumable=True))

    def test_a_quiet_runner_that_takes_connections_is_waited_for(self) -> None:
        held = Script((_stream(_event(1), end=_CUT),), is_held=True)

        async def scenario(scene: serving_scene.Scene) -> None:
            raw = _CALL % (b"GET /lookup/7", 900)
            reply = await scene.ask(raw)
            self.assertEqual(_event(1), reply.body)
            asked = [sent for sent in scene.runners[0].requests if sent]
            self.assertEqual(1, len(asked))

        self._run(
            scenario, [held], [held], content=self._build(is_resumable=True)
        )

    def test_a_long_prompt_is_told_to_other_daemons_at_once(self) -> None:
        engine = catalog.EngineTraits(24, 700_000)
        services = {"desk": builders.build_service(engine=engine)}
        content = dataclasses.replace(
            self._build(is_resumable=True), services=services
        )

        async def count_hurries(scene: serving_scene.Scene, own: int) -> int:
            prompt = b"prefix-hash: aa:500,bb:%d\r\n" % own
            counts = b"token-counts: %d,80\r\n\r\n" % (500 + own)
            call = (_CALL % (b"GET /lookup/7", 5000))[:-2]
            before = scene.hurries
            # Whoever leaves at once may go before it is counted.
            async with await scene.open_caller() as stream:
                await stream.send_all(call + prompt + counts)
                await serving_scene.read_reply(stream)
                await trio.sleep(0.05)
            return scene.hurries - before

        async def scenario(scene: serving_scene.Scene) -> None:
            self.assertEqual(0, await count_hurries(scene, 100))
            self.assertEqual(1, await count_hurries(scene, 12_000))
            counted = b'first_event_seconds_count{service="desk"} 2'
            self.assertIn(counted, scene.parts.metrics.render())

        script = Script((_stream(_event(1)),))
        self._run(scenario, [script, script], content=content)

    def test_a_request_asks_for_capacity_once_however_often_it_is_tried(
        self,
    ) -> None:
        engine = catalog.EngineTraits(24, 700_000)
        services = {"desk": builders.build_service(engine=engine)}
        content = dataclasses.replace(
            self._build(is_resumable=True), services=services
        )

        async def scenario(scene: serving_scene.Scene) -> None:
            scene.add_runner("127.0.0.1:1", id="gone-1")
            scene.add_runner("127.0.0.1:2", id="gone-2")
            prompt = b"prefix-hash: bb:8000\r\ntoken-counts: 8000,80\r\n\r\n"
            # The two that are gone look better than the one that serves.
            real = scene.directory.list_all("desk")[0].id
            with scene.ledger.count(real, 90_000):
                reply = await scene.ask(
                    (_CALL % (b"GET /lookup/7", 5000))[:-2] + prompt
                )
            self.assertEqual(_event(1), reply.body)
            rate = scene.meter.list_rates()["desk"]
            # 8,000 tokens over the meter's 8 s.
            self.assertLess(rate, 1001.0)
            self.assertGreater(rate, 900.0)

        self._run(scenario, [Script((_stream(_event(1)),))], content=content)

    def test_what_cannot_begin_in_time_is_rejected_at_once(self) -> None:
        engine = catalog.EngineTraits(24, 700_000)
        services = {"desk": builders.build_service(engine=engine)}
        content = dataclasses.replace(
            self._build(is_resumable=True), services=services
        )

        async def scenario(scene: serving_scene.Scene) -> None:
            real = scene.directory.list_all("desk")[0]
            call = _CALL % (b"GET /lookup/7", 1000)
            for number in range(60):
                own = 100 * number
                result = model.FirstEvent(own, own, 0.05 + own / 50_000)
                scene.estimates.note_first_event("desk", result)
                scene.estimates.note_end("desk", 2.0)
            # Each waits for the end of one before it: 30 of 6 slots' 2 s.
            others = {real.id: loads.RunnerLoad(real.slots + 30)}
            scene.ledger.replace_source("entry-2.aa", others)
            started = trio.current_time()
            reply = await scene.ask(call)
            self.assertEqual(503, reply.status)
            self.assertGreater(float(reply.headers[b"retry-after"]), 1.0)
            self.assertLess(trio.current_time() - started, 0.5)
            self.assertEqual([], scene.runners[0].requests)
            scene.ledger.replace_source("entry-2.aa", {})
            self.assertEqual(200, (await scene.ask(call)).status)

        self._run(scenario, [Script((_stream(_event(1)),))], content=content)

    def test_usage_counts_a_stream_once_it_has_begun(self) -> None:
        script = Script((_stream(_event(1)),))
        team = builders.build_team()
        route = builders.build_route(kind=self.kind)
        content = builders.build_catalog(routes=(route,), teams=(team,))

        async def scenario(scene: serving_scene.Scene) -> None:
            raw = (
                b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"
                b"attempt-id: call-1\r\nauthorization: Token key-1\r\n\r\n"
            )
            await scene.ask(raw)
            self.assertEqual({0: {"florists": 1}}, scene.usage.list_counts())

        self._run(scenario, [script], content=content)
