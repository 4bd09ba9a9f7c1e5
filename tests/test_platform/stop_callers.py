"""Callers that use their open connections until the daemon has gone."""

from __future__ import annotations

import dataclasses
import enum
import itertools
from typing import TYPE_CHECKING

import trio

from tests import paced_runner, serving_scene

if TYPE_CHECKING:
    import random

    from tests.test_platform import process_scene

__all__ = ["Caller", "Habit", "SentRequest", "judge"]

_RECONNECT_S = 0.02
_MAX_PAUSE_S = 0.15
_MIN_TOKENS = 3
# The part of the platform's rule on requests that are lost around a stop.
_LATEST_EXCUSED_S = 3.0
_EXCUSED_PART_OF_GRACE = 5 / 6
_LOSS_SLACK_S = 0.2
_NOT_RUN_STATUSES = frozenset({429, 503})


class Habit(enum.Enum):
    """What a caller does with its connection."""

    KEEPS = "keeps it, and closes it when told to"
    CROSSES = "sends once more although told to close"
    PIPELINES = "sends two requests at a time"


@dataclasses.dataclass
class SentRequest:
    """A request that was sent whole.

    Attributes:
        id: Its id.
        sent_at: When its last byte was sent, on trio's clock.
        tokens: Limit of tokens.
        is_told: The connection had been told to close before.
        reply: The answer.
        ended_at: When the answer or the connection had ended; None before.
    """

    id: str
    sent_at: float
    tokens: int
    is_told: bool
    reply: serving_scene.Reply = dataclasses.field(
        default_factory=serving_scene.Reply
    )
    ended_at: float | None = None


class Caller:
    """Sends requests one after the other, or two at a time.

    Attributes:
        sent: What it has sent.
    """

    def __init__(
        self,
        name: str,
        scene: process_scene.ProcessScene,
        rng: random.Random,
        max_tokens: int,
        habit: Habit,
    ) -> None:
        self.sent: list[SentRequest] = []
        self._name = name
        self._scene = scene
        self._random = rng
        self._max_tokens = max_tokens
        self._habit = habit
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            host, _, port = self._scene.find_address().rpartition(":")
            try:
                if port:
                    async with await trio.open_tcp_stream(
                        host, int(port)
                    ) as stream:
                        await self._use(stream)
            except OSError:
                # Refused: the daemon has gone or has not started yet.
                pass
            await trio.sleep(_RECONNECT_S)

    async def _use(self, stream: trio.SocketStream) -> None:
        """Send on a connection until it is closed, or told to close."""
        count = 2 if self._habit is Habit.PIPELINES else 1
        while True:
            last = await self._ask(stream, count, is_told=False)
            if not last.reply.is_whole:
                return
            if last.reply.headers.get(b"connection") == b"close":
                if self._habit is Habit.CROSSES:
                    await self._ask(stream, 1, is_told=True)
                return
            await trio.sleep(self._random.uniform(0.0, _MAX_PAUSE_S))

    async def _ask(
        self, stream: trio.SocketStream, count: int, *, is_told: bool
    ) -> SentRequest:
        tokens = [self._draw_tokens() for _ in range(count)]
        ids = [f"{self._name}-{next(self._numbers)}" for _ in range(count)]
        raw = b"".join(
            b"GET /note/1 HTTP/1.1\r\nhost: desk.example\r\n"
            b"attempt-id: %s\r\ndeadline-ms: 30000\r\n"
            b"token-counts: 10,%d\r\n\r\n" % (call_id.encode(), most)
            for call_id, most in zip(ids, tokens, strict=True)
        )
        try:
            await stream.send_all(raw)
        except trio.BrokenResourceError:
            return SentRequest(ids[-1], 0.0, tokens[-1], is_told=True)
        now = trio.current_time()
        asked = [
            SentRequest(call_id, now, most, is_told)
            for call_id, most in zip(ids, tokens, strict=True)
        ]
        self.sent.extend(asked)
        replies = await serving_scene.read_replies(stream, count)
        for one, reply in zip(asked, replies, strict=True):
            one.reply = reply
            one.ended_at = trio.current_time()
        return asked[-1]

    def _draw_tokens(self) -> int:
        return round(
            _MIN_TOKENS
            * (self._max_tokens / _MIN_TOKENS) ** self._random.random()
        )


def judge(
    sent: list[SentRequest],
    runs: dict[str, list[paced_runner.Run]],
    stopped_at: float,
    grace_s: float,
) -> list[str]:
    """Return what was lost around a stop, by the platform's rule.

    Args:
        sent: Requests; those without an end are left out.
        runs: The runs by request id.
        stopped_at: When SIGTERM was sent.
        grace_s: The grace time.
    """
    problems = []
    for one in sent:
        problem = _find_problem(one, runs.get(one.id, []), stopped_at, grace_s)
        if problem:
            after_s = one.sent_at - stopped_at
            problems.append(
                f"{one.id}, {one.tokens} tokens, sent {after_s:.3f} s after "
                f"SIGTERM: {problem}"
            )
    return problems


def _find_problem(
    one: SentRequest,
    runs: list[paced_runner.Run],
    stopped_at: float,
    grace_s: float,
) -> str:
    reply = one.reply
    if one.ended_at is None:
        return ""
    if len(runs) > 1:
        return "it ran twice"
    if reply.is_whole and reply.status == 200:
        return "" if reply.body.count(b"id: ") == one.tokens else "it is short"
    if reply.is_whole and reply.status in _NOT_RUN_STATUSES:
        return "it ran, and was rejected as not run" if runs else ""
    if reply.is_whole:
        return f"status {reply.status}"
    if not runs:
        is_crossed = one.is_told or one.ended_at <= one.sent_at + _LOSS_SLACK_S
        return "" if is_crossed else "no answer, not passed on"
    excused_from = stopped_at + _EXCUSED_PART_OF_GRACE * grace_s
    was_at_work = runs[0].ended_at is None or runs[0].ended_at >= excused_from
    if one.sent_at <= stopped_at + _LATEST_EXCUSED_S and was_at_work:
        return ""
    return f"cut off {one.ended_at - stopped_at:.3f} s after SIGTERM"
