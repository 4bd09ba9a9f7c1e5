"""An answer whose head is not valid HTTP is passed on to no caller."""

from __future__ import annotations

from martenquay_core.serving import catalog
from martenquay_standins.ports.runner import Script
from tests import forwarder_case as case
from tests import serving_scene

_STATUS_LINE = b"HTTP/1.1 200 OK"
_FIELDS = b"attempt-id: call-1\r\nserver-seal: s1\r\n"
_BODY = b"id: 1\n\n"
_END = b"content-length: %d\r\n\r\n%b" % (len(_BODY), _BODY)
_CHUNKS = b"8\r\n%b\r\n0\r\n\r\n" % _BODY


class InvalidHeadTest(case.ForwarderTestCase):
    attempts = 1

    def _ask(self, answer: bytes) -> serving_scene.Reply:
        reply, _ = self.ask_once([Script((answer,))])
        return reply

    def assert_not_passed_on(self, answer: bytes) -> None:
        """Check that the caller gets an answer of the daemon, and no more."""
        reply = self._ask(answer)
        seen = f"{answer!r}: {reply}"
        self.assertEqual(502, reply.status, seen)
        self.assertTrue(reply.is_whole, seen)
        self.assertNotIn(b"server-seal", reply.headers, seen)
        self.assertNotIn(_BODY, reply.body, seen)

    def assert_refuses_status_line(self, *lines: bytes) -> None:
        for line in lines:
            self.assert_not_passed_on(line + b"\r\n" + _FIELDS + _END)

    def assert_refuses_field(self, *lines: bytes) -> None:
        """Check heads with a line, wherever it stands among the fields."""
        first, second, _ = _FIELDS.split(b"\r\n")
        for line in lines:
            for fields in (
                (line, first, second),
                (first, line, second),
                (first, second, line),
            ):
                head = b"\r\n".join((_STATUS_LINE, *fields))
                self.assert_not_passed_on(head + b"\r\n" + _END)

    def test_a_valid_head_is_passed_on(self) -> None:
        reply = self._ask(_STATUS_LINE + b"\r\n" + _FIELDS + _END)
        self.assertEqual((200, _BODY), (reply.status, reply.body))

    def test_a_blank_before_the_body_is_passed_on(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\nx-odd: 1\r\n\r\n"
        body = b"\n id: 1\n\n"
        length = b"content-length: %d\r\n\r\n" % len(body)
        reply = self._ask(
            interim + _STATUS_LINE + b"\r\n" + _FIELDS + length + body
        )
        self.assertEqual((200, body), (reply.status, reply.body))

    def test_tabs_and_bytes_beyond_ascii_in_a_value_are_passed_on(self) -> None:
        line = b"x-odd: caf\xc3\xa9\tau \xff\r\n"
        reply = self._ask(_STATUS_LINE + b"\r\n" + _FIELDS + line + _END)
        self.assertEqual(b"caf\xc3\xa9\tau \xff", reply.headers[b"x-odd"])

    def test_a_status_of_zeros(self) -> None:
        self.assert_refuses_status_line(
            b"HTTP/1.1 000 OK", b"HTTP/1.1 000", b"HTTP/1.0 000 OK"
        )

    def test_a_status_below_any_class(self) -> None:
        self.assert_refuses_status_line(
            b"HTTP/1.1 001 OK", b"HTTP/1.1 020 OK", b"HTTP/1.1 099 OK"
        )

    def test_a_status_above_any_class(self) -> None:
        self.assert_refuses_status_line(
            b"HTTP/1.1 600 OK", b"HTTP/1.1 700 OK", b"HTTP/1.1 999 OK"
        )

    def test_a_status_that_is_no_number_of_three_digits(self) -> None:
        self.assert_refuses_status_line(
            b"HTTP/1.1 20 OK",
            b"HTTP/1.1 2000 OK",
            b"HTTP/1.1 -20 OK",
            b"HTTP/1.1 2x0 OK",
            b"HTTP/1.1  OK",
            b"HTTP/1.1",
        )

    def test_an_interim_status_in_place_of_an_answer(self) -> None:
        self.assert_refuses_status_line(b"HTTP/1.1 101 OK", b"HTTP/1.1 150 OK")

    def test_a_blank_in_the_name_of_a_field(self) -> None:
        self.assert_refuses_field(
            b"x odd: 1", b"x\todd: 1", b"x-odd : 1", b"x-odd\t: 1"
        )

    def test_a_control_byte_in_the_name_of_a_field(self) -> None:
        self.assert_refuses_field(
            *(b"x%codd: 1" % byte for byte in (0, 1, 8, 11, 12, 27, 127))
        )

    def test_a_control_byte_in_the_value_of_a_field(self) -> None:
        self.assert_refuses_field(
            *(b"x-odd: a%cb" % byte for byte in (0, 1, 8, 11, 12, 13, 27, 127))
        )

    def test_a_control_byte_in_the_status_line(self) -> None:
        self.assert_refuses_status_line(
            b"HTTP/1.1 200 O\x00K", b"HTTP/1.1 200 O\x01K", b"HTTP/1.1\x0b200"
        )

    def test_a_byte_beyond_ascii_in_the_name_of_a_field(self) -> None:
        self.assert_refuses_field(b"x\x80odd: 1", b"x\xffodd: 1")

    def test_a_line_that_is_no_field(self) -> None:
        self.assert_refuses_field(b"x-odd", b": 1", b"x-odd; 1")

    def test_a_blank_in_the_name_of_a_field_that_frames_the_body(self) -> None:
        for line in (
            b"content-length : 3",
            b"content length: 3",
            b"content-length\x00: 3",
        ):
            self.assert_not_passed_on(
                b"%b\r\n%b%b\r\n\r\n%b" % (_STATUS_LINE, _FIELDS, line, _BODY)
            )
        for line in (
            b"transfer-encoding : chunked",
            b"transfer encoding: chunked",
            b"transfer-encoding\x01: chunked",
        ):
            self.assert_not_passed_on(
                b"%b\r\n%b%b\r\n\r\n%b" % (_STATUS_LINE, _FIELDS, line, _CHUNKS)
            )

    def test_a_blank_before_the_name_of_a_field(self) -> None:
        self.assert_refuses_field(b" x-odd: 1", b"\tx-odd: 1")

    def test_a_blank_before_the_name_of_a_field_that_frames_the_body(
        self,
    ) -> None:
        for blank in (b" ", b"\t"):
            for line, body in (
                (b"content-length: 3", _BODY),
                (b"transfer-encoding: chunked", _CHUNKS),
            ):
                self.assert_not_passed_on(
                    b"%b\r\n%b%b%b\r\n\r\n%b"
                    % (_STATUS_LINE, _FIELDS, blank, line, body)
                )

    def test_a_blank_before_the_name_of_a_field_of_an_interim_answer(
        self,
    ) -> None:
        self.assert_not_passed_on(
            b"HTTP/1.1 103 Early Hints\r\nx-odd: 1\r\n x-even: 1\r\n\r\n"
            + _STATUS_LINE
            + b"\r\n"
            + _FIELDS
            + _END
        )


class InvalidStreamHeadTest(InvalidHeadTest):
    """The same on a route of streams, whose answers are not held."""

    kind = catalog.CallKind.STREAM

    def test_a_valid_head_is_passed_on(self) -> None:
        event = b"id: 1\ndata: token 1\n\n"
        length = b"content-length: %d\r\n\r\n" % len(event)
        reply = self._ask(_STATUS_LINE + b"\r\n" + _FIELDS + length + event)
        self.assertEqual((200, event), (reply.status, reply.body))
