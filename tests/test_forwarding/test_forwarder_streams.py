"""Streams arrive complete, resume at another runner, or end visibly cut."""

from __future__ import annotations

import dataclasses

import trio

from martenquay_core.serving import catalog
from martenquay_daemon.engines import loads, model
from martenquay_daemon.overload import messages as overload
from martenquay_standins.ports import runner as scripted
from martenquay_standins.ports.runner import Script
from tests import forwarder_case as case
from tests import serving_builders as builders
from tests import serving_scene


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


class StreamTest(case.ForwarderTestCase):
    kind = catalog.CallKind.STREAM

    def _ask_stream(
        self, *scripts: list[Script], is_resumable: bool = True
    ) -> tuple[serving_scene.Reply, list[list[bytes]]]:
        return self.ask_once(
            *scripts, content=self.build_content(is_resumable=is_resumable)
        )

    def test_a_whole_stream_ends_whole(self) -> None:
        script = Script((_stream(_event(1), _event(2)),))
        reply, _ = self._ask_stream([script])
        self.assertTrue(reply.is_whole)
        self.assertEqual(_event(1) + _event(2), reply.body)

    def test_ids_may_begin_anywhere(self) -> None:
        for first in (0, 7):
            events = _event(first) + _event(first + 1)
            reply, _ = self._ask_stream([Script((_stream(events),))])
            self.assertEqual((events, True), (reply.body, reply.is_whole))

    def test_the_events_of_a_stream_are_evidence_on_its_engine(self) -> None:
        # An event that is not noted would make its engine look overdue.
        engine = catalog.EngineTraits(24, 700_000)
        services = {"desk": builders.build_service(engine=engine)}
        content = dataclasses.replace(self.build_content(), services=services)
        noted: list[object] = []
        prompt = b"prefix-hash: bb:8000\r\ntoken-counts: 8000,80\r\n\r\n"
        call = (case.CALL % (b"GET /lookup/7", 5000))[:-2] + prompt

        async def scenario(scene: serving_scene.Scene) -> None:
            table = scene.speeds.table
            self.patch(table, "note_first_event", lambda *a: noted.append(a[1]))
            self.patch(table, "note_events", lambda *a: noted.append(a[3]))
            await scene.ask(call)
            self.assertGreater(noted[0].work_s, 0.1)
            self.assertEqual(2, sum(noted[1:]))

        script = Script((_stream(_event(1), _event(2), _event(3)),))
        self.run_scene(scenario, [script], content=content)

    def test_a_caller_without_chunks_sees_whether_a_stream_is_whole(
        self,
    ) -> None:
        old_call = (case.CALL % (b"GET /lookup/7", 5000)).replace(
            b"HTTP/1.1", b"HTTP/1.0"
        )
        for end in (_CUT, b"0\r\n\r\n"):

            async def scenario(
                scene: serving_scene.Scene, end: bytes = end
            ) -> None:
                reply = await scene.ask(old_call)
                self.assertNotIn(b"transfer-encoding", reply.headers)
                self.assertEqual(_event(1), reply.body)
                self.assertEqual(end != _CUT, reply.is_whole)

            script = Script((_stream(_event(1), end=end),))
            self.run_scene(scenario, [script])

    def test_a_broken_stream_goes_on_after_the_last_event(self) -> None:
        first = Script((_stream(_event(1), _event(2)[:5], end=_CUT),))
        rest = Script((_stream(_event(2), _event(3)),))
        whole = _event(1) + _event(2) + _event(3)

        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(case.CALL % (b"GET /lookup/7", 5000))
            if not scene.runners[0].requests:
                return
            self.assertEqual(whole, reply.body)
            self.assertTrue(reply.is_whole)
            self.assertIn(b"last-event-id: 1", scene.runners[1].requests[0])

        self.run_scene(
            scenario,
            [first],
            [rest],
            content=self.build_content(is_resumable=True),
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

    def test_events_whose_ids_do_not_rise_end_a_stream_visibly(self) -> None:
        for ids in ((1, 2, 1, 3), (1, 2, 2, 3), (1, 2, 3, 2), (9, 2, 3)):
            events = [_event(number) for number in ids]
            for raw in (_stream(*events), _stream(b"".join(events))):
                reply, _ = self._ask_stream([Script((raw,))])
                self.assertFalse(reply.is_whole, ids)
                begin = b"".join(events[: 1 if ids[0] == 9 else 2])
                self.assertTrue(reply.body.startswith(begin), reply)

    def test_a_stream_that_goes_on_may_begin_with_events_that_were_delivered(
        self,
    ) -> None:
        cut = Script((_stream(_event(1), _event(2), end=_CUT),))
        again = Script((_stream(_event(1), _event(2), _event(3)),))
        for scripts in (([cut], [again]), ([again], [cut])):
            reply, _ = self._ask_stream(*scripts)
            self.assertTrue(reply.is_whole)
            self.assertEqual(_event(1) + _event(2) + _event(3), reply.body)

    def test_the_events_before_a_gap_in_one_read_are_passed_on(self) -> None:
        # The next runner is asked to go on after them.
        gap = Script((_stream(_event(1) + _event(2) + _event(4)),))
        rest = Script((_stream(_event(3), _event(4)),))
        reply, sent = self._ask_stream([gap], [rest])
        if not sent[0]:
            reply, sent = self._ask_stream([rest], [gap])
        self.assertEqual([1, 1], [len(requests) for requests in sent])
        whole = b"".join(_event(number) for number in (1, 2, 3, 4))
        self.assertEqual(whole, reply.body)
        self.assertTrue(reply.is_whole)

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
                raw = case.CALL % (b"GET /lookup/7", 5000)
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

        self.run_scene(
            scenario, [held], content=self.build_content(is_resumable=True)
        )

    def test_a_quiet_runner_that_takes_connections_is_waited_for(self) -> None:
        held = Script((_stream(_event(1), end=_CUT),), is_held=True)

        async def scenario(scene: serving_scene.Scene) -> None:
            raw = case.CALL % (b"GET /lookup/7", 900)
            reply = await scene.ask(raw)
            self.assertEqual(_event(1), reply.body)
            asked = [sent for sent in scene.runners[0].requests if sent]
            self.assertEqual(1, len(asked))

        self.run_scene(
            scenario,
            [held],
            [held],
            content=self.build_content(is_resumable=True),
        )

    def test_a_long_prompt_is_told_to_other_daemons_at_once(self) -> None:
        engine = catalog.EngineTraits(24, 700_000)
        services = {"desk": builders.build_service(engine=engine)}
        content = dataclasses.replace(
            self.build_content(is_resumable=True), services=services
        )

        async def count_early_digests(
            scene: serving_scene.Scene, uncached: int
        ) -> int:
            prompt = b"prefix-hash: aa:500,bb:%d\r\n" % uncached
            counts = b"token-counts: %d,80\r\n\r\n" % (500 + uncached)
            call = (case.CALL % (b"GET /lookup/7", 5000))[:-2]
            before = scene.early_digests
            # Closing at once could cancel the request before it is counted.
            async with await scene.open_caller() as stream:
                await stream.send_all(call + prompt + counts)
                await serving_scene.read_reply(stream)
                await trio.sleep(0.05)
            return scene.early_digests - before

        async def scenario(scene: serving_scene.Scene) -> None:
            self.assertEqual(0, await count_early_digests(scene, 100))
            self.assertEqual(1, await count_early_digests(scene, 12_000))
            counted = b'first_event_seconds_count{service="desk"} 2'
            self.assertIn(counted, scene.parts.metrics.render())

        script = Script((_stream(_event(1)),))
        self.run_scene(scenario, [script, script], content=content)

    def test_a_request_asks_for_capacity_once_however_often_it_is_tried(
        self,
    ) -> None:
        engine = catalog.EngineTraits(24, 700_000)
        services = {"desk": builders.build_service(engine=engine)}
        content = dataclasses.replace(
            self.build_content(is_resumable=True), services=services
        )

        async def scenario(scene: serving_scene.Scene) -> None:
            scene.add_runner("127.0.0.1:1", id="gone-1")
            scene.add_runner("127.0.0.1:2", id="gone-2")
            prompt = b"prefix-hash: bb:8000\r\ntoken-counts: 8000,80\r\n\r\n"
            # The load makes the placer try the two dead runners first.
            real = scene.directory.list_all("desk")[0].id
            with scene.ledger.count(real, 90_000):
                reply = await scene.ask(
                    (case.CALL % (b"GET /lookup/7", 5000))[:-2] + prompt
                )
            self.assertEqual(_event(1), reply.body)
            rate = scene.meter.list_rates()["desk"]
            # 8,000 tokens over the meter's shortest window, which has the
            # weight of 0.94 s: counted once, not per try.
            self.assertLess(rate, 8_511.0)
            self.assertGreater(rate, 7_650.0)

        self.run_scene(
            scenario, [Script((_stream(_event(1)),))], content=content
        )

    def test_what_cannot_begin_in_time_is_rejected_at_once(self) -> None:
        engine = catalog.EngineTraits(24, 700_000)
        services = {"desk": builders.build_service(engine=engine)}
        content = dataclasses.replace(
            self.build_content(is_resumable=True), services=services
        )

        async def scenario(scene: serving_scene.Scene) -> None:
            real = scene.directory.list_all("desk")[0]
            call = case.CALL % (b"GET /lookup/7", 1000)
            for number in range(60):
                tokens = 100 * number
                result = model.FirstEvent(
                    tokens, tokens, 0.05 + tokens / 50_000
                )
                scene.estimates.note_first_event("desk", result)
                scene.estimates.note_end("desk", 2.0)
            # 30 requests queue for 6 slots of 2 s each: about 10 s.
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

        self.run_scene(
            scenario, [Script((_stream(_event(1)),))], content=content
        )

    def ask_behind_queue(
        self, *, is_gated: bool
    ) -> tuple[serving_scene.Reply, int]:
        """Ask behind a queue of 3 s; return the reply and what was sent.

        The route's target is 0.1 s and its deadline 5 s.
        """
        engine = catalog.EngineTraits(24, 700_000)
        services = {"desk": builders.build_service(engine=engine)}
        content = dataclasses.replace(
            self.build_content(is_resumable=True), services=services
        )
        found = []

        async def scenario(scene: serving_scene.Scene) -> None:
            real = scene.directory.list_all("desk")[0]
            sums = model.PrefillSums(100, 4e8, 4e8 / 50_000)
            scene.estimates.replace_source("entry-2.aa", {"desk": sums})
            # The runner's other requests wait for their first event.
            others = {real.id: loads.RunnerLoad(5, 150_000)}
            scene.ledger.replace_source("entry-2.aa", others)
            waiting = {"desk": {0: overload.BacklogEntry(5, 150_000, 50_000)}}
            scene.backlogs.replace_source("entry-2.aa", waiting)
            found.append(await scene.ask(case.CALL % (b"GET /lookup/7", 5000)))
            found.append(len(scene.runners[0].requests))

        self.run_scene(
            scenario,
            [Script((_stream(_event(1)),))],
            content=content,
            is_gated=is_gated,
        )
        return found[0], found[1]

    def test_what_would_begin_late_is_rejected_at_once(self) -> None:
        reply, sent = self.ask_behind_queue(is_gated=True)
        self.assertEqual((503, 0), (reply.status, sent))
        retry_after_s = float(reply.headers[b"retry-after"])
        # Callers wait for a third of the time that they have left at most.
        self.assertGreater(retry_after_s, 1.0)
        self.assertLess(retry_after_s, 5 / 3)

    def test_with_the_setting_off_it_is_sent_as_before(self) -> None:
        reply, sent = self.ask_behind_queue(is_gated=False)
        self.assertEqual((200, 1), (reply.status, sent))

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

        self.run_scene(scenario, [script], content=content)
