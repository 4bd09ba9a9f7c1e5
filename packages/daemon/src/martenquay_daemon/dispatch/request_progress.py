"""Model requests, their state over several attempts, and attempt results."""

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

INITIAL_BACKOFF_S = 0.1


class TokenSink(Protocol):
    """Receives the tokens of an answer in order."""

    async def write_token(self, text: str) -> None:
        """Receive the next token."""


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A request to a model.

    Attributes:
        request_id: ID of the request.
        partner: Partner that owns the pool.
        pool: Pool of runners that serves the request.
        urgency: Urgency class; determines the priority in the engine.
        prompt: Text of the prompt.
        max_tokens: Maximum number of tokens to generate.
        deadline: When the answer has to be complete, on trio's clock.
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
    """Tokens and attempts used by an answer.

    Attributes:
        prompt_tokens: Number of tokens in the prompt.
        generated: The tokens generated so far.
        attempts: Number of times the request was sent to a runner.
        recomputed: Tokens prefilled again after a change of runner.
        started_at: When the latest attempt finished prefill, on trio's clock.
        runner: Name of the runner of the latest attempt.
        zone: Availability zone of that runner.
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
    """State of a request over its attempts on one or more runners.

    Attributes:
        request: The request.
        sink: Receives the tokens.
        usage: Tokens and attempts used so far.
        block_hashes: Chained hashes of the prompt's blocks.
        cause: Why the previous attempt ended, "reclaimed" or "lost"; empty
            for the first attempt.
        cache_source: Reclaimed runner that may still export the KV cache.
        excluded: Names of the runners that the next attempt avoids.
        backoff_s: Time to wait when no runner is available.
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
    """The runner sent the complete answer."""


@dataclasses.dataclass(frozen=True)
class Reclaimed:
    """The stream was interrupted because its runner is being reclaimed."""


@dataclasses.dataclass(frozen=True)
class StreamLost:
    """The stream failed before the answer was complete.

    Attributes:
        reason: Description of the failure.
    """

    reason: str


AttemptResult = Finished | Reclaimed | StreamLost


class InterruptibleStream:
    """A stream of engine events whose reader can be interrupted."""

    def __init__(self, events: AsyncIterator[orders.StreamEvent]) -> None:
        self._events = events
        self._is_interrupted = False
        self._read_scope: trio.CancelScope | None = None

    def interrupt(self) -> None:
        """Make the current and any later read return None."""
        self._is_interrupted = True
        if self._read_scope is not None:
            self._read_scope.cancel()

    async def read(self) -> orders.StreamEvent | None:
        """Return the next event, or None once the stream is interrupted.

        Raises:
            StreamLostError: The stream ended or broke.
        """
        if self._is_interrupted:
            return None
        with trio.CancelScope() as self._read_scope:
            return await anext(self._events, None) or _raise_stream_ended()
        return None


def _raise_stream_ended() -> orders.StreamEvent:
    raise engine.StreamLostError("the stream ended before its last event")
