"""Define the statements of the operators' language, typed."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

__all__ = [
    "Assignment",
    "Command",
    "Condition",
    "Create",
    "Drop",
    "Qualified",
    "Query",
    "Set",
    "Show",
    "Statement",
    "Value",
    "Why",
]

Value: TypeAlias = str | int | float | bool


@dataclasses.dataclass(frozen=True)
class Qualified:
    """A name, with its partner when one was written.

    Attributes:
        partner: The partner, or None for the operator's own.
        name: The name.
    """

    partner: str | None
    name: str


@dataclasses.dataclass(frozen=True)
class Condition:
    """Keep rows whose field has this value.

    Attributes:
        field: The field's name.
        value: The value it has to have.
    """

    field: str
    value: Value


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Give a field a value.

    Attributes:
        field: The field's name.
        value: Its new value.
    """

    field: str
    value: Value


@dataclasses.dataclass(frozen=True)
class Show:
    """List things of one kind.

    Attributes:
        noun: What to list.
        name: Only the one of this name.
        conditions: Only rows that meet all of these.
    """

    noun: str
    name: Qualified | None
    conditions: tuple[Condition, ...]


@dataclasses.dataclass(frozen=True)
class Why:
    """Ask for the decisions on one request.

    Attributes:
        request_id: The request.
    """

    request_id: str


@dataclasses.dataclass(frozen=True)
class Create:
    """Make a new object.

    Attributes:
        kind: Its kind.
        name: Its name.
        assignments: Its fields.
    """

    kind: str
    name: Qualified
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True)
class Set:
    """Change fields of an object.

    Attributes:
        kind: Its kind.
        name: Its name.
        assignments: The fields to change.
        version: The version it has to be at, if the operator says so.
    """

    kind: str
    name: Qualified
    assignments: tuple[Assignment, ...]
    version: int | None


@dataclasses.dataclass(frozen=True)
class Drop:
    """Remove an object.

    Attributes:
        kind: Its kind.
        name: Its name.
        version: The version it has to be at, if the operator says so.
    """

    kind: str
    name: Qualified
    version: int | None


Query = Show | Why
Command = Create | Set | Drop
Statement = Query | Command
