"""Calls that move runs are encoded, and each of their answers decoded."""

from __future__ import annotations

import json

import testtools
import trio
from expression import Error, Ok

from martenquay_core.serving import moves as core_moves
from martenquay_core.util import http
from martenquay_platform import moves

_SOURCE = "10.0.0.1:8080"
_ORDER = core_moves.MoveOrder("call-1", "10.0.0.2:8080")


class FakeClient:
    """Gives one answer to each call and keeps the calls.

    Attributes:
        calls: Method, URL and body of each call.
    """

    def __init__(self, answer) -> None:
        self.calls: list[tuple[str, str, bytes]] = []
        self._answer = answer

    async def call(self, method, url, *, headers=None, body=b"", timeout_s):
        del headers, timeout_s
        await trio.lowlevel.checkpoint()
        self.calls.append((method, url, body))
        return self._answer


def _build_answer(status: int, body: bytes = b"") -> Ok:
    return Ok(http.Answer(status, [], body))


class MoveRunTest(testtools.TestCase):
    def move(
        self, answer, order: core_moves.MoveOrder = _ORDER
    ) -> core_moves.MoveAnswer:
        self.client = FakeClient(answer)
        engine_calls = moves.create_engine_calls(self.client)
        return trio.run(engine_calls.move_run, _SOURCE, order, 1.0)

    def test_the_order_names_run_and_target(self) -> None:
        self.move(_build_answer(404))
        ((method, url, body),) = self.client.calls
        self.assertEqual("POST", method)
        self.assertEqual(f"http://{_SOURCE}/api/kv-move", url)
        self.assertEqual(
            {"Id": "call-1", "TargetVersion": "10.0.0.2:8080"},
            json.loads(body),
        )

    def test_only_a_last_copy_is_marked(self) -> None:
        last = core_moves.MoveOrder("call-1", "10.0.0.2:8080", is_last=True)
        self.move(_build_answer(404), last)
        self.assertIs(True, json.loads(self.client.calls[0][2])["Last"])

    def test_a_copy_has_its_handle_and_the_events_so_far(self) -> None:
        raw = b'{"KvHandle":"h-7","Created":12}'
        self.assertEqual(
            core_moves.Copied("h-7", 12), self.move(_build_answer(200, raw))
        )

    def test_a_handle_may_be_a_number(self) -> None:
        raw = b'{"KvHandle":7,"Created":12}'
        self.assertEqual(
            core_moves.Copied("7", 12), self.move(_build_answer(200, raw))
        )

    def test_a_refusal_names_the_handle_of_a_stopped_run(self) -> None:
        raw = b'{"KvHandle":"h-7"}'
        self.assertEqual(
            core_moves.MoveRefused("h-7"), self.move(_build_answer(503, raw))
        )
        for raw in (b"", b"full", b"{}"):
            self.assertEqual(
                core_moves.MoveRefused(None),
                self.move(_build_answer(503, raw)),
            )

    def test_a_run_may_be_missing_or_busy(self) -> None:
        self.assertEqual(core_moves.RunMissing(), self.move(_build_answer(404)))
        self.assertEqual(core_moves.MoveBusy(), self.move(_build_answer(409)))

    def test_an_answer_without_a_usable_handle_is_none(self) -> None:
        # Spaces and line ends would break the header of the next request.
        bodies = (
            b"",
            b"[]",
            b'{"Created":1}',
            b'{"KvHandle":""}',
            b'{"KvHandle":"a b"}',
            b'{"KvHandle":"a\\r\\nx: y"}',
            b'{"KvHandle":"a\\n"}',
        )
        for raw in bodies:
            answer = self.move(_build_answer(200, raw))
            self.assertIsInstance(answer, core_moves.MoveFailed, raw)

    def test_a_failure_says_whether_the_order_was_sent(self) -> None:
        for is_sent in (True, False):
            failure = http.CallFailure(sent=is_sent, message="gone")
            self.assertEqual(
                core_moves.MoveFailed("gone", is_sent),
                self.move(Error(failure)),
            )

    def test_another_status_is_a_failure(self) -> None:
        answer = self.move(_build_answer(500))
        self.assertEqual(core_moves.MoveFailed("status 500"), answer)


class FreeCopyTest(testtools.TestCase):
    def free(self, answer, handle: str = "h-7") -> bool:
        self.client = FakeClient(answer)
        engine_calls = moves.create_engine_calls(self.client)
        return trio.run(engine_calls.free_copy, _SOURCE, handle, 1.0)

    def test_a_copy_is_freed_by_its_handle(self) -> None:
        self.assertTrue(self.free(_build_answer(200)))
        method, url, _ = self.client.calls[0]
        self.assertEqual("DELETE", method)
        self.assertEqual(f"http://{_SOURCE}/api/kv-handle/h-7", url)

    def test_a_handle_cannot_change_the_path(self) -> None:
        self.free(_build_answer(200), "../runs?x")
        self.assertTrue(
            self.client.calls[0][1].endswith("/api/kv-handle/..%2Fruns%3Fx")
        )

    def test_an_unknown_copy_or_no_answer_frees_nothing(self) -> None:
        self.assertFalse(self.free(_build_answer(404)))
        failure = http.CallFailure(sent=True, message="gone")
        self.assertFalse(self.free(Error(failure)))
