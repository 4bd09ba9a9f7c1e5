"""Each kind of request, valid or not, gets its answer end to end."""

from __future__ import annotations

from martenquay_standins import engine, partners
from tests import scenarios


class WholePathTest(scenarios.ScenarioTestCase):
    def test_each_kind_of_request_is_answered_through_separate_processes(self):
        async def scenario(scene: scenarios.Scene) -> None:
            await scene.world.add_engine(partners.SERRANA, "serra-a", "model-1")
            await scene.world.add_service(partners.SERRANA, "serra-b", "desk-1")
            daemons = await scene.start_processes(partners.SERRANA, 2)
            prompt = "user: hello"
            expected = "".join(engine.make_token(prompt, i) for i in range(8))

            whole = await scene.caller.chat(daemons[0])
            self.assertEqual(expected, whole.read_text())
            streamed = await scene.caller.chat(daemons[1], stream=True)
            self.assertEqual(expected, streamed.read_text())
            self.assertTrue(streamed.is_unbroken())

            status = await scene.caller.send(
                daemons[0], "GET", "/services/status/orders/7"
            )
            self.assertEqual("/orders/7", status.read_json()["path"])

            accepted = await scene.caller.chat(daemons[0], "review")
            self.assertEqual(1001, accepted.code)
            ticket = accepted.read_json()["ticket"]
            answer = await scene.caller.fetch_answer(daemons[1], ticket)
            self.assertEqual(expected, answer.read_text())

        self.run_scene(scenario)

    def test_a_runner_with_malformed_load_reports_ends_no_daemon(self):
        async def scenario(scene: scenarios.Scene) -> None:
            runner = await scene.world.add_engine(
                partners.SERRANA, "serra-a", "model-1"
            )
            (daemon,) = await scene.start_processes(partners.SERRANA, 1)
            runner.set_faults({"odd_load": True})
            expected_reports = runner.reports + 5

            async def has_polled_or_ended() -> bool:
                ended = daemon.process.poll() is not None
                return ended or runner.reports >= expected_reports

            await scene.wait_until(has_polled_or_ended)
            self.assertIsNone(daemon.process.poll())
            self.assertEqual(200, (await scene.caller.chat(daemon)).status)

        self.run_scene(scenario)

    def test_invalid_requests_get_their_result_codes(self):
        async def scenario(scene: scenarios.Scene) -> None:
            daemons = await scene.start_daemons(
                partners.SERRANA, 1, limits={"body_bytes": 1000}
            )
            unknown_caller = scenarios.Caller(scene.client, "nobody")
            chat_path = "/v1/chat/completions"
            send = scene.caller.send
            replies = {
                2003: await unknown_caller.chat(daemons[0]),
                2001: await send(daemons[0], "POST", chat_path, b"{not json"),
                2002: await send(daemons[0], "POST", chat_path, b"x" * 2000),
                2004: await scene.caller.chat(daemons[0], "nowhere"),
                2005: await scene.caller.fetch(daemons[0], "counter.none"),
                3002: await scene.caller.chat(daemons[0]),
            }
            for code, reply in replies.items():
                self.assertEqual(code, reply.code)
                self.assertEqual(code, reply.read_json()["code"])
            self.assertIn(b"retry-after", replies[3002].headers)

        self.run_scene(scenario)
