"""Callers' requests and runners' answers, independent of header names."""

from __future__ import annotations

import dataclasses
import hashlib

from martenquay_core.serving import signals

__all__ = [
    "AnswerHead",
    "Call",
    "Headers",
    "KvSource",
    "PromptPart",
    "AttemptOptions",
    "shorten_id",
]

# Of an id that is kept as it is.
_MAX_ID_LENGTH = 128
_DIGEST_BYTES = 16

# Header names are in lower case, as h11 returns them.
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt.

    Attributes:
        id: Content id; equal parts have equal ids.
        tokens: Length in tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Call:
    """One request as a caller sent it.

    Attributes:
        id: The caller's request id; empty if it sent none.
        method: HTTP method.
        target: Path and query, unchanged.
        host: Requested host, in lower case, without port.
        headers: Headers that are forwarded to the runner unchanged.
        body: The complete body.
        budget_s: Seconds that the caller waits; None if unknown.
        key: The caller's API key; None if it sent none.
        prompt: Parts of the prompt, in order; empty for other requests.
        tokens_in: Length of the prompt in tokens; None if unknown.
        tokens_out: Maximum length of the answer in tokens; None if unknown.
        resume_after: Number of the last stream event that the caller has;
            None if it does not resume a stream.
        resumed_id: Id of the request that brought the first event of the
            stream to resume; empty if the caller names none.
        accepts_coding: The caller asks for content codings.
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes = b""
    budget_s: float | None = None
    key: str | None = None
    prompt: tuple[PromptPart, ...] = ()
    tokens_in: int | None = None
    tokens_out: int | None = None
    resume_after: int | None = None
    resumed_id: str = ""
    accepts_coding: bool = False

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class KvSource:
    """Reference to a copy of a run's KV cache.

    Attributes:
        address: Address of the runner that the copy was made from.
        handle: The id that this runner gave to the copy.
    """

    address: str
    handle: str


@dataclasses.dataclass(frozen=True)
class AttemptOptions:
    """What a daemon adds to a request for one attempt at one runner.

    Attributes:
        runner_id: Id of the runner that is meant; any other must refuse.
        budget_s: Seconds that the runner may take; None for no limit.
        team: The caller's team; None if there are no teams.
        urgency: Priority from 0 (first) to 9; None for the runner's default.
        resume_after: Number of the last stream event already delivered; None
            to start at the beginning.
        kv_source: Copy of the run's KV cache to continue from; None to run
            the request from its prompt.
    """

    runner_id: str
    budget_s: float | None
    team: str | None = None
    urgency: int | None = None
    resume_after: int | None = None
    kv_source: KvSource | None = None


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """Status and headers of a runner's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that are returned to the caller unchanged.
        call_id: Id of the request that is answered; None if unknown.
        is_sealed: The answer has the header that only runners add.
        did_not_run: The runner states that it did not run the request.
        is_wrong_runner: Another runner now has the address.
        signals: State that the runner reports about itself.
        is_encoded: The body has a content coding.
    """

    status: int
    headers: Headers
    call_id: str | None
    is_sealed: bool
    did_not_run: bool
    is_wrong_runner: bool
    signals: signals.RunnerSignals = signals.NO_SIGNALS
    is_encoded: bool = False


def shorten_id(text: str) -> str:
    """Return an id to keep and exchange in place of a caller's.

    Callers may choose ids of several kilobytes; long ones are replaced by a
    digest, the same at all daemons.
    """
    if len(text) <= _MAX_ID_LENGTH:
        return text
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return f"long-{digest.hexdigest()}"
