"""History of a chaos run and the checker of its guarantees."""

from __future__ import annotations

import collections
import dataclasses

__all__ = [
    "BookingReply",
    "ChangeReply",
    "ChatReply",
    "History",
    "Observation",
    "TicketReply",
    "find_breaches",
]

# Result codes from 2000 to 3999 state that the request was not executed.
_FIRST_NOT_RUN_CODE = 2000
_LAST_NOT_RUN_CODE = 3999
_OK_CODE = 1000


@dataclasses.dataclass(frozen=True)
class BookingReply:
    """Outcome of one attempt of a booking.

    Attributes:
        key: The idempotency key.
        code: The result code; 0 if there was no response.
        body: The response body.
    """

    key: str
    code: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class ChatReply:
    """Outcome of one streamed chat.

    Attributes:
        expected: The text of a complete answer.
        text: The text received.
        is_whole: The stream ended with its end marker.
        has_error: The stream ended with an error, or the connection broke.
    """

    expected: str
    text: str
    is_whole: bool
    has_error: bool


@dataclasses.dataclass(frozen=True)
class TicketReply:
    """One fetch of the answer to an accepted deferrable request.

    Attributes:
        ticket: The ticket of the request.
        expected: The text of a correct answer.
        text: The text received; None if none came before the run ended.
        body: The response body.
    """

    ticket: str
    expected: str
    text: str | None
    body: bytes


@dataclasses.dataclass(frozen=True)
class ChangeReply:
    """Outcome of one configuration change.

    Attributes:
        partner: The operator's partner.
        version: The accepted version; 0 if the change was not accepted.
        weight: The requested value.
    """

    partner: str
    version: int
    weight: float


@dataclasses.dataclass(frozen=True)
class Observation:
    """One reading of the configuration in force at a daemon.

    Attributes:
        member: The daemon process.
        partner: The partner of the object read.
        version: The object's version.
        weight: The object's value.
        is_final: It was read after all faults had ended.
    """

    member: str
    partner: str
    version: int
    weight: float
    is_final: bool


@dataclasses.dataclass
class History:
    """Outcomes of a run, each kind in order of completion.

    Attributes:
        bookings: Booking attempts.
        chats: Streamed chats.
        tickets: Fetches of deferrable answers.
        accepted: Tickets of accepted deferrable requests.
        changes: Configuration changes.
        observations: Readings of the configuration.
        runs: Executions by idempotency key, as counted by the services.
    """

    bookings: list[BookingReply] = dataclasses.field(default_factory=list)
    chats: list[ChatReply] = dataclasses.field(default_factory=list)
    tickets: list[TicketReply] = dataclasses.field(default_factory=list)
    accepted: set[str] = dataclasses.field(default_factory=set)
    changes: list[ChangeReply] = dataclasses.field(default_factory=list)
    observations: list[Observation] = dataclasses.field(default_factory=list)
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def find_breaches(history: History) -> list[str]:
    """Return a message for each guarantee that the history violates."""
    return [
        *_check_bookings(history),
        *_check_chats(history),
        *_check_tickets(history),
        *_check_rollbacks(history),
        *_check_final_state(history),
    ]


def _check_bookings(history: History) -> list[str]:
    replies: dict[str, list[BookingReply]] = collections.defaultdict(list)
    for reply in history.bookings:
        replies[reply.key].append(reply)
    breaches = []
    for key, attempts in replies.items():
        runs = history.runs[key]
        answers = {reply.body for reply in attempts if reply.code == _OK_CODE}
        all_not_run = all(_is_not_run(reply.code) for reply in attempts)
        if runs > 1:
            breaches.append(f"{key} ran {runs} times")
        if answers and runs == 0:
            breaches.append(f"{key} was answered and never ran")
        if len(answers) > 1:
            breaches.append(f"{key} was answered in {len(answers)} ways")
        if all_not_run and runs > 0:
            breaches.append(f"{key} was told 'not run' and ran")
    return breaches


def _check_chats(history: History) -> list[str]:
    breaches = []
    for reply in history.chats:
        if reply.is_whole and reply.text != reply.expected:
            breaches.append(f"a whole chat was {reply.text!r}")
        if not reply.is_whole and not reply.has_error:
            breaches.append("a chat was cut off without a word")
        if not reply.expected.startswith(reply.text):
            breaches.append(f"a chat had foreign tokens: {reply.text!r}")
    return breaches


def _check_tickets(history: History) -> list[str]:
    bodies: dict[str, set[bytes]] = collections.defaultdict(set)
    breaches = []
    for reply in history.tickets:
        if reply.text is None:
            breaches.append(f"{reply.ticket} was never answered")
        elif reply.text != reply.expected:
            breaches.append(f"{reply.ticket} was answered {reply.text!r}")
        else:
            bodies[reply.ticket].add(reply.body)
    for ticket in sorted(history.accepted):
        if len(bodies[ticket]) != 1:
            breaches.append(f"{ticket} has {len(bodies[ticket])} answers")
    return breaches


def _check_rollbacks(history: History) -> list[str]:
    highest: dict[tuple[str, str], int] = collections.defaultdict(int)
    breaches = []
    for seen in history.observations:
        source = (seen.member, seen.partner)
        if seen.version < highest[source]:
            breaches.append(
                f"{seen.member} went back from version {highest[source]} "
                f"to {seen.version}"
            )
        highest[source] = max(highest[source], seen.version)
    return breaches


def _check_final_state(history: History) -> list[str]:
    accepted: dict[tuple[str, int], float] = {
        (change.partner, change.version): change.weight
        for change in history.changes
        if change.version
    }
    latest: dict[str, int] = collections.defaultdict(int)
    for partner, version in accepted:
        latest[partner] = max(latest[partner], version)
    finals: dict[str, set[tuple[int, float]]] = collections.defaultdict(set)
    breaches = []
    for seen in history.observations:
        known = accepted.get((seen.partner, seen.version))
        if known is not None and known != seen.weight:
            breaches.append(f"version {seen.version} has two values")
        if seen.is_final:
            finals[seen.partner].add((seen.version, seen.weight))
            if seen.version < latest[seen.partner]:
                breaches.append(
                    f"{seen.member} ended at {seen.version}, though "
                    f"{latest[seen.partner]} was accepted"
                )
    for partner, found in finals.items():
        if len(found) > 1:
            breaches.append(f"{partner} ended in {len(found)} ways")
    return breaches


def _is_not_run(code: int) -> bool:
    return _FIRST_NOT_RUN_CODE <= code <= _LAST_NOT_RUN_CODE
