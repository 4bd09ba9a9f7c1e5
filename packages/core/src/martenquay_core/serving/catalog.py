"""The routes, services, teams and limits that operators put in force."""

from __future__ import annotations

import dataclasses
import enum

__all__ = [
    "CallerLimits",
    "Catalog",
    "Destination",
    "EngineTraits",
    "Route",
    "CallKind",
    "ScalingLimits",
    "Service",
    "Team",
    "create_empty_catalog",
]


class CallKind(enum.Enum):
    """What may be done again with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Destination:
    """One service that a route may send to.

    Attributes:
        service: The service's name.
        weight: Its share of the route's requests, relative to the others.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Route:
    """How the requests of one host and path prefix are served.

    Attributes:
        name: The operators' name for it.
        host: The host that callers name.
        prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: The longest that a request is held.
        target_s: Within this, an answer is on time.
        destinations: Where requests go; never empty.
        max_attempts: Runners that one request may be sent to.
        urgency: 0 is the most urgent.
        is_public: No key is needed.
        is_resumable: A broken stream may go on at another runner.
        max_pause_s: The longest good pause between two events; 0 if unknown.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    target_s: float
    destinations: tuple[Destination, ...]
    max_attempts: int = 1
    urgency: int = 0
    is_public: bool = False
    is_resumable: bool = False
    max_pause_s: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case CallKind.IDEMPOTENT:
                return True
            case CallKind.STREAM:
                return self.is_resumable
            case CallKind.NON_IDEMPOTENT:
                return False


@dataclasses.dataclass(frozen=True)
class EngineTraits:
    """What is known of the model engines of a service.

    Attributes:
        slots: Requests that one engine runs at once.
        kv_tokens: Tokens that its KV cache holds.
        can_move: Whether a run's KV cache can be copied to another engine.
        can_back_up: Whether an engine can keep such a copy up to date.
    """

    slots: int
    kv_tokens: int
    can_move: bool = False
    can_back_up: bool = False


@dataclasses.dataclass(frozen=True)
class ScalingLimits:
    """How many runners of a service may be ordered in a zone, and the cost.

    Attributes:
        least: Of both kinds together, in each availability zone.
        most: Of both kinds together, in each availability zone.
        boot_s: Until a new runner serves.
        reclaimable_price: As a share of an on-demand runner's price.
        zone_prices: Price of an on-demand runner by availability zone.
    """

    least: int
    most: int
    boot_s: float
    reclaimable_price: float
    zone_prices: dict[str, float]


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and what its runners can do.

    Attributes:
        name: The service's name.
        health_path: Answers 200 while a runner is healthy.
        max_connections: That one runner takes from all daemons together.
        engine: Set if the runners are model engines.
        scaling: Set if runners can be ordered.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    engine: EngineTraits | None = None
    scaling: ScalingLimits | None = None


@dataclasses.dataclass(frozen=True)
class Team:
    """A team of callers and its allowance.

    Attributes:
        name: The team's name.
        keys: Its callers' keys.
        urgency: Goes before the routes' urgency, if set.
        rate: Units a second over all daemons; 0 means no limit.
        burst: Units beyond the rate that may come at once.
        counts_tokens: Units are tokens, else requests.
        default_tokens: Units of a request that tells no token counts.
    """

    name: str
    keys: tuple[str, ...]
    urgency: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: float = 1.0


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What callers may send and how long they may take.

    Attributes:
        header_bytes: The largest request head.
        body_bytes: The largest request body.
        header_s: In which a request has to be in once it has begun.
        idle_s: For which a connection may rest between requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One whole version of what operators put in force.

    Attributes:
        version: Rises with each change; 0 before the first is known.
        routes: All routes.
        services: Services by name.
        teams: All teams; empty if callers need no keys.
        limits: What callers may send.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    teams: tuple[Team, ...] = ()
    limits: CallerLimits = CallerLimits()


def create_empty_catalog() -> Catalog:
    """Return what a daemon has before it knows any version."""
    return Catalog(version=0)
