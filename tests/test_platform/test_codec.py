"""Headers are decoded and encoded; reserved ones are not forwarded."""

from __future__ import annotations

import testtools

from martenquay_core.serving import calls, signals
from martenquay_platform import codec

_HEADERS = [
    (b"host", b"Desk.Example:80"),
    (b"attempt-id", b"9c41"),
    (b"deadline-ms", b"8000"),
    (b"authorization", b"Token secret"),
    (b"token-counts", b"1460,80"),
    (b"prefix-hash", b"5c1e:800,91bd:410,e440:250"),
    (b"last-event-id", b"12"),
    (b"resumes", b"7a02"),
    (b"tenant", b"somebody-else"),
    (b"connection", b"keep-alive, x-private"),
    (b"x-private", b"1"),
    (b"x-kept", b"yes"),
]

# Set by the daemon alone; a caller could otherwise control a runner by them.
_DAEMON_ONLY_HEADERS = (
    b"hold",
    b"pin-ms",
    b"kv-backup",
    b"kv-from",
    b"kv-fetch",
    b"expect-instance",
    b"expect-version",
    b"request-priority",
    b"tenant",
)


class CallTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.codec = codec.create_codec()
        self.call = self.codec.decode_call("POST", "/a/b?c=d", _HEADERS)

    def test_request_headers_are_decoded_into_typed_fields(self) -> None:
        self.assertEqual("9c41", self.call.id)
        self.assertEqual("desk.example", self.call.host)
        self.assertEqual("/a/b", self.call.path)
        self.assertEqual(8.0, self.call.budget_s)
        self.assertEqual("secret", self.call.key)
        self.assertEqual(
            (1460, 80), (self.call.tokens_in, self.call.tokens_out)
        )
        self.assertEqual([800, 410, 250], [p.tokens for p in self.call.prompt])
        self.assertEqual(12, self.call.resume_after)
        self.assertEqual("7a02", self.call.resumed_id)

    def test_the_runner_gets_neither_the_key_nor_a_forged_team(self) -> None:
        options = calls.AttemptOptions("i-1", 1.5, team="florists", urgency=2)
        sent = dict(self.codec.encode_attempt(self.call, options))
        self.assertNotIn(b"authorization", sent)
        self.assertEqual(b"florists", sent[b"tenant"])
        self.assertEqual(b"i-1", sent[b"expect-instance"])

    def test_reserved_headers_of_callers_are_dropped(self) -> None:
        for name in _DAEMON_ONLY_HEADERS:
            # Sent twice, as a filter might drop only one of them.
            headers = [*_HEADERS, (name, b"forged"), (name, b"forged")]
            call = self.codec.decode_call("GET", "/", headers)
            sent = self.codec.encode_attempt(
                call, calls.AttemptOptions("i-1", 1.5)
            )
            self.assertNotIn((name, b"forged"), sent)

    def test_a_stream_resumes_after_the_last_delivered_event(self) -> None:
        requested_id = self.call.resume_after
        for last_id in (requested_id, 15):
            options = calls.AttemptOptions("i-1", 1.5, resume_after=last_id)
            sent = self.codec.encode_attempt(self.call, options)
            values = [value for name, value in sent if name == b"last-event-id"]
            self.assertEqual([b"%d" % last_id], values)

    def test_a_copy_is_named_by_its_source_and_handle(self) -> None:
        source = calls.KvSource("10.0.0.1:8080", "h-7")
        options = calls.AttemptOptions("i-1", 1.5, kv_source=source)
        sent = dict(self.codec.encode_attempt(self.call, options))
        self.assertEqual(b"10.0.0.1:8080/h-7", sent[b"kv-from"])

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        options = calls.AttemptOptions("i-1", 1.5)
        sent = dict(self.codec.encode_attempt(self.call, options))
        self.assertNotIn(b"x-private", sent)
        self.assertNotIn(b"connection", sent)
        self.assertEqual(b"yes", sent[b"x-kept"])
        self.assertEqual(b"9c41", sent[b"attempt-id"])

    def test_the_forwarded_deadline_is_rounded_down(self) -> None:
        options = calls.AttemptOptions("i-1", 0.4999)
        sent = dict(self.codec.encode_attempt(self.call, options))
        self.assertEqual(b"499", sent[b"deadline-ms"])

    def test_a_request_without_key_and_deadline_has_none(self) -> None:
        call = self.codec.decode_call("GET", "/", [(b"host", b"a")])
        self.assertIsNone(call.key)
        self.assertIsNone(call.budget_s)


class AnswerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.codec = codec.create_codec()

    def test_only_the_header_or_status_421_says_that_a_request_did_not_run(
        self,
    ) -> None:
        unmarked = self.codec.decode_answer(503, [])
        marked = self.codec.decode_answer(503, [(b"not-executed", b"1")])
        misdirected = self.codec.decode_answer(421, [])
        self.assertFalse(unmarked.did_not_run)
        self.assertTrue(marked.did_not_run)
        self.assertTrue(misdirected.did_not_run)
        self.assertTrue(misdirected.is_wrong_runner)

    def test_the_seal_is_returned_to_the_caller_and_framing_is_not(
        self,
    ) -> None:
        headers = [
            (b"server-seal", b"3e1b"),
            (b"content-length", b"5"),
            (b"transfer-encoding", b"chunked"),
            (b"attempt-id", b"9c41"),
        ]
        head = self.codec.decode_answer(200, headers)
        self.assertTrue(head.is_sealed)
        self.assertEqual("9c41", head.call_id)
        self.assertEqual(
            [b"server-seal", b"attempt-id"], [name for name, _ in head.headers]
        )

    def test_the_daemons_own_answer_has_retry_after_and_no_seal(
        self,
    ) -> None:
        headers = dict(self.codec.encode_own_answer("9c41", 0.25))
        self.assertEqual(b"0.250", headers[b"retry-after"])
        self.assertNotIn(b"server-seal", headers)

    def test_a_wait_is_not_rounded_up(self) -> None:
        for wait_s, text in (
            (1.66666, b"1.666"),
            (0.0009, b"0.000"),
            (1.001, b"1.001"),
            (30.0, b"30.000"),
        ):
            headers = dict(self.codec.encode_own_answer("9c41", wait_s))
            self.assertEqual(text, headers[b"retry-after"])


class RunnerSignalsTest(testtools.TestCase):
    """Headers about a runner's own state, malformed values included."""

    def _decode_limits(self, *values: bytes) -> signals.RunnerSignals:
        headers = [(b"server-limit", value) for value in values]
        return codec.create_codec().decode_answer(200, headers).signals

    def test_a_number_of_zero_or_more_is_a_limit(self) -> None:
        for text, limit in [
            (b"1", 1.0),
            (b" 2.5 ", 2.5),
            (b".5", 0.5),
            (b"0", 0.0),
            (b"1e308", 1e308),
        ]:
            self.assertEqual(
                signals.RunnerSignals(limit), self._decode_limits(text)
            )

    def test_without_the_header_there_is_no_limit(self) -> None:
        self.assertEqual(signals.NO_SIGNALS, self._decode_limits())

    def test_a_malformed_limit_is_unreadable(self) -> None:
        for text in [
            b"",
            b"-1",
            b"nan",
            b"inf",
            b"1e999",
            b"1_0",
            b"\xff",
            b"x",
        ]:
            decoded = self._decode_limits(text)
            self.assertTrue(decoded.is_limit_unreadable, text)
            self.assertIsNone(decoded.limit_per_s)

    def test_only_the_value_1_says_that_the_runner_is_leaving(self) -> None:
        decode = codec.create_codec().decode_answer
        for text, is_leaving in [
            (b"1", True),
            (b" 1 ", True),
            (b"0, 1", True),
            (b"0", False),
            (b"", False),
            (b"true", False),
        ]:
            decoded = decode(200, [(b"server-leaving", text)]).signals
            self.assertEqual(is_leaving, decoded.is_leaving, text)

    def test_retry_after_of_a_refusal_is_decoded(self) -> None:
        decode = codec.create_codec().decode_answer
        not_executed = (b"not-executed", b"1")
        for texts, delay_s in [
            ([b"3"], 3.0),
            ([b"0.25"], 0.25),
            ([b"0"], 0.0),
            ([b"1", b"2"], 2.0),
            ([b"1e308"], 1e308),
            ([b"-1"], None),
            ([b"nan"], None),
            ([b""], None),
            ([b"Thu, 01 Jan 1970 00:00:00 GMT"], None),
        ]:
            headers = [(b"retry-after", text) for text in texts]
            for status in (429, 503):
                decoded = decode(status, [not_executed, *headers]).signals
                self.assertEqual(delay_s, decoded.retry_after_s, texts)
                self.assertEqual(
                    delay_s is None, decoded.is_retry_after_unreadable
                )

    def test_retry_after_is_ignored_if_the_request_may_have_run(self) -> None:
        decode = codec.create_codec().decode_answer
        retry_after = (b"retry-after", b"3")
        not_executed = (b"not-executed", b"1")
        for head in (
            decode(503, [retry_after]),
            decode(200, [retry_after, not_executed]),
            decode(421, [retry_after]),
        ):
            self.assertEqual(signals.NO_SIGNALS, head.signals)

    def test_the_lowest_of_several_limits_applies(self) -> None:
        self.assertEqual(2.0, self._decode_limits(b"3", b"2").limit_per_s)
        self.assertEqual(2.0, self._decode_limits(b"3, 2, x").limit_per_s)
