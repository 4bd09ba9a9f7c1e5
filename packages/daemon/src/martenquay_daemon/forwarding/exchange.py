"""What is known of one request while it is being forwarded."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.serving import signals
from martenquay_daemon.allowances import terms
from martenquay_daemon.forwarding import departure

if TYPE_CHECKING:
    from martenquay_core.serving import calls, catalog
    from martenquay_daemon.forwarding import answers

__all__ = [
    "AttemptResult",
    "Broken",
    "CallerLeftError",
    "Delivered",
    "Exchange",
    "NotRun",
    "NotSent",
    "Silent",
    "TimedOut",
    "Whole",
    "Withheld",
]


class CallerLeftError(Exception):
    """The caller has closed its connection."""


@dataclasses.dataclass
class Exchange:
    """One request and how far it has come.

    Attributes:
        call: The request.
        route: Its route.
        team: Whose key it carries; None on routes without keys.
        service: The service that it goes to.
        received_at: When its first byte came, in trio's time.
        deadline: When it has to be over, in trio's time.
        writer: Where the answer goes.
        stage: How far the present attempt has come.
        attempts: Runners that have been sent it.
        may_have_run: Some runner may have begun to work on it.
        last_event_id: The last event delivered, or that the caller had before.
        events_delivered: Events delivered.
        uncounted_attempts: Runners that could not be reached or were not ours.
        misdirected: Runners that were sent it and are not those meant.
        fallback_answer: A failed answer to give if no other comes.
        excluded_runners: Runners not to try again.
        sent_at: When it was last sent to a runner, in trio's time.
        first_event_s: From then to its first event; None before that.
        entries_age_ms: How old the runners' entries were that the present
            attempt's runner was chosen from.
        caller_elapsed_s: How long its caller has likely been trying before.
        admission: On what units of its team's the request was let in.
        content_digest: Its content's digest; empty until it is needed.
        latest_crash_seen: The latest strike known of its content when it was sent.
        has_runner_ended: The runner of the present attempt ended under it.
        reported_signals: What the runner of the present attempt said of itself.
    """

    call: calls.Call
    route: catalog.Route
    team: catalog.Team | None
    service: str
    received_at: float
    deadline: float
    writer: answers.AnswerWriter
    stage: departure.Stage = departure.Stage.QUEUED
    attempts: int = 0
    may_have_run: bool = False
    last_event_id: int | None = None
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
    latest_crash_seen: int = 0
    has_runner_ended: bool = False
    reported_signals: signals.RunnerSignals = signals.NO_SIGNALS

    @property
    def units(self) -> float:
        """What the request costs its team's allowance."""
        team = self.team
        if team is None or not team.counts_tokens:
            return 1.0
        if self.call.tokens_in is None:
            return team.plain_tokens
        return float(self.call.tokens_in + (self.call.tokens_out or 0))

    def check_caller(self) -> None:
        """Make sure that somebody waits for the answer.

        A daemon that comes late to its events may meet a runner's first and
        would send on what nobody waits for.

        Raises:
            CallerLeftError: Nobody does.
        """
        if self.writer.has_left:
            raise CallerLeftError


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No connection came up; the runner knows nothing of the request."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Withheld:
    """The runner was not sent it, for it has said that it takes none now."""

    reason: str


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The runner says that it did not run the request.

    Attributes:
        status: The HTTP status it said so with.
        is_wrong_runner: Another runner has the address.
    """

    status: int
    is_wrong_runner: bool


@dataclasses.dataclass(frozen=True)
class Whole:
    """A whole answer, not yet sent to the caller.

    Attributes:
        head: Its head.
        body: Its body.
    """

    head: calls.AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Delivered:
    """A stream that went to the caller to its end."""


@dataclasses.dataclass(frozen=True)
class Broken:
    """The runner broke off or its answer cannot be used; it may have run."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Silent:
    """The runner is there and says nothing; it may have run."""

    reason: str = "silent for too long"


@dataclasses.dataclass(frozen=True)
class TimedOut:
    """The time was over before the answer was."""


AttemptResult = (
    NotSent | Withheld | NotRun | Whole | Delivered | Broken | Silent | TimedOut
)
