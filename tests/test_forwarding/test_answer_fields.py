"""What an answer was checked for reaches the caller with it."""

from __future__ import annotations

from martenquay_standins.ports.runner import Script
from tests import forwarder_case as case
from tests import serving_scene


class AnswerFieldsTest(case.ForwarderTestCase):
    attempts = 1

    def _ask(self, *fields: bytes) -> serving_scene.Reply:
        """Return the answer of a runner with some fields besides its own."""
        answer = case.build_answer(200, b"fine", case.SEAL, *fields)
        reply, _ = self.ask_once([Script((answer,))])
        return reply

    def test_connection_options_do_not_remove_the_seal(self) -> None:
        reply = self._ask(b"connection: close, Server-Seal")
        self.assertEqual(b"s1", reply.headers.get(b"server-seal"))

    def test_connection_options_do_not_remove_the_request_id(self) -> None:
        reply = self._ask(b"connection: attempt-id")
        self.assertEqual(b"call-1", reply.headers.get(b"attempt-id"))

    def test_connection_options_do_not_remove_what_tells_how_to_read_the_body(
        self,
    ) -> None:
        reply = self._ask(
            b"connection: content-encoding, content-type",
            b"content-encoding: identity",
            b"content-type: text/plain",
        )
        self.assertEqual(b"identity", reply.headers.get(b"content-encoding"))
        self.assertEqual(b"text/plain", reply.headers.get(b"content-type"))

    def test_connection_options_remove_other_fields(self) -> None:
        reply = self._ask(
            b"connection: x-one", b"x-one: 1", b"keep-alive: 5", b"x-two: 2"
        )
        self.assertNotIn(b"x-one", reply.headers)
        self.assertNotIn(b"keep-alive", reply.headers)
        self.assertEqual(b"2", reply.headers.get(b"x-two"))

    def test_a_body_that_is_encoded_unasked_is_broken(self) -> None:
        for value in (b"gzip", b"identity, gzip", b"GZIP", b"x-odd"):
            reply = self._ask(b"content-encoding: " + value)
            self.assertEqual(502, reply.status, value)
        self.assertEqual(200, self._ask(b"content-encoding:").status)

    def test_a_body_in_a_coding_that_the_caller_takes_is_passed_on(
        self,
    ) -> None:
        script = Script(
            (
                case.build_answer(
                    200, b"fine", case.SEAL, b"content-encoding: gzip"
                ),
            )
        )
        for accepted, status in (
            (b"gzip", 200),
            (b"identity;q=0.5, br;q=1", 200),
            (b"*", 200),
            (b"identity", 502),
            (b"gzip;q=0, identity", 502),
            (b"", 502),
        ):
            call = case.CALL % (b"GET /lookup/7", 5000)
            line = b"accept-encoding: %b\r\n\r\n" % accepted

            async def scenario(
                scene: serving_scene.Scene,
                call: bytes = call[:-2] + line,
                status: int = status,
            ) -> None:
                reply = await scene.ask(call)
                self.assertEqual(status, reply.status, call)

            self.run_scene(scenario, [script])

    def test_a_success_with_an_empty_seal_is_broken(self) -> None:
        for seals in ((b"server-seal:",), (b"server-seal: ", case.SEAL)):
            head = (b"HTTP/1.1 200 X", b"attempt-id: call-1", *seals)
            length = b"\r\ncontent-length: 4\r\n\r\nfine"
            reply, _ = self.ask_once([Script((b"\r\n".join(head) + length,))])
            self.assertEqual(502, reply.status, seals)

    def test_a_success_with_two_seals_is_broken(self) -> None:
        self.assertEqual(502, self._ask(b"server-seal: s2").status)
        self.assertEqual(200, self._ask(case.SEAL).status)

    def test_an_answer_with_the_ids_of_two_requests_is_broken(self) -> None:
        for other in (b"attempt-id: call-2", b"attempt-id: "):
            for fields in (
                (b"attempt-id: call-1", other),
                (other, b"attempt-id: call-1"),
            ):
                head = (b"HTTP/1.1 200 X", *fields, case.SEAL)
                length = b"\r\ncontent-length: 4\r\n\r\nfine"
                answer = b"\r\n".join(head) + length
                reply, _ = self.ask_once([Script((answer,))])
                self.assertEqual(502, reply.status, fields)
