"""State of one request while it is forwarded, and outcomes of attempts."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.serving import calls, catalog, signals
from martenquay_daemon.allowances import terms
from martenquay_daemon.forwarding import disconnects, held_answer

if TYPE_CHECKING:
    from martenquay_core.serving import runners
    from martenquay_daemon.engines import speed_tracker
    from martenquay_daemon.forwarding import answers
    from martenquay_daemon.limits import caller_budget

__all__ = [
    "AttemptResult",
    "Broken",
    "CallerDisconnectedError",
    "Delivered",
    "Exchange",
    "Handover",
    "Moved",
    "NoRoom",
    "NotRun",
    "NotSent",
    "Silent",
    "TimedOut",
    "Whole",
    "Withheld",
]

_MAX_URGENCY = 9


class CallerDisconnectedError(Exception):
    """The caller disconnected before its answer was complete."""


@dataclasses.dataclass
class Exchange:
    """State of one request over all attempts to forward it.

    Times are in seconds on trio's clock.

    Attributes:
        call: The request.
        route: The route that the request matched.
        team: The team of the request's key; None on routes without keys.
        service: The service that the request is forwarded to.
        received_at: When the first byte of the request arrived.
        deadline: When the answer has to be complete.
        writer: Writes the answer to the caller.
        stage: Progress of the current attempt, for the log.
        attempts: Attempts that count against the route's `max_attempts`.
        may_have_run: Whether a runner may have executed the request.
        last_event_id: Id of the last event that the caller has, from this
            exchange or from an earlier one that it resumes.
        software: Software version that began the stream, at which alone it
            goes on; None while it may begin at any.
        events_delivered: Events written to the caller.
        uncounted_attempts: Attempts that do not count against
            `max_attempts`: no connection, or another runner at the address.
        misdirected: Uncounted attempts that another runner received.
        fallback_answer: A runner's server error, returned to the caller if
            no later attempt succeeds.
        excluded_runners: Ids of runners that no later attempt uses.
        sent_at: When the request was last sent to a runner.
        first_event_s: Seconds from `sent_at` to the first event; None before
            that event.
        entries_age_ms: Age of the runner entries that the current runner was
            chosen from.
        caller_elapsed_s: Estimated time that the caller has spent on earlier
            attempts of the same request.
        admission: The decision that admitted the request and spent the
            team's quota.
        content_digest: Digest of the request's content; empty until needed.
        part_digests: Digests of the prompt's shared parts; None until needed.
        crashes_seen: Number of the latest crash record of each content that
            was known when the request was sent.
        is_probe: Whether the request is sent although its parts may have
            caused crashes.
        attempt_events: Events received in the current attempt.
        attempt_event_id: Id of the last event received in the current attempt.
        is_answering: Whether so many came that the answer has begun.
        has_runner_ended: Whether the runner's process ended during the
            current attempt.
        relay: Address of the daemon that relays the current attempt; empty
            if the connection to the runner is direct.
        reported_signals: What the current runner reported about itself in
            its answer: limit, drain, backoff.
        watch: Watches the events of the current attempt, from which the
            engine's speed is learnt.
        handover: Where the run that a runner has stopped continues; None if
            none is to be continued.
        kv_source: Copy of the KV cache that the current attempt continues
            from; None if it runs the request anew.
        moves: How often the run was stopped to continue elsewhere.
        refused_targets: Ids of runners that had no room for a copy of the run.
        held: Counts what is held of runners' answers.
    """

    call: calls.Call
    route: catalog.Route
    team: catalog.Team | None
    service: str
    received_at: float
    deadline: float
    writer: answers.AnswerWriter
    stage: disconnects.Stage = disconnects.Stage.QUEUED
    attempts: int = 0
    may_have_run: bool = False
    last_event_id: int | None = None
    software: str | None = None
    events_delivered: int = 0
    uncounted_attempts: int = 0
    misdirected: int = 0
    fallback_answer: Whole | None = None
    excluded_runners: set[str] = dataclasses.field(default_factory=set)
    sent_at: float = 0.0
    first_event_s: float | None = None
    entries_age_ms: int | None = None
    caller_elapsed_s: float = 0.0
    admission: terms.AdmissionDecision = terms.AdmissionDecision(0.0)
    content_digest: str = ""
    part_digests: tuple[str, ...] | None = None
    crashes_seen: dict[str, int] = dataclasses.field(default_factory=dict)
    is_probe: bool = False
    attempt_events: int = 0
    attempt_event_id: int | None = None
    is_answering: bool = False
    has_runner_ended: bool = False
    relay: str = ""
    reported_signals: signals.RunnerSignals = signals.NO_SIGNALS
    watch: speed_tracker.Watch | None = None
    handover: Handover | None = None
    kv_source: calls.KvSource | None = None
    moves: int = 0
    refused_targets: set[str] = dataclasses.field(default_factory=set)
    held: held_answer.HeldAnswer = dataclasses.field(
        default_factory=held_answer.HeldAnswer
    )

    @property
    def units(self) -> float:
        """Quota units that the request costs.

        Its tokens if the team's quota counts tokens, otherwise 1.
        """
        team = self.team
        if team is None or not team.counts_tokens:
            return 1.0
        if self.call.tokens_in is None:
            return team.default_tokens
        return float(self.call.tokens_in + (self.call.tokens_out or 0))

    @property
    def urgency(self) -> int:
        """Priority from 0 (first) to 9, by which engines order their queue.

        The team's if it has one, otherwise the route's.
        """
        team = self.team
        urgency = self.route.urgency
        if team is not None and team.urgency is not None:
            urgency = team.urgency
        return min(max(urgency, 0), _MAX_URGENCY)

    @property
    def is_resuming(self) -> bool:
        """Whether the caller has a part of the stream already."""
        is_stream = self.route.kind is catalog.CallKind.STREAM
        return is_stream and self.call.resume_after is not None

    @property
    def stream_request(self) -> str:
        """Id of the request that brought or brings the stream's first event."""
        return calls.shorten_id(self.call.resumed_id or self.call.id)

    def bound_answers(self, budget: caller_budget.CallerBudget) -> None:
        """Count what is held of runners' answers in a budget."""
        self.held = held_answer.HeldAnswer(budget, self.drop_fallback)

    def keep_fallback(self, answer: Whole) -> None:
        """Keep a runner's server error in case no later attempt succeeds."""
        self.fallback_answer = answer
        self.held.kept_bytes = len(answer.body)

    def drop_fallback(self) -> None:
        """Keep no server error any more."""
        self.fallback_answer = None
        self.held.kept_bytes = 0

    def check_caller(self) -> None:
        """Check that the caller is still connected.

        The cancellation by a disconnect may be scheduled after the task that
        is about to send to a runner.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        if self.writer.has_disconnected:
            raise CallerDisconnectedError


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No connection to the runner could be opened; nothing was sent."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Withheld:
    """Nothing was sent: the runner has reported that it accepts no request."""

    reason: str


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The runner confirmed that it did not execute the request.

    Attributes:
        status: The HTTP status of its answer.
        is_wrong_runner: Whether another runner listens at the address.
    """

    status: int
    is_wrong_runner: bool


@dataclasses.dataclass(frozen=True)
class Whole:
    """A complete answer that is not yet written to the caller.

    Attributes:
        head: Status and headers.
        body: The complete body.
    """

    head: calls.AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Delivered:
    """A stream that was relayed to the caller to its end."""


@dataclasses.dataclass(frozen=True)
class Broken:
    """The answer broke off or is invalid; the request may have run."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Silent:
    """The runner is up but sent nothing; the request may have run."""

    reason: str = "no data from the runner for too long"


@dataclasses.dataclass(frozen=True)
class NoRoom:
    """The answer was given up for lack of memory; the request may have run."""

    reason: str = "the room for runners' answers is in use"


@dataclasses.dataclass(frozen=True)
class Moved:
    """The run has ended at its runner and continues from a copy of it.

    Attributes:
        source: The runner at which it has ended.
        target: The runner that has the copy; the source itself if no other
            runner took it.
        handle: Id of the copy at the source.
    """

    source: runners.Runner
    target: runners.Runner
    handle: str


@dataclasses.dataclass(frozen=True)
class Handover:
    """Where a run that has ended at a runner may continue.

    Attributes:
        kv_source: The copy of its KV cache.
        runners: The runners to send the request to, in this order, until one
            runs it.
    """

    kv_source: calls.KvSource
    runners: tuple[runners.Runner, ...]


@dataclasses.dataclass(frozen=True)
class TimedOut:
    """The deadline passed before the answer was complete."""


AttemptResult = (
    NotSent
    | Withheld
    | NotRun
    | Whole
    | Delivered
    | Broken
    | Silent
    | TimedOut
    | Moved
    | NoRoom
)
