"""A caller's request and a runner's answer, free of wire names."""

from __future__ import annotations

import dataclasses

from martenquay_core.serving import signals

__all__ = [
    "AnswerHead",
    "Call",
    "Headers",
    "PromptPart",
    "RunnerOrder",
]

# Names in lower case, as h11 gives them.
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, in the prompt's order.

    Attributes:
        id: Equal for equal parts.
        tokens: Its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Call:
    """One request as a caller sent it.

    Attributes:
        id: The caller's id of this attempt; empty if it sent none.
        method: The HTTP method.
        target: Path and query, unchanged.
        host: The host that the caller named, in lower case, without port.
        headers: What travels on to the runner unchanged.
        body: The whole body.
        budget_s: How long the caller waits; None if it did not say.
        key: The caller's key; None if it sent none.
        prompt: The prompt's parts; empty for other calls.
        tokens_in: Length of the prompt; None if not told.
        tokens_out: Most tokens of the answer; None if not told.
        resume_after: The last event that the caller already has.
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

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class RunnerOrder:
    """What a daemon adds to a call for one attempt at one runner.

    Attributes:
        runner_id: Any other runner must refuse.
        budget_s: How long the runner may work; None for no bound.
        team: Whose key the caller has; None if there are no teams.
        urgency: 0 to 9, 0 first; None for the runner's default.
        resume_after: The last event that is already delivered.
        kv_source: A copy of the run's KV cache to go on from, as the
            runner's own wire names it.
    """

    runner_id: str
    budget_s: float | None
    team: str | None = None
    urgency: int | None = None
    resume_after: int | None = None
    kv_source: str | None = None


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """The head of a runner's answer.

    Attributes:
        status: The HTTP status.
        headers: What goes back to the caller unchanged.
        call_id: The request that it answers; None if not told.
        is_sealed: Whether the runner vouches for it.
        did_not_run: Whether the runner says that it did not run the request.
        is_wrong_runner: Whether another runner now has the address.
        signals: What the runner says of its own state.
    """

    status: int
    headers: Headers
    call_id: str | None
    is_sealed: bool
    did_not_run: bool
    is_wrong_runner: bool
    signals: signals.RunnerSignals = signals.NO_SIGNALS
