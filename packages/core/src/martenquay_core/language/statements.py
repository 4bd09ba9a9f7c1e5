"""Syntax tree types of the operators' language."""

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
    """A name, optionally qualified with a partner.

    Attributes:
        partner: Name of the partner; None for the operator's own.
        name: Name of the object.
    """

    partner: str | None
    name: str


@dataclasses.dataclass(frozen=True)
class Condition:
    """Filter for rows in which a field has a value.

    Attributes:
        field: Name of the field.
        value: Value to compare with.
    """

    field: str
    value: Value


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Assignment of a value to a field.

    Attributes:
        field: Name of the field.
        value: New value.
    """

    field: str
    value: Value


@dataclasses.dataclass(frozen=True)
class Show:
    """Query that lists rows of one kind.

    Attributes:
        noun: Kind of rows, such as `runners`.
        name: List only the row of this name; None for all.
        conditions: Filters that a row must match, all of them.
    """

    noun: str
    name: Qualified | None
    conditions: tuple[Condition, ...]


@dataclasses.dataclass(frozen=True)
class Why:
    """Query for the decisions made on one request.

    Attributes:
        request_id: Id of the request.
    """

    request_id: str


@dataclasses.dataclass(frozen=True)
class Create:
    """Command that creates an object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        assignments: Values of its fields.
    """

    kind: str
    name: Qualified
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True)
class Set:
    """Command that changes fields of an object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        assignments: New values of the fields to change.
        version: Required current version; None for any.
    """

    kind: str
    name: Qualified
    assignments: tuple[Assignment, ...]
    version: int | None


@dataclasses.dataclass(frozen=True)
class Drop:
    """Command that deletes an object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Required current version; None for any.
    """

    kind: str
    name: Qualified
    version: int | None


Query = Show | Why
Command = Create | Set | Drop
Statement = Query | Command
