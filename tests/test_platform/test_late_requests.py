"""A stopping daemon refuses a stream that would outlast its grace time.

This holds for a request on a kept connection whose last answer began earlier.
"""

from __future__ import annotations

import contextlib
import signal
from typing import TYPE_CHECKING

import testtools
import trio

from tests import plain_runner, serving_scene
from tests.test_platform import process_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Ends a scenario that hangs; nothing is asserted about time.
_HANG_S = 60.0
_GRACE_S = 6.0
# One connection for each; the second request on it is sent this long after
# SIGTERM.
_SENT_AFTER_S = [number * 0.15 for number in range(1, 41)]
_BUDGET_MS = 4000
_SECOND_WAIT_MS = 1500
_CALL = (
    b"POST /order/wait-%d HTTP/1.1\r\nhost: desk.example\r\n"
    b"attempt-id: %s-%d\r\ndeadline-ms: %d\r\ncontent-length: 0\r\n\r\n"
)
_PLAIN_CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "r-order",
            "Host": "desk.example",
            "PathPrefix": "/order/",
            "RouteKind": "non_idempotent",
            "TimeoutMs": 30_000,
            "SloMs": 500,
            "Service": "model",
            "MaxAttempts": 2,
        }
    ],
    "Services": [{"Name": "model"}],
}


class LateRequestTest(testtools.TestCase):
    def _run_scenario(
        self,
        scenario: Callable[[process_scene.ProcessScene], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene() as scene:
                    await scenario(scene)

        trio.run(run)

    def test_a_second_request_on_a_connection_is_refused_during_a_stop(
        self,
    ) -> None:
        async def scenario(scene: process_scene.ProcessScene) -> None:
            await scene.wait_until_serving()
            stream = await scene.open_stream()
            scene.send_signals(signal.SIGTERM)
            await scene.wait_text("Stopping")
            await scene.send_second_request(stream)
            first, second = await scene.read_two_answers(stream)
            self.assertEqual(200, first.status, scene.describe())
            self.assertTrue(first.is_whole, scene.describe())
            self.assertEqual(503, second.status, scene.describe())
            self.assertTrue(second.is_whole, scene.describe())
            self.assertEqual(b"close", second.headers[b"connection"])
            self.assertEqual(0, await scene.wait_exit(), scene.describe())
            self.assertEqual(1, len(scene.runner.requests))

        self._run_scenario(scenario)


class LatePlainCallsTest(testtools.TestCase):
    """Calls that may not be repeated, sent until the process is gone."""

    def setUp(self) -> None:
        super().setUp()
        self.runner = plain_runner.PlainRunner()
        self.replies: dict[bytes, list[serving_scene.Reply]] = {}

    async def _ask_twice(
        self,
        scene: process_scene.ProcessScene,
        number: int,
        sent_after_s: float,
    ) -> None:
        """Send a call that ends at a time of the stop, and one behind it."""
        host, _, port = scene.find_address().rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            wait_ms = round(sent_after_s * 1000)
            first = _CALL % (wait_ms, b"first", number, 30_000)
            second = _CALL % (_SECOND_WAIT_MS, b"second", number, _BUDGET_MS)
            await stream.send_all(first)
            await trio.sleep(sent_after_s)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(second)
            self.replies[
                b"second-%d" % number
            ] = await serving_scene.read_replies(stream, 2)

    def test_each_is_answered_or_did_not_run(self) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with process_scene.open_process_scene(
                    grace_s=_GRACE_S,
                    runner=self.runner,
                    configuration=_PLAIN_CONFIG,
                ) as scene:
                    await scene.wait_until_serving()
                    async with trio.open_nursery() as callers:
                        for number, after_s in enumerate(_SENT_AFTER_S):
                            callers.start_soon(
                                self._ask_twice, scene, number, after_s
                            )
                        while len(self.runner.arrivals) < len(_SENT_AFTER_S):
                            await trio.sleep(0.01)
                        scene.send_signals(signal.SIGTERM)
                        await scene.wait_exit()
                    self._check_seconds(scene)

        trio.run(run)

    def _check_seconds(self, scene: process_scene.ProcessScene) -> None:
        statuses = set()
        for call_id, (_, second) in self.replies.items():
            seen = f"{call_id!r}: {second}; {scene.describe()}"
            runs = self.runner.arrivals.count(call_id)
            statuses.add(second.status)
            if second.status == 200:
                self.assertEqual((True, 1), (second.is_whole, runs), seen)
            else:
                # Refused, or the connection had closed before.
                self.assertIn(second.status, (0, 503), seen)
                self.assertEqual(0, runs, seen)
        self.assertLessEqual({200, 503}, statuses)
