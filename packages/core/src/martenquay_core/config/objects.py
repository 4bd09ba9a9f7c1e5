"""Types of the objects that operators configure, and their validation."""

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

# pydantic reads `__pydantic_config__` from a plain data class.
_STRICT = pydantic.ConfigDict(extra="forbid")

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
OptionalName = Annotated[str, pydantic.Field(pattern=r"^$|" + NAME_PATTERN)]
Fraction = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
Digest = Annotated[str, pydantic.Field(pattern=credentials.DIGEST_PATTERN)]


class Kind(enum.StrEnum):
    """Kinds of configuration objects."""

    TEAM = "team"
    POOL = "pool"
    ROUTE = "route"
    RULE = "rule"
    LIMIT = "limit"
    SHARE = "share"


class Urgency(enum.StrEnum):
    """Priority class of a request."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    DEFERRABLE = "deferrable"

    @property
    def rank(self) -> int:
        """Return the priority; 0 is the most urgent."""
        return list(Urgency).index(self)


class PoolKind(enum.StrEnum):
    """Kind of the runners in a pool."""

    MODEL = "model"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, order=True)
class ObjectKey:
    """Unique key of a configuration object.

    Attributes:
        partner: Partner that owns the object.
        kind: Kind of the object.
        name: Name, unique within partner and kind.
    """

    partner: str
    kind: Kind
    name: str

    def __str__(self) -> str:
        """Return the key as operators write it."""
        return f"{self.kind} {self.partner}/{self.name}"


@dataclasses.dataclass(frozen=True)
class Team:
    """A team of callers.

    Attributes:
        credential: Digest of the team's API key.
        weight: Weight in fair queueing among the partner's teams.
        concurrency: Maximum requests in progress.
        token_rate: Rate limit in generated tokens a second.
    """

    __pydantic_config__ = _STRICT

    credential: Digest
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    concurrency: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 64
    token_rate: Annotated[float, pydantic.Field(gt=0)] = 20_000.0


@dataclasses.dataclass(frozen=True)
class Pool:
    """A set of interchangeable runners.

    Attributes:
        kind: Model engines or a plain service.
        checks_orders: The runners themselves refuse a repeated idempotency
            key and a request with an outdated fencing token.
    """

    __pydantic_config__ = _STRICT

    kind: PoolKind
    checks_orders: bool = False


@dataclasses.dataclass(frozen=True)
class Route:
    """A name that callers send requests to.

    Attributes:
        pool: Pool of the same partner that serves the requests.
        urgency: Priority class of the requests.
        repeatable: A request may be retried after its answer was lost.
        deadline_s: Seconds that a request may take in total.
    """

    __pydantic_config__ = _STRICT

    pool: Name
    urgency: Urgency = Urgency.INTERACTIVE
    repeatable: bool = True
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=86_400)] = 30.0


@dataclasses.dataclass(frozen=True)
class Rule:
    """Override of a route's priority class for one team.

    Attributes:
        route: Name of the route.
        team: Name of the team.
        urgency: Priority class that replaces the route's.
    """

    __pydantic_config__ = _STRICT

    route: Name
    team: Name
    urgency: Urgency


@dataclasses.dataclass(frozen=True)
class Limit:
    """Concurrency and queue limits of a pool at each daemon.

    Attributes:
        pool: Name of the pool.
        concurrency: Maximum requests in progress from one daemon.
        queue: Maximum requests queued at one daemon.
    """

    __pydantic_config__ = _STRICT

    pool: Name
    concurrency: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 256
    queue: Annotated[int, pydantic.Field(ge=0, le=100_000)] = 512


@dataclasses.dataclass(frozen=True)
class Share:
    """Capacity that the owner lends to the other partner.

    Attributes:
        pool: Pool of the owner.
        to: Partner that may use the pool.
        serves: Pool of that partner whose requests the lent runners serve.
        fraction: Fraction of the pool's runners that may be used.
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
    """Validate fields; return the object, or a description of all errors."""
    try:
        return Ok(_ADAPTERS[kind].validate_python(fields))
    except pydantic.ValidationError as error:
        return Error(
            "; ".join(_describe_error(detail) for detail in error.errors())
        )


def list_fields(kind: Kind) -> list[str]:
    """Return the field names of a kind."""
    return [field.name for field in dataclasses.fields(_TYPES[kind])]


def _describe_error(detail: Any) -> str:
    field_path = ".".join(str(key) for key in detail["loc"])
    return f"{field_path}: {detail['msg']}"
