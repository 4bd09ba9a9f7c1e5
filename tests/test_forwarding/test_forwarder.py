"""Answers to callers are true, whatever the runners do."""

from __future__ import annotations

import trio

from martenquay_core.serving import catalog
from martenquay_daemon.forwarding import retry_window
from martenquay_standins.ports.runner import Script
from tests import forwarder_case as case
from tests import serving_builders as builders
from tests import serving_scene


class PlainCallTest(case.ForwarderTestCase):
    def test_the_runners_answer_goes_back_unchanged(self) -> None:
        reply, _ = self.ask_once([case.GOOD])
        self.assertEqual((200, b"fine"), (reply.status, reply.body))
        self.assertEqual(b"s1", reply.headers[b"server-seal"])

    def test_the_runner_gets_the_time_that_is_left(self) -> None:
        _, sent = self.ask_once([case.GOOD], budget_ms=700)
        line = [
            part
            for part in sent[0][0].split(b"\r\n")
            if part.startswith(b"deadline-ms")
        ]
        self.assertLessEqual(int(line[0].split(b":")[1]), 700)

    def test_a_caller_cannot_steer_the_runner(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            forged = b"Hold: forged\r\nPIN-MS: forged\r\nKv-From: forged\r\n"
            head, _, rest = (case.CALL % (b"GET /lookup/7", 5000)).partition(
                b"\n"
            )
            await scene.ask(head + b"\n" + forged + rest)
            self.assertNotIn(b"forged", scene.runners[0].requests[0])

        self.run_scene(scenario, [case.GOOD])

    def test_a_broken_answer_is_asked_for_again(self) -> None:
        reply, sent = self.ask_once(
            [case.BROKEN, case.GOOD], [case.BROKEN, case.GOOD]
        )
        self.assertEqual(502, reply.status)
        self.assertEqual([1, 1], [len(requests) for requests in sent])

    def test_no_runner_is_asked_twice(self) -> None:
        reply, sent = self.ask_once([case.BROKEN])
        self.assertEqual(502, reply.status)
        self.assertEqual(1, len(sent[0]))

    def test_a_failure_of_all_runners_goes_back_as_they_gave_it(self) -> None:
        reply, _ = self.ask_once([case.FAILED], [case.FAILED])
        self.assertEqual((500, b"oops"), (reply.status, reply.body))
        self.assertEqual(b"s1", reply.headers[b"server-seal"])

    def test_an_answer_that_nobody_vouches_for_is_not_passed_on(self) -> None:
        reply, _ = self.ask_once([Script((case.build_answer(200, b"fake"),))])
        self.assertEqual(502, reply.status)
        self.assertNotIn(b"fake", reply.body)

    def test_an_answer_to_another_request_is_not_passed_on(self) -> None:
        foreign = Script(
            (case.build_answer(200, b"else", case.SEAL, call=b"call-9"),)
        )
        reply, _ = self.ask_once([foreign])
        self.assertEqual(502, reply.status)

    def test_without_runners_it_has_not_run(self) -> None:
        reply, _ = self.ask_once()
        self.assertEqual(503, reply.status)
        self.assertIn(b"retry-after", reply.headers)

    def test_an_unknown_route_is_told_at_once(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(case.CALL % (b"GET /nothing/", 5000))
            self.assertEqual(404, reply.status)

        self.run_scene(scenario, [case.GOOD])

    def test_before_the_first_configuration_nothing_is_denied(self) -> None:
        empty = catalog.create_empty_catalog()

        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(case.CALL % (b"GET /nothing/", 5000))
            self.assertEqual(503, reply.status)
            self.assertIn(b"retry-after", reply.headers)

        self.run_scene(scenario, content=empty)

    def test_the_answer_comes_when_the_time_is_over(self) -> None:
        reply, _ = self.ask_once([case.SILENT], budget_ms=150)
        self.assertEqual(504, reply.status)
        self.assertNotIn(b"retry-after", reply.headers)

    def test_the_routes_time_binds_as_the_callers_does(self) -> None:
        content = self.build_content(timeout_s=0.15)
        reply, _ = self.ask_once([case.SILENT], content=content)
        self.assertEqual(504, reply.status)

    def test_a_caller_that_leaves_ends_the_work(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            caller = await scene.open_caller()
            # The time would be over long after the test has given up.
            await caller.send_all(case.CALL % (b"GET /lookup/7", 600_000))
            while not scene.runners[0].requests:
                await trio.sleep(0.01)
            await caller.aclose()
            await scene.runners[0].closed.wait()

        self.run_scene(
            scenario, [case.SILENT], content=self.build_content(timeout_s=600.0)
        )


class AtMostOnceTest(case.ForwarderTestCase):
    kind = catalog.CallKind.NON_IDEMPOTENT
    attempts = 3

    def test_a_lost_answer_is_not_asked_for_again(self) -> None:
        reply, sent = self.ask_once([case.BROKEN], [case.GOOD])
        reached = sum(len(requests) for requests in sent)
        self.assertEqual(1, reached)
        self.assertIn(reply.status, {200, 502})

    def test_what_did_not_run_goes_to_another_runner(self) -> None:
        reply, sent = self.ask_once([case.FULL], [case.FULL], [case.FULL])
        self.assertEqual([1, 1, 1], [len(requests) for requests in sent])
        self.assertEqual(503, reply.status)
        self.assertIn(b"retry-after", reply.headers)

    def test_a_refusal_without_that_word_is_no_promise(self) -> None:
        unmarked = Script((case.build_answer(503, b"", case.SEAL),))
        reply, sent = self.ask_once([unmarked], [unmarked])
        self.assertEqual(502, reply.status)
        self.assertNotIn(b"server-seal", reply.headers)
        self.assertEqual(1, sum(len(requests) for requests in sent))

    def test_a_runner_that_cannot_be_reached_costs_nothing(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            scene.add_runner("127.0.0.1:1", id="dead")
            for _ in range(6):
                raw = case.CALL % (b"GET /lookup/7", 5000)
                reply = await scene.ask(raw)
                self.assertEqual(200, reply.status)

        self.run_scene(scenario, [case.GOOD])

    def test_a_reused_address_is_found_out_and_left_alone(self) -> None:
        moved = Script((case.build_answer(421),))

        async def scenario(scene: serving_scene.Scene) -> None:
            raw = case.CALL % (b"GET /lookup/7", 5000)
            for _ in range(6):
                self.assertEqual(200, (await scene.ask(raw)).status)
            self.assertLessEqual(len(scene.runners[0].requests), 1)

        self.run_scene(scenario, [moved], [case.GOOD])

    def test_a_request_that_met_another_runner_counts_as_sent_again(
        self,
    ) -> None:
        """Guards against retries past the budget.

        Runners restarted at each other's addresses reject a request each, and
        each of these sends has to count as a retry.
        """
        moved = Script((case.build_answer(421),))

        async def scenario(scene: serving_scene.Scene) -> None:
            scene.parts.retries.bounds = retry_window.RetryBounds(0, 10.0, 0)
            raw = case.CALL % (b"GET /lookup/7", 5000)
            reply = await scene.ask(raw)
            self.assertEqual(503, reply.status)
            sent = [len(runner.requests) for runner in scene.runners]
            self.assertEqual([0, 0, 1], sorted(sent))

        self.run_scene(scenario, [moved], [moved], [moved])


class AllowanceTest(case.ForwarderTestCase):
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

        self.run_scene(scenario, [case.GOOD], content=self._build_limited())

    def test_a_key_of_nobody_is_refused(self) -> None:
        async def scenario(scene: serving_scene.Scene) -> None:
            reply = await scene.ask(case.CALL % (b"GET /lookup/7", 5000))
            self.assertEqual(401, reply.status)
            self.assertEqual([], scene.runners[0].requests)

        self.run_scene(scenario, [case.GOOD], content=self._build_limited())
