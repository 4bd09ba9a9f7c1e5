"""Build test data for the serving path."""

from __future__ import annotations

from typing import Any

from martenquay_core.serving import (
    calls,
    catalog,
    ports,
    rollouts,
    runners,
    topics,
)
from martenquay_daemon.backpressure import (
    drain_reports,
    runner_admission,
    runner_backoffs,
    runner_limits,
    send_shares,
)
from martenquay_daemon.fleet import messages
from martenquay_daemon.forwarding import exchange
from martenquay_standins import loopback

__all__ = [
    "TOPICS",
    "FakeOriginPeers",
    "FakeRecords",
    "build_call",
    "build_catalog",
    "build_digest",
    "build_exchange",
    "build_gateway_settings",
    "build_order",
    "build_route",
    "build_runner",
    "build_runner_admission",
    "build_runner_limits",
    "build_scaling",
    "build_service",
    "build_summary",
    "build_team",
]

TOPICS = topics.Topics(
    catalog="catalog",
    catalog_key="config",
    runners="runners",
    members="members",
    lease="lease",
    usage="usage",
    strikes="strikes",
    rollouts="rollouts",
    origins="origins",
    versions="versions",
    status="status",
)


def build_route(**changes: Any) -> catalog.Route:
    """Return a route of idempotent requests."""
    fields: dict[str, Any] = {
        "name": "lookup",
        "host": "desk.example",
        "prefix": "/lookup/",
        "kind": catalog.CallKind.IDEMPOTENT,
        "timeout_s": 5.0,
        "target_s": 0.1,
        "destinations": (catalog.Destination("desk"),),
        "max_attempts": 2,
    }
    return catalog.Route(**(fields | changes))


def build_team(**changes: Any) -> catalog.Team:
    """Return a team without limits."""
    fields: dict[str, Any] = {"name": "florists", "keys": ("key-1",)}
    return catalog.Team(**(fields | changes))


def build_scaling(**changes: Any) -> catalog.ScalingLimits:
    """Return scaling limits for three zones with three runners each."""
    fields: dict[str, Any] = {
        "least": 1,
        "most": 3,
        "boot_s": 4.0,
        "reclaimable_price": 0.22,
        "zone_prices": {"a": 0.9, "b": 1.2, "c": 1.0},
    }
    return catalog.ScalingLimits(**(fields | changes))


def build_service(**changes: Any) -> catalog.Service:
    """Return a plain service."""
    fields: dict[str, Any] = {"name": "desk", "max_connections": 96}
    return catalog.Service(**(fields | changes))


def build_catalog(**changes: Any) -> catalog.Catalog:
    """Return a catalog with one route and no teams."""
    fields: dict[str, Any] = {
        "version": 3,
        "routes": (build_route(),),
        "services": {"desk": build_service()},
    }
    return catalog.Catalog(**(fields | changes))


def build_call(**changes: Any) -> calls.Call:
    """Return a request on the route of `build_route`."""
    fields: dict[str, Any] = {
        "id": "call-1",
        "method": "GET",
        "target": "/lookup/7",
        "host": "desk.example",
        "headers": [(b"host", b"desk.example")],
    }
    return calls.Call(**(fields | changes))


def build_exchange(**changes: Any) -> exchange.Exchange:
    """Return the state of a stream of up to 100 tokens."""
    fields: dict[str, Any] = {
        "call": build_call(tokens_in=10, tokens_out=100),
        "route": build_route(kind=catalog.CallKind.STREAM),
        "team": None,
        "service": "desk",
        "received_at": 0.0,
        "deadline": 15.0,
        "writer": None,
    }
    return exchange.Exchange(**(fields | changes))


def build_runner(**changes: Any) -> runners.Runner:
    """Return a runner of the service of `build_service`."""
    fields: dict[str, Any] = {
        "id": "runner-1",
        "service": "desk",
        "address": "127.0.0.1:1",
        "zone": "a",
        "slots": 6,
    }
    return runners.Runner(**(fields | changes))


def build_runner_limits(
    rank: int = 0, daemons: int = 1
) -> runner_limits.RunnerLimits:
    """Return the limits at a daemon that has the same rank for each runner."""
    sender_rank = send_shares.SenderRank(rank, daemons)
    return runner_limits.RunnerLimits(lambda _: sender_rank)


def build_runner_admission() -> runner_admission.RunnerAdmission:
    """Return the checks of a lone daemon to which no runner has reported."""
    return runner_admission.RunnerAdmission(
        build_runner_limits(),
        drain_reports.DrainReports(),
        runner_backoffs.RunnerBackoffs(),
    )


def build_digest(**changes: Any) -> messages.Digest:
    """Return a digest of another daemon."""
    fields: dict[str, Any] = {
        "member": "entry-2.aa",
        "instance": "entry-2",
        "zone": "b",
        "address": "127.0.0.1:7002",
        "number": 1,
        "catalog_version": 3,
        "runners_changed": 0,
        "log_age_ms": 0,
        "capacity": 0.0,
        "is_leaving": False,
        "lease": None,
        "window": 0,
        "delegation": None,
        "members_end": 0,
        "loads": {},
        "begun": {},
        "demand": {},
        "reading": {},
        "trials": {},
        "orders": [],
        "runner_reports": messages.NO_RUNNER_REPORTS,
    }
    return messages.Digest(**(fields | changes))


def build_summary(**changes: Any) -> messages.ZoneSummary:
    """Return a summary of another zone."""
    fields: dict[str, Any] = {
        "zone": "b",
        "hub": "entry-2.aa",
        "instance": "entry-2",
        "address": "127.0.0.1:7002",
        "number": 1,
        "daemons": 3,
        "catalog_version": 3,
        "runners_changed": 0,
        "runners_age_ms": 0,
        "log_age_ms": 0,
        "lease": None,
        "lease_member": "",
        "leaving": [],
        "window": 0,
        "members_end": 0,
        "begun": {},
        "demand": {},
        "reading": {},
        "trials": {},
    }
    return messages.ZoneSummary(**(fields | changes))


def build_gateway_settings(**changes: Any) -> dict[str, Any]:
    """Return the content of a valid settings file, with sections replaced."""
    settings: dict[str, Any] = {
        "instance": "entry-1",
        "zone": "a",
        "listen": {
            "callers": loopback.create_address(),
            "readiness": loopback.create_address(),
            "readiness_path": "/ready",
            "ip": loopback.HOST,
            "peer_port": 0,
        },
        "platform": {
            "log": "127.0.0.1:1",
            "cloud": "127.0.0.1:2",
            "duties": True,
        },
        "bounds": {
            "grace_s": 8,
            "lease_ms": 3000,
            "window_s": 5,
            "usage_late_s": 10,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 52,
            "allowance_window_s": 8,
            "allowance_overrun": 0.1,
            "allowance_slack": 72000,
        },
    }
    return settings | changes


def build_order(**changes: Any) -> ports.DesiredRunners:
    """Return a capacity order of one reclaimable runner."""
    fields: dict[str, Any] = {
        "service": "model",
        "zone": "a",
        "is_reclaimable": True,
        "wanted": 1,
    }
    return ports.DesiredRunners(**(fields | changes))


class FakeOriginPeers:
    """Fake of `log.OriginPeers`: by default a daemon of a small fleet.

    Attributes:
        shared: The records sent to other daemons.
        has_hubs: Whether the fleet is large.
        is_hub: Whether this daemon is the hub of its zone in a large fleet.
    """

    def __init__(self, *, has_hubs: bool = False, is_hub: bool = False) -> None:
        self.shared: list[bytes] = []
        self.has_hubs = has_hubs
        self.is_hub = is_hub

    def share_origins(self, record: bytes) -> bool:
        """Record what is sent."""
        self.shared.append(record)
        return True

    def leads_reading(self) -> bool:
        """Return whether this daemon writes to the log."""
        return self.is_hub or not self.has_hubs

    def is_mesh(self) -> bool:
        """Return whether the fleet is small."""
        return not self.has_hubs


class FakeRecords:
    """Fake of `ports.PlatformCodec` that decodes the records that tests set.

    Attributes:
        catalogs: Decoded catalogs by record.
        runners: Decoded runners by record.
    """

    def __init__(self) -> None:
        self.catalogs: dict[bytes, catalog.Catalog] = {}
        self.runners: dict[bytes, runners.Runner] = {}

    def decode_catalog(self, value: bytes) -> catalog.Catalog:
        """Return the catalog of a record."""
        if value not in self.catalogs:
            raise ValueError("no such record")
        return self.catalogs[value]

    def decode_rollout(
        self, key: str, value: bytes
    ) -> rollouts.RolloutOrder | None:
        if not key.startswith("rollout/"):
            return None
        service, version, duration_s = value.decode().split()
        return rollouts.RolloutOrder(service, version, float(duration_s))

    def encode_rollout_status(
        self, status: rollouts.RolloutStatus
    ) -> tuple[str, bytes]:
        text = f"{status.version} {status.state.value}"
        return f"rollout/{status.service}", text.encode()

    def decode_runner(self, key: str, value: bytes) -> runners.Runner:
        """Return the runner of a record."""
        del key
        if value not in self.runners:
            raise ValueError("no such record")
        return self.runners[value]
