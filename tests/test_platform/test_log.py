"""The log client encodes requests and decodes answers of the log's API."""

from __future__ import annotations

import base64
import json
import struct
import urllib.parse

import hypothesis
import testtools
import trio
from expression import Error, Ok, Result
from hypothesis import strategies

from martenquay_core.platform import outcome
from martenquay_core.util import http
from martenquay_platform import log


class _FakeClient:
    """Returns the given answers in turn and records the calls."""

    def __init__(self, *answers: Result[http.Answer, http.CallFailure]) -> None:
        self.calls: list[tuple[str, str, bytes]] = []
        self._answers = list(answers)

    async def call(self, method, url, *, body=b"", **options):
        del options
        self.calls.append((method, url, body))
        return self._answers.pop(0)


def _create_answer(
    status: int, body: bytes
) -> Result[http.Answer, http.CallFailure]:
    return Ok(http.Answer(status, [], body))


def _create_json_answer(status: int, **fields):
    return _create_answer(status, json.dumps(fields).encode())


def _parse_query(url: str) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(url).query))


class LogTest(testtools.TestCase):
    def _call(self, client: _FakeClient, method: str, *args, **options):
        platform = log.create_log(client, "10.0.0.1:80")

        async def run():
            return await getattr(platform, method)(*args, **options)

        return trio.run(run)

    def test_a_page_is_split_into_records(self) -> None:
        body = struct.pack(">QQ", 842, 0) + b"\0\0\0\2ab\0\0\0\1c"
        client = _FakeClient(_create_answer(200, body))
        page = self._call(client, "read", "work", 840, wait_s=2.0).ok
        self.assertEqual((b"ab", b"c"), page.records)
        self.assertEqual((840, 842), (page.start, page.end))
        query = _parse_query(client.calls[0][1])
        self.assertEqual("840", query["From"])
        self.assertEqual("2000", query["WaitMs"])

    def test_a_truncated_page_is_a_failure(self) -> None:
        body = struct.pack(">QQ", 842, 0) + b"\0\0\0\5ab"
        page = self._call(
            _FakeClient(_create_answer(200, body)), "read", "work", 840
        )
        self.assertIn("cut off", page.error.message)

    def test_a_read_of_deleted_records_returns_the_first_offset_kept(
        self,
    ) -> None:
        client = _FakeClient(_create_json_answer(410, FirstOffset=90))
        page = self._call(client, "read", "work", 3).ok
        self.assertTrue(page.is_lost)
        self.assertEqual(90, page.start)

    def test_a_page_that_is_too_large_is_read_in_smaller_ones(self) -> None:
        # Otherwise a reader would never get past large records.
        oversized = http.CallFailure(sent=True, message="", is_oversized=True)
        body = struct.pack(">QQ", 842, 0) + b"\0\0\0\2ab"
        client = _FakeClient(Error(oversized), _create_answer(200, body))
        page = self._call(client, "read", "work", 840).ok
        self.assertEqual((b"ab",), page.records)
        most = int(_parse_query(client.calls[1][1])["MaxSize"])
        # RecordBytes, and the page's header and the lengths of its records.
        self.assertLess(16 + most * (262_144 + 4), http.MAX_BODY_BYTES)

    def test_pages_without_end_are_a_failure(self) -> None:
        class _EndlessClient(_FakeClient):
            async def call(self, method, url, *, body=b"", **options):
                self._answers.append(
                    _create_json_answer(
                        200,
                        Entries=[{"PrivateKey": "a", "Value": "YQ=="}],
                        HasMore=True,
                        EndOffset=5,
                    )
                )
                return await super().call(method, url, body=body, **options)

        client = _EndlessClient()
        result = self._call(client, "read_newest", "keyed.op")
        self.assertTrue(result.is_error())
        self.assertLess(len(client.calls), 1000)

    def test_a_snapshot_ends_at_the_end_of_its_first_page(self) -> None:
        def entry(key: str, offset: int) -> dict[str, object]:
            value = base64.b64encode(key.encode()).decode()
            return {"PrivateKey": key, "Value": value, "Offset": offset}

        client = _FakeClient(
            _create_json_answer(
                200, Entries=[entry("a", 1)], HasMore=True, EndOffset=5
            ),
            _create_json_answer(
                200, Entries=[entry("b", 7)], HasMore=False, EndOffset=9
            ),
        )
        snapshot = self._call(client, "read_newest", "keyed.op").ok
        self.assertEqual(["a", "b"], [r.key for r in snapshot.records])
        self.assertEqual(5, snapshot.end)
        self.assertEqual("a", _parse_query(client.calls[1][1])["SinceRev"])

    def test_an_append_at_an_unexpected_end_appends_nothing(self) -> None:
        client = _FakeClient(_create_json_answer(412, EndOffset=12))
        result = self._call(
            client, "append", "lease", [b"x"], expected_end=10
        ).ok
        self.assertIsNone(result.offset)
        self.assertEqual(12, result.end)
        self.assertEqual("10", _parse_query(client.calls[0][1])["Timestamp"])
        self.assertEqual(b"\0\0\0\1x", client.calls[0][2])

    def test_a_refusal_has_no_effect_and_a_reset_an_unknown_one(self) -> None:
        refusal = self._call(
            _FakeClient(_create_answer(503, b"")), "append", "lease", [b"x"]
        )
        failure = self._call(
            _FakeClient(Error(http.CallFailure(sent=True, message="reset"))),
            "append",
            "lease",
            [b"x"],
        )
        self.assertIs(outcome.Effect.NOT_DONE, refusal.error.effect)
        self.assertIs(outcome.Effect.UNKNOWN, failure.error.effect)

    def test_an_answer_that_is_not_json_has_an_unknown_effect(self) -> None:
        client = _FakeClient(_create_answer(200, b"<html>"))
        result = self._call(client, "append", "lease", [b"x"])
        self.assertIs(outcome.Effect.UNKNOWN, result.error.effect)

    def test_keyed_records_begin_with_the_length_of_their_key(self) -> None:
        platform = log.create_log(_FakeClient(), "10.0.0.1:80")
        payload = platform.join_keyed("config", b"{}")
        self.assertEqual(b"\x06config{}", payload)
        record = platform.split_keyed(payload, 4)
        self.assertEqual(("config", b"{}"), (record.key, record.value))
        self.assertIsNone(platform.split_keyed(b"\x01a", 5).value)

    def test_a_malformed_entry_does_not_hide_the_others(self) -> None:
        entries = [
            {"PrivateKey": "i-1", "Value": "!!", "Offset": 4},
            {"PrivateKey": 7, "Value": "", "Offset": 5},
            {"PrivateKey": "i-2", "Value": "YQ==", "Offset": 6},
        ]
        client = _FakeClient(
            _create_json_answer(200, Entries=entries, EndOffset=7)
        )
        snapshot = self._call(client, "read_newest", "runners").ok
        self.assertEqual(["i-1", "i-2"], [r.key for r in snapshot.records])
        self.assertEqual(b"a", snapshot.records[1].value)
        # None would mean that the key is deleted.
        self.assertIsNotNone(snapshot.records[0].value)
        self.assertEqual(1, snapshot.unreadable)

    def test_a_page_of_malformed_entries_is_not_requested_again(
        self,
    ) -> None:
        entries = [{"PrivateKey": 7, "Value": "", "Offset": 5}]
        client = _FakeClient(
            _create_json_answer(200, Entries=entries, HasMore=True, EndOffset=7)
        )
        snapshot = self._call(client, "read_newest", "runners").ok
        self.assertEqual((), snapshot.records)


class KeyedPayloadTest(testtools.TestCase):
    def test_a_payload_without_a_complete_key_is_rejected(self) -> None:
        for payload in (b"", b"\5ab", b"\2\xff\xfe{}", b"\0{}"):
            self.assertRaises(ValueError, log.split_keyed, payload, 3)

    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(payload=strategies.binary(max_size=32))
    def test_any_bytes_are_a_record_or_refused(self, payload: bytes) -> None:
        try:
            record = log.split_keyed(payload, 3)
        except ValueError:
            return
        value = record.value or b""
        self.assertEqual(payload, log.join_keyed(record.key, value))
