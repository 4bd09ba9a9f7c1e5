"""The operators' catalog of routes, services, teams and limits."""

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
    """Whether the requests of a route may be retried or resumed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Destination:
    """One service that a route sends requests to.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests, relative to the others'.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Route:
    """How the requests of one host and path prefix are served.

    Attributes:
        name: Name of the route.
        host: Host that requests must name.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may be retried.
        timeout_s: Maximum seconds from the request to the answer.
        target_s: Latency target in seconds.
        destinations: Services that get the requests; never empty.
        max_attempts: Maximum runners that one request is sent to.
        urgency: Priority; 0 is the most urgent.
        is_public: Requests need no API key.
        is_resumable: Another runner may continue a broken stream.
        max_pause_s: Longest normal pause between two stream events, in
            seconds; 0 if unknown.
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
    """Capacity and features of a service's model engines.

    Attributes:
        slots: Requests that one engine runs concurrently.
        kv_tokens: Size of its KV cache in tokens.
        can_move: A request's KV cache can be copied to another engine.
        can_back_up: An engine can keep such a copy up to date.
        kv_token_bytes: Size of one token in its KV cache.
        link_mbps: Bandwidth between two engines in Mbit/s.
        kv_handle_s: Seconds for which an unused copy is kept.
    """

    slots: int
    kv_tokens: int
    can_move: bool = False
    can_back_up: bool = False
    kv_token_bytes: int = 18_432
    link_mbps: float = 88_000.0
    kv_handle_s: float = 5.0


@dataclasses.dataclass(frozen=True)
class ScalingLimits:
    """Bounds and prices for autoscaling a service's runners.

    Attributes:
        least: Minimum runners in each availability zone, on-demand and
            reclaimable ones together.
        most: Maximum runners in each availability zone, counted alike.
        boot_s: Cold start: seconds until a new runner serves.
        reclaimable_price: Price of a reclaimable runner as a share of an
            on-demand runner's.
        zone_prices: Price of an on-demand runner by availability zone.
    """

    least: int
    most: int
    boot_s: float
    reclaimable_price: float
    zone_prices: dict[str, float]


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and the properties of its runners.

    Attributes:
        name: Name of the service.
        health_path: Path that answers 200 while a runner is healthy.
        max_connections: Maximum connections to one runner from all daemons
            together.
        engine: Model engine traits; None if the runners are no engines.
        scaling: Autoscaling bounds; None if no runners can be ordered.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    engine: EngineTraits | None = None
    scaling: ScalingLimits | None = None


@dataclasses.dataclass(frozen=True)
class Team:
    """A team of callers and its quota.

    Attributes:
        name: Name of the team.
        keys: API keys of its callers.
        urgency: Priority that overrides the routes'; None for none.
        rate: Quota in units a second over all daemons; 0 means no limit.
        burst: Units that may be spent at once beyond the rate.
        counts_tokens: Units are tokens; otherwise they are requests.
        default_tokens: Units charged for a request without token counts.
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
    """Size and time limits for callers' requests.

    Attributes:
        header_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of the request body.
        header_s: Seconds for the complete request head, and for each piece of
            the body.
        idle_s: Seconds that a connection may be idle between requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One complete version of the operators' configuration.

    Attributes:
        version: Grows with each change; 0 before the first one is known.
        routes: All routes.
        services: Services by name.
        teams: All teams; empty if callers need no API keys.
        limits: Limits for callers' requests.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    teams: tuple[Team, ...] = ()
    limits: CallerLimits = CallerLimits()


def create_empty_catalog() -> Catalog:
    """Return the catalog of a daemon that has read no version yet."""
    return Catalog(version=0)
