"""Define the objects that operators configure, checked at the border."""

from __future__ import annotations

import dataclasses
import enum
from typing import Annotated, Any

import pydantic
from expression import Error, Ok, Result

from martenquay_core.util import credentials

__all__ = [
    "NAME_PATTERN",
    "ConfigObject",
    "Kind",
    "Limit",
    "ObjectKey",
    "Pool",
    "PoolKind",
    "Route",
    "Rule",
    "Share",
    "Team",
    "Urgency",
    "check_object",
    "list_fields",
]

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

# pydantic reads this from a plain data class; unknown fields are refused.
_STRICT = pydantic.ConfigDict(extra="forbid")

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
OptionalName = Annotated[str, pydantic.Field(pattern=r"^$|" + NAME_PATTERN)]
Fraction = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
Digest = Annotated[str, pydantic.Field(pattern=credentials.DIGEST_PATTERN)]


class Kind(enum.StrEnum):
    """The kinds of object."""

    TEAM = "team"
    POOL = "pool"
    ROUTE = "route"
    RULE = "rule"
    LIMIT = "limit"
    SHARE = "share"


class Urgency(enum.StrEnum):
    """How long a request may wait."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    DEFERRABLE = "deferrable"

    @property
    def rank(self) -> int:
        """Return 0 for the most urgent, growing from there."""
        return list(Urgency).index(self)


class PoolKind(enum.StrEnum):
    """What the runners of a pool are."""

    MODEL = "model"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, order=True)
class ObjectKey:
    """Name an object.

    Attributes:
        partner: Its owner.
        kind: Its kind.
        name: Its name, unique within partner and kind.
    """

    partner: str
    kind: Kind
    name: str

    def __str__(self) -> str:
        """Return the form that operators write."""
        return f"{self.kind} {self.partner}/{self.name}"


@dataclasses.dataclass(frozen=True)
class Team:
    """A team of callers.

    Attributes:
        credential: Digest of its key.
        weight: Its share when the partner's teams compete.
        concurrency: The most requests it may have running.
        token_rate: The most tokens a second it may have generated.
    """

    __pydantic_config__ = _STRICT

    credential: Digest
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    concurrency: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 64
    token_rate: Annotated[float, pydantic.Field(gt=0)] = 20_000.0


@dataclasses.dataclass(frozen=True)
class Pool:
    """A set of runners that serve the same thing.

    Attributes:
        kind: Model engines or a plain service.
        checks_orders: The runners themselves refuse a repeated key and an
            order with an old fencing token.
    """

    __pydantic_config__ = _STRICT

    kind: PoolKind
    checks_orders: bool = False


@dataclasses.dataclass(frozen=True)
class Route:
    """What callers name to be served.

    Attributes:
        pool: The pool of the same partner that serves it.
        urgency: How long its requests may wait.
        repeatable: A call may be sent again when its answer is lost.
        deadline_s: Seconds that a request may take in all.
    """

    __pydantic_config__ = _STRICT

    pool: Name
    urgency: Urgency = Urgency.INTERACTIVE
    repeatable: bool = True
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=86_400)] = 30.0


@dataclasses.dataclass(frozen=True)
class Rule:
    """An urgency that one team has on one route.

    Attributes:
        route: The route.
        team: The team.
        urgency: What holds instead of the route's.
    """

    __pydantic_config__ = _STRICT

    route: Name
    team: Name
    urgency: Urgency


@dataclasses.dataclass(frozen=True)
class Limit:
    """A bound on a pool's use at each daemon.

    Attributes:
        pool: The pool.
        concurrency: The most requests running there from one daemon.
        queue: The most requests waiting for it at one daemon.
    """

    __pydantic_config__ = _STRICT

    pool: Name
    concurrency: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 256
    queue: Annotated[int, pydantic.Field(ge=0, le=100_000)] = 512


@dataclasses.dataclass(frozen=True)
class Share:
    """Capacity that the owner lends to the other partner.

    Attributes:
        pool: The owner's pool.
        to: The partner who may use it.
        fraction: The part of the pool's runners that may be used.
        serves: The borrower's pool whose requests may come here.
    """

    __pydantic_config__ = _STRICT

    pool: Name
    to: Name
    serves: Name
    fraction: Fraction = 0.25


ConfigObject = Team | Pool | Route | Rule | Limit | Share

_TYPES: dict[Kind, type[Any]] = {
    Kind.TEAM: Team,
    Kind.POOL: Pool,
    Kind.ROUTE: Route,
    Kind.RULE: Rule,
    Kind.LIMIT: Limit,
    Kind.SHARE: Share,
}
_ADAPTERS = {
    kind: pydantic.TypeAdapter(object_type)
    for kind, object_type in _TYPES.items()
}


def check_object(
    kind: Kind, fields: dict[str, Any]
) -> Result[ConfigObject, str]:
    """Build the object of a kind from its fields, or say what is wrong."""
    try:
        return Ok(_ADAPTERS[kind].validate_python(fields))
    except pydantic.ValidationError as error:
        return Error(
            "; ".join(_describe_error(detail) for detail in error.errors())
        )


def list_fields(kind: Kind) -> list[str]:
    """Return the names of the fields that a kind has."""
    return [field.name for field in dataclasses.fields(_TYPES[kind])]


def _describe_error(detail: Any) -> str:
    field_path = ".".join(str(key) for key in detail["loc"])
    return f"{field_path}: {detail['msg']}"
