"""Define the rows that queries give."""

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
    """A runner as this daemon sees it.

    Attributes:
        name: The runner.
        partner: Whose it is.
        pool: Its pool.
        zone: Its availability zone.
        machine_class: Its price class.
        price: Its price.
        state: live, leaving or ejected.
        ahead: Requests there, as well as is known.
        in_flight: Requests of this daemon there.
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
    """A daemon as this daemon sees it.

    Attributes:
        name: The daemon's id.
        partner: Its partner.
        zone: Its availability zone.
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
        daemon: The daemon that answers it.
        team: For whom it runs.
        route: What was asked for.
        urgency: How long it may wait.
        runner: Where it runs; empty while it waits.
        zone: The runner's availability zone.
        tokens: Tokens passed on so far.
        age_s: Seconds since it came.
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
        name: The ticket.
        team: Who pays.
        route: What was asked for.
        age_s: Seconds since its newest record was written.
    """

    name: str
    team: str
    route: str
    age_s: float


@dataclasses.dataclass(frozen=True)
class DecisionRow:
    """A decision on a request.

    Attributes:
        name: The request's id.
        daemon: The daemon that decided.
        at: When, in seconds since the epoch.
        runner: The runner chosen.
        reason: Why.
    """

    name: str
    daemon: str
    at: float
    runner: str
    reason: str


@dataclasses.dataclass(frozen=True)
class ObjectRow:
    """A configured object.

    Attributes:
        name: Its name.
        partner: Its owner.
        version: The offset of the change that made it so.
        operator: Who made that change.
        fields: Its fields; a credential is never shown.
    """

    name: str
    partner: str
    version: int
    operator: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class ConfigRow:
    """The configuration in force here.

    Attributes:
        name: This daemon's id.
        applied: The offset in force.
        source: log, or none while the log does not answer.
        age_s: Seconds since the log last failed to answer; 0 while it does.
        digest: Digest of the partner's state, to compare daemons by.
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
    """Return rows as they go out: objects with their fields side by side."""
    rendered = []
    for row in rows:
        plain = msgspec.to_builtins(row)
        plain.update(plain.pop("fields", {}))
        rendered.append(plain)
    return rendered


def filter_rows(
    rendered: list[dict[str, Any]], show: statements.Show
) -> list[dict[str, Any]]:
    """Return the rows that a query's name and conditions keep."""
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
    # Words that look like numbers come as numbers from the parser.
    return found == wanted or str(found) == str(wanted)
