"""Headers of callers and runners are translated, and nothing leaks."""

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
    (b"tenant", b"somebody-else"),
    (b"connection", b"keep-alive, x-private"),
    (b"x-private", b"1"),
    (b"x-kept", b"yes"),
]

# The system sets these; a caller could steer runners by them.
_STEERING = (
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

    def test_a_call_is_read_into_typed_fields(self) -> None:
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

    def test_the_runner_sees_neither_the_key_nor_a_forged_team(self) -> None:
        options = calls.AttemptOptions("i-1", 1.5, team="florists", urgency=2)
        sent = dict(self.codec.encode_attempt(self.call, options))
        self.assertNotIn(b"authorization", sent)
        self.assertEqual(b"florists", sent[b"tenant"])
        self.assertEqual(b"i-1", sent[b"expect-instance"])

    def test_no_caller_steers_a_runner(self) -> None:
        for name in _STEERING:
            # Sent twice: neither may slip through.
            asked = [*_HEADERS, (name, b"forged"), (name, b"forged")]
            call = self.codec.decode_call("GET", "/", asked)
            sent = self.codec.encode_attempt(
                call, calls.AttemptOptions("i-1", 1.5)
            )
            self.assertNotIn((name, b"forged"), sent)

    def test_a_stream_goes_on_after_the_last_event_delivered(self) -> None:
        asked = self.call.resume_after
        for last in (asked, 15):
            options = calls.AttemptOptions("i-1", 1.5, resume_after=last)
            sent = self.codec.encode_attempt(self.call, options)
            found = [value for name, value in sent if name == b"last-event-id"]
            self.assertEqual([b"%d" % last], found)

    def test_what_concerns_one_connection_stays_there(self) -> None:
        options = calls.AttemptOptions("i-1", 1.5)
        sent = dict(self.codec.encode_attempt(self.call, options))
        self.assertNotIn(b"x-private", sent)
        self.assertNotIn(b"connection", sent)
        self.assertEqual(b"yes", sent[b"x-kept"])
        self.assertEqual(b"9c41", sent[b"attempt-id"])

    def test_the_time_passed_on_is_never_rounded_up(self) -> None:
        options = calls.AttemptOptions("i-1", 0.4999)
        sent = dict(self.codec.encode_attempt(self.call, options))
        self.assertEqual(b"499", sent[b"deadline-ms"])

    def test_a_caller_without_a_key_has_none(self) -> None:
        call = self.codec.decode_call("GET", "/", [(b"host", b"a")])
        self.assertIsNone(call.key)
        self.assertIsNone(call.budget_s)


class AnswerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.codec = codec.create_codec()

    def test_only_the_runners_own_word_says_that_it_did_not_run(self) -> None:
        plain = self.codec.decode_answer(503, [])
        marked = self.codec.decode_answer(503, [(b"not-executed", b"1")])
        moved = self.codec.decode_answer(421, [])
        self.assertFalse(plain.did_not_run)
        self.assertTrue(marked.did_not_run)
        self.assertTrue(moved.did_not_run)
        self.assertTrue(moved.is_wrong_runner)

    def test_the_seal_goes_back_and_framing_does_not(self) -> None:
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

    def test_an_own_answer_carries_no_seal_and_says_when_to_come_back(
        self,
    ) -> None:
        headers = dict(self.codec.encode_own_answer("9c41", 0.25))
        self.assertEqual(b"0.250", headers[b"retry-after"])
        self.assertNotIn(b"server-seal", headers)


class RunnerSignalsTest(testtools.TestCase):
    """What a header of a runner's own state means, odd values included."""

    def _read(self, *values: bytes) -> signals.RunnerSignals:
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
            self.assertEqual(signals.RunnerSignals(limit), self._read(text))

    def test_without_the_header_no_limit_is_named(self) -> None:
        self.assertEqual(signals.NO_SIGNALS, self._read())

    def test_what_is_no_number_tells_nothing(self) -> None:
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
            told = self._read(text)
            self.assertTrue(told.is_limit_unreadable, text)
            self.assertIsNone(told.limit_per_s)

    def test_only_a_one_says_that_the_runner_leaves(self) -> None:
        decode = codec.create_codec().decode_answer
        for text, is_leaving in [
            (b"1", True),
            (b" 1 ", True),
            (b"0, 1", True),
            (b"0", False),
            (b"", False),
            (b"true", False),
        ]:
            told = decode(200, [(b"server-leaving", text)]).signals
            self.assertEqual(is_leaving, told.is_leaving, text)

    def test_a_refusal_may_ask_for_rest(self) -> None:
        decode = codec.create_codec().decode_answer
        refused = (b"not-executed", b"1")
        for texts, backoff_s in [
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
            lines = [(b"retry-after", text) for text in texts]
            for status in (429, 503):
                told = decode(status, [refused, *lines]).signals
                self.assertEqual(backoff_s, told.backoff_s, texts)
                self.assertEqual(backoff_s is None, told.is_backoff_unreadable)

    def test_what_has_run_or_may_have_asks_for_no_rest(self) -> None:
        decode = codec.create_codec().decode_answer
        line = (b"retry-after", b"3")
        refused = (b"not-executed", b"1")
        for head in (
            decode(503, [line]),
            decode(200, [line, refused]),
            decode(421, [line]),
        ):
            self.assertEqual(signals.NO_SIGNALS, head.signals)

    def test_of_several_the_least_counts(self) -> None:
        self.assertEqual(2.0, self._read(b"3", b"2").limit_per_s)
        self.assertEqual(2.0, self._read(b"3, 2, x").limit_per_s)
