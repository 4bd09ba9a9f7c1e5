"""Settings of a daemon that runs on a platform."""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = [
    "BoundSettings",
    "GatewayListen",
    "GatewayPlatform",
    "GatewaySettings",
    "LoadSettings",
    "ResourceSettings",
]

# A port or octet out of range would otherwise fail only when the daemon binds
# or connects.
_OCTET = r"(25[0-5]|2[0-4]\d|1?\d?\d)"
_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]?\d{1,4})"
_ADDRESS = rf"^({_OCTET}\.){{3}}{_OCTET}:{_PORT}$"
Ip = Annotated[str, msgspec.Meta(pattern=rf"^({_OCTET}\.){{3}}{_OCTET}$")]
Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
Text = Annotated[str, msgspec.Meta(min_length=1)]
Path = Annotated[str, msgspec.Meta(pattern=r"^/")]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Megabytes = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


# msgspec structs, since importing pydantic would slow down the daemon's start.
class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of settings; unknown keys are refused."""


class GatewayListen(_Strict, kw_only=True, frozen=True):
    """Addresses that the daemon listens on.

    Attributes:
        callers: Address for callers' HTTP requests.
        readiness: Address for the load balancer's readiness probe and for
            metrics.
        readiness_path: Path that answers 200 while the daemon accepts
            requests.
        metrics_path: Path of the metrics.
        ip: IP address of the instance, for connections between daemons.
        peer_port: Port for connections between daemons; the same on all
            instances.
        peer_announce: Address where other daemons reach that port, if it
            differs, for example behind a proxy.
        relay_port: Port for tunnels of daemons that do not reach a runner; 0
            for any free one.
    """

    callers: Address
    readiness: Address
    readiness_path: Path
    metrics_path: Path = "/metrics"
    ip: Ip
    peer_port: Port
    peer_announce: Address | None = None
    relay_port: Port = 0


class GatewayPlatform(_Strict, kw_only=True, frozen=True):
    """Addresses of the platform's services.

    Attributes:
        log: Address of the log.
        cloud: Address of the cloud API; needed only with `duties`.
        duties: Whether daemons report usage and order runners.
    """

    log: Address
    cloud: Address | None = None
    duties: bool = False


class BoundSettings(_Strict, kw_only=True, frozen=True):
    """Bounds that the platform's operators set.

    Attributes:
        grace_s: Seconds between the stop signal and the kill.
        lease_ms: Duration in ms of the lease of the duties.
        window_s: Length of a usage window in seconds.
        usage_late_s: Seconds after a window's end until its report is due.
        retry_ratio: Maximum retries as a share of requests, over all
            daemons.
        retry_window_s: Seconds over which both are counted.
        retry_slack: Retries allowed beyond the ratio, over all daemons.
        drain_ms: Time in ms that a runner may still get requests after it
            reported that it is draining.
        allowance_window_s: Seconds over which a team's units are counted.
        allowance_overrun: Units tolerated beyond the quota in that window,
            as a share of the quota.
        allowance_slack: Further units tolerated beyond that.
    """

    grace_s: Seconds = 8.0
    lease_ms: Milliseconds = 3000.0
    window_s: Seconds = 5.0
    usage_late_s: Seconds = 10.0
    retry_ratio: NotNegative = 0.2
    retry_window_s: Seconds = 10.0
    retry_slack: NotNegative = 0.0
    drain_ms: Milliseconds = 2000.0
    allowance_window_s: Seconds = 8.0
    allowance_overrun: NotNegative = 0.0
    allowance_slack: NotNegative = 0.0


class LoadSettings(_Strict, kw_only=True, frozen=True):
    """Which decisions under load the daemon makes.

    Each one also depends on the operators' configuration: overload admission
    on routes with a latency target, stream migration on engines that can move
    a KV cache, capacity memory on services whose runners can be ordered.

    Attributes:
        overload_admission: Reject requests by priority while a service's
            runners cannot begin all of them within their targets.
        runner_speeds: Learn and gossip the speed of each engine.
        stream_migration: Move streams off engines that are about to leave.
        capacity_memory: Keep learnt speeds and demand in the log for the next
            lease holder.
        expected_demand: Demand assumed before any is measured, as a share of
            the sum of the teams' rates; 0 assumes none.
    """

    overload_admission: bool = True
    runner_speeds: bool = True
    stream_migration: bool = True
    capacity_memory: bool = True
    expected_demand: Fraction = 0.0


class ResourceSettings(_Strict, kw_only=True, frozen=True):
    """What the instance gives the daemon's process.

    Attributes:
        memory_mb: Memory in MB. What callers' requests may hold, and the
            number of their connections, are derived from it.
        descriptors: Maximum number of open descriptors, which bounds callers'
            connections, too; 0 for the limit of the process.
    """

    memory_mb: Megabytes = 200.0
    descriptors: Count = 0


class GatewaySettings(_Strict, kw_only=True, frozen=True):
    """All settings of a daemon that runs on a platform.

    Attributes:
        instance: Name of the instance.
        zone: Availability zone.
        listen: Addresses to listen on.
        platform: Addresses of the platform's services.
        bounds: Bounds that the platform's operators set.
        seeds: Addresses of other daemons, possibly outdated.
        link_mbps: Network bandwidth of the instance in Mbit/s; 0 if unknown.
            In a large fleet the daemons with the most become hubs.
        load: Which decisions under load the daemon makes.
        resources: What the instance gives the daemon's process.
    """

    instance: Text
    zone: Text
    listen: GatewayListen
    platform: GatewayPlatform
    bounds: BoundSettings = BoundSettings()
    seeds: list[str] = []
    link_mbps: NotNegative = 0.0
    load: LoadSettings = LoadSettings()
    resources: ResourceSettings = ResourceSettings()
