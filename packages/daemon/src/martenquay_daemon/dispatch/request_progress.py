"""One model request on its way over one or more runners."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

import trio

from martenquay_core.runners import engine

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from martenquay_core.config import objects
    from martenquay_core.platform import instances
    from martenquay_core.runners import orders

__all__ = [
    "AttemptResult",
    "Finished",
    "RequestProgress",
    "InterruptibleStream",
    "StreamLost",
    "ModelRequest",
    "Reclaimed",
    "TokenSink",
    "Usage",
]

# How long a request waits the first time that no runner is free.
INITIAL_BACKOFF_S = 0.1


class TokenSink(Protocol):
    """Where an answer's tokens go."""

    async def take(self, text: str) -> None:
        """Take the next token."""


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A request to a model.

    Attributes:
        request_id: Its id.
        partner: The partner whose pool serves it.
        pool: The pool.
        urgency: How long it may wait; passed to the engine as priority.
        prompt: The prompt.
        max_tokens: How many tokens are to be generated.
        deadline: When it has to be whole, in trio's time.
    """

    request_id: str
    partner: str
    pool: str
    urgency: objects.Urgency
    prompt: str
    max_tokens: int
    deadline: float


@dataclasses.dataclass
class Usage:
    """What an answer took.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        generated: The tokens generated.
        attempts: How many runners were tried.
        recomputed: Prompt tokens read again because of a move or a loss.
        started_at: When its last runner had read the prompt.
        runner: The runner that finished it.
        zone: That runner's availability zone.
    """

    prompt_tokens: int
    generated: list[str] = dataclasses.field(default_factory=list)
    attempts: int = 0
    recomputed: int = 0
    started_at: float = 0.0
    runner: str = ""
    zone: str = ""


@dataclasses.dataclass
class RequestProgress:
    """One request on its way over one or more runners.

    Attributes:
        request: The request.
        sink: Where its tokens go.
        usage: What it has taken so far.
        block_hashes: Hashes of the prompt's blocks.
        cause: Why it left its last runner; empty on the first one.
        left: The reclaimed runner whose cache may be brought along.
        excluded: Runners that it has left.
        backoff_s: How long to wait for a runner next time.
    """

    request: ModelRequest
    sink: TokenSink
    usage: Usage
    block_hashes: list[int]
    cause: str = ""
    cache_source: instances.Instance | None = None
    excluded: set[str] = dataclasses.field(default_factory=set)
    backoff_s: float = INITIAL_BACKOFF_S


@dataclasses.dataclass(frozen=True)
class Finished:
    """The answer is whole."""


@dataclasses.dataclass(frozen=True)
class Reclaimed:
    """The runner is leaving; the stream was stopped in good order."""


@dataclasses.dataclass(frozen=True)
class StreamLost:
    """The runner is gone or its stream broke.

    Attributes:
        reason: What was seen.
    """

    reason: str


AttemptResult = Finished | Reclaimed | StreamLost


class InterruptibleStream:
    """A stream that can be told to move between two events."""

    def __init__(self, events: AsyncIterator[orders.StreamEvent]) -> None:
        self._events = events
        self._is_interrupted = False
        self._read_scope: trio.CancelScope | None = None

    def interrupt(self) -> None:
        """Have the reader stop at the next event."""
        self._is_interrupted = True
        if self._read_scope is not None:
            self._read_scope.cancel()

    async def read(self) -> orders.StreamEvent | None:
        """Return the next event, or None if the stream is to move."""
        if self._is_interrupted:
            return None
        with trio.CancelScope() as self._read_scope:
            return await anext(self._events, None) or _raise_stream_ended()
        return None


def _raise_stream_ended() -> orders.StreamEvent:
    raise engine.StreamLostError("the stream ended early")
