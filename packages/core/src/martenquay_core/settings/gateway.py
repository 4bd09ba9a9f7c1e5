"""Define the settings of a daemon that serves on a platform."""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = [
    "BoundSettings",
    "GatewayListen",
    "GatewayPlatform",
    "GatewaySettings",
]

# What no socket can be given would come up only where the address is used.
_OCTET = r"(25[0-5]|2[0-4]\d|1?\d?\d)"
_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]?\d{1,4})"
_ADDRESS = rf"^({_OCTET}\.){{3}}{_OCTET}:{_PORT}$"
Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
Text = Annotated[str, msgspec.Meta(min_length=1)]
Path = Annotated[str, msgspec.Meta(pattern=r"^/")]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


# Structs in place of pydantic models: importing pydantic takes a fifth of a
# daemon's start, and all daemons may have to start at once.
class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of which each has to be known."""


class GatewayListen(_Strict, kw_only=True, frozen=True):
    """Where the daemon listens.

    Attributes:
        callers: For callers' HTTP.
        readiness: For the balancer's question, and for metrics.
        readiness_path: Answers 200 while callers are welcome.
        metrics_path: Answers with metrics.
        ip: The instance's own address, for links between daemons.
        peer_port: For links between daemons; alike on all instances.
        peer_announce: Where other daemons reach that port, if something
            stands between.
    """

    callers: Address
    readiness: Address
    readiness_path: Path
    metrics_path: Path = "/metrics"
    ip: Text
    peer_port: Port
    peer_announce: Address | None = None


class GatewayPlatform(_Strict, kw_only=True, frozen=True):
    """Where the platform's services are.

    Attributes:
        log: The log.
        cloud: The cloud API; absent where there are no duties.
        duties: Whether daemons report usage and order runners.
    """

    log: Address
    cloud: Address | None = None
    duties: bool = False


class BoundSettings(_Strict, kw_only=True, frozen=True):
    """Bounds that the platform's operators set.

    The defaults are the users' sites' figures, without their slack.

    Attributes:
        grace_s: Between the stop signal and the kill.
        lease_ms: For which the holder of a duty may act.
        window_s: Length of a usage window.
        usage_late_s: A window's report is due so long after its end.
        retry_ratio: Repeats as a share of requests, over all daemons.
        retry_window_s: The time over which both are counted.
        retry_slack: Repeats beyond the ratio, over all daemons.
        drain_ms: A runner that has said that it leaves may get work for so
            long.
        allowance_window_s: The time over which a team's units are counted.
        allowance_overrun: Units beyond the allowance that are tolerated in
            it, as a share of the allowance.
        allowance_slack: Units tolerated beyond that.
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


class GatewaySettings(_Strict, kw_only=True, frozen=True):
    """All settings of a daemon that serves on a platform.

    Attributes:
        instance: The instance's name.
        zone: Its availability zone.
        listen: Where it listens.
        platform: Where the platform is.
        bounds: What its operators bound.
        seeds: Addresses of other daemons' instances, possibly stale.
        link_mbps: Of the instance's link; in a large fleet the daemons with
            the best ones report to the others. 0 if not known.
    """

    instance: Text
    zone: Text
    listen: GatewayListen
    platform: GatewayPlatform
    bounds: BoundSettings = BoundSettings()
    seeds: list[str] = []
    link_mbps: NotNegative = 0.0
