"""Rows of query results, and how they are filtered and encoded."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from martenquay_core.language import statements

__all__ = [
    "ConfigRow",
    "DaemonRow",
    "DecisionRow",
    "ObjectRow",
    "RequestRow",
    "RunnerRow",
    "TicketRow",
    "filter_rows",
    "render_rows",
]


@dataclasses.dataclass(frozen=True)
class RunnerRow:
    """A runner, as known to this daemon.

    Attributes:
        name: The runner's id.
        partner: The partner that owns it.
        pool: The runner's pool.
        zone: The runner's availability zone.
        machine_class: The runner's price class.
        price: The runner's price per hour.
        state: live, leaving or ejected.
        ahead: Estimated requests in progress or queued at the runner.
        in_flight: Requests of this daemon at the runner.
    """

    name: str
    partner: str
    pool: str
    zone: str
    machine_class: str
    price: float
    state: str
    ahead: int
    in_flight: int


@dataclasses.dataclass(frozen=True)
class DaemonRow:
    """A daemon, as known to this daemon.

    Attributes:
        name: The daemon's id.
        partner: The daemon's partner.
        zone: The daemon's availability zone.
        state: alive, leaving, suspect or dead.
    """

    name: str
    partner: str
    zone: str
    state: str


@dataclasses.dataclass(frozen=True)
class RequestRow:
    """A request in progress.

    Attributes:
        name: The request's id.
        daemon: The daemon that received it.
        team: The team that sent it.
        route: The requested route.
        urgency: The request's urgency class.
        runner: The runner that serves it; empty while it is queued.
        zone: The runner's availability zone.
        tokens: Tokens sent to the caller so far.
        age_s: Seconds since it was received.
    """

    name: str
    daemon: str
    team: str
    route: str
    urgency: str
    runner: str
    zone: str
    tokens: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class TicketRow:
    """An accepted deferrable request without an answer.

    Attributes:
        name: The ticket's id.
        team: The team that sent it.
        route: The requested route.
        age_s: Seconds since its newest record was written.
    """

    name: str
    team: str
    route: str
    age_s: float


@dataclasses.dataclass(frozen=True)
class DecisionRow:
    """A routing decision on a request.

    Attributes:
        name: The request's id.
        daemon: The daemon that decided.
        at: Time of the decision, in seconds since the epoch.
        runner: The chosen runner.
        reason: Why it was chosen.
    """

    name: str
    daemon: str
    at: float
    runner: str
    reason: str


@dataclasses.dataclass(frozen=True)
class ObjectRow:
    """An object of the configuration.

    Attributes:
        name: The object's name.
        partner: The partner that owns it.
        version: Offset of the last change to it.
        operator: The operator who made that change.
        fields: The object's fields without its credential.
    """

    name: str
    partner: str
    version: int
    operator: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class ConfigRow:
    """The configuration of a partner that is in force at a daemon.

    Attributes:
        name: The daemon's id.
        applied: Offset of the last applied record.
        source: log, or none while the log does not answer.
        age_s: Seconds since the log stopped answering; 0 while it answers.
        digest: Digest of the partner's state, to compare daemons.
        partner: The partner whose state it is.
    """

    name: str
    applied: int
    source: str
    age_s: float
    digest: str
    partner: str


Row = (
    RunnerRow
    | DaemonRow
    | RequestRow
    | TicketRow
    | DecisionRow
    | ObjectRow
    | ConfigRow
)


def render_rows(rows: list[Row]) -> list[dict[str, Any]]:
    """Return rows as JSON objects; `fields` are merged into their row."""
    rendered = []
    for row in rows:
        plain = msgspec.to_builtins(row)
        plain.update(plain.pop("fields", {}))
        rendered.append(plain)
    return rendered


def filter_rows(
    rendered: list[dict[str, Any]], show: statements.Show
) -> list[dict[str, Any]]:
    """Return the rows that match a query's name and conditions."""
    kept = rendered
    if show.name is not None:
        kept = [row for row in kept if row["name"] == show.name.name]
        if show.name.partner is not None:
            kept = [
                row for row in kept if row.get("partner") == show.name.partner
            ]
    for condition in show.conditions:
        kept = [
            row
            for row in kept
            if _matches(row.get(condition.field), condition.value)
        ]
    return kept


def _matches(found: Any, wanted: statements.Value) -> bool:
    # The parser returns a name that looks like a number as a number, which
    # never equals the string in the row.
    return found == wanted or str(found) == str(wanted)
