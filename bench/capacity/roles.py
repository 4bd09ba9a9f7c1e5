"""Compute the cost of each role to one node at the planned fleet size."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.membership import links

if TYPE_CHECKING:
    from bench.capacity.measures import Slope

    pass


__all__ = ["Role", "compute_roles", "count_appends"]

# Planned fleet size and load.
NODES = 400
RUNNERS = 790
ZONES = 7
REGIONS = 2
REQUESTS_PER_S = 4000.0
CHANGES_PER_DAY = 1100
FAILURES_PER_DAY = 18
REPLACEMENTS_PER_DAY = 74
DAY_S = 86_400.0
# Large fleets use a longer interval; state changes are sent at once.
HEARTBEAT_INTERVAL_S = 2.0
LIST_POLL_INTERVAL_S = 2.0
# Assumptions, listed in docs/CAPACITY.md.
KEYED_SHARE = 0.05
DEFERRABLE_SHARE = 0.10
STREAMS = 256
PREFIX_INDEX_BLOCKS = 80_000
FOLLOWERS_PER_STREAM = 2
RETENTION_S = 86_400.0
LINKS_PER_NODE = links.LINKS_IN_ZONE + links.LINKS_TO_ZONE * (ZONES - 1)
CPU_BUDGET_CORES = 0.016
TRAFFIC_BUDGET_BYTES_PER_S = 5_000.0
MEMORY_BUDGET_MB = 128.0


@dataclasses.dataclass(frozen=True)
class Role:
    """Cost of a role to one node at the planned fleet size.

    Attributes:
        name: Name of the role.
        mechanism: How it works.
        state: State that it stores.
        messages_per_s: Messages per second.
        cpu_cores: Processor time in cores.
        memory_mb: Memory in megabytes.
        bytes_per_s: Traffic in bytes per second.
    """

    name: str
    mechanism: str
    state: str
    messages_per_s: float
    cpu_cores: float
    memory_mb: float
    bytes_per_s: float


def count_appends() -> tuple[float, float]:
    """Return the log's appends per second: current, and with shared appenders.

    Shared appenders write 24 claim streams every 0.1 s, 24 streams of
    deferrable requests every 0.2 s and their bodies by one daemon per zone
    every 0.1 s.
    """
    claims_per_s = REQUESTS_PER_S * KEYED_SHARE
    deferrable_per_s = REQUESTS_PER_S * DEFERRABLE_SHARE
    current_per_s = (
        2 * claims_per_s + 2 * deferrable_per_s + 2 * deferrable_per_s
    )
    shared_per_s = 24 / 0.1 + 24 / 0.2 + ZONES / 0.1
    return current_per_s, shared_per_s


def compute_roles(slopes: dict[str, Slope]) -> list[Role]:
    """Return the costs of all roles, followed by their sum."""
    roles = [
        _compute_links(slopes),
        _compute_membership(slopes),
        _compute_configuration(slopes),
        _compute_snapshots(slopes),
        _compute_directory(slopes),
        _compute_routing(slopes),
        _compute_claims(slopes),
        _compute_deferrable(slopes),
        _compute_gateway(slopes),
    ]
    return [*roles, _sum_roles(roles)]


def _compute_links(slopes: dict[str, Slope]) -> Role:
    heartbeat = slopes["heartbeat with its reply"]
    # Each node sends to its peers and is a peer of as many others.
    rate = 2 * LINKS_PER_NODE / HEARTBEAT_INTERVAL_S
    return Role(
        "peer links",
        "heartbeats to peers chosen by rendezvous hashing",
        f"{LINKS_PER_NODE} links out, as many in",
        2 * rate,
        rate * heartbeat.processor_s,
        0.0,
        rate * heartbeat.wire_bytes,
    )


def _compute_membership(slopes: dict[str, Slope]) -> Role:
    member = slopes["daemon in the table"]
    # A failure is reported as suspected and dead, a replacement as alive and
    # leaving; every link may carry each report both ways.
    reports_per_s = (2 * FAILURES_PER_DAY + 2 * REPLACEMENTS_PER_DAY) / DAY_S
    messages_per_s = reports_per_s * 2 * LINKS_PER_NODE
    return Role(
        "membership",
        "reports merged by a fixed order, sent as deltas",
        f"{NODES} daemons",
        messages_per_s,
        messages_per_s * member.processor_s,
        NODES * member.memory_bytes / 1e6,
        messages_per_s * member.wire_bytes,
    )


def _compute_configuration(slopes: dict[str, Slope]) -> Role:
    change = slopes["configuration change"]
    heartbeat = slopes["heartbeat with its reply"]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    # Each change also triggers one more heartbeat on every link.
    heartbeats_per_s = changes_per_s * 2 * LINKS_PER_NODE
    held = slopes["configured object"].memory_bytes
    return Role(
        "log follower and operators",
        "long poll of the log; fold",
        "2,000 objects, 4,096 verdicts",
        changes_per_s + heartbeats_per_s,
        changes_per_s * change.processor_s
        + heartbeats_per_s * heartbeat.processor_s,
        2000 * held / 1e6
        + 4096 * slopes["remembered verdict"].memory_bytes / 1e6,
        changes_per_s * change.wire_bytes
        + heartbeats_per_s * heartbeat.wire_bytes
        + 300 / 10.0,
    )


def _compute_snapshots(slopes: dict[str, Slope]) -> Role:
    snapshot_object = slopes["object in a snapshot"]
    # Read once per start, created by one daemon of each partner every 10 min.
    snapshots_per_s = 1 / 600.0 / (NODES / 2)
    starts_per_s = REPLACEMENTS_PER_DAY / NODES / DAY_S
    objects_held = 2000 + 4096
    return Role(
        "snapshot publisher",
        "signed chunks in the log",
        "the latest snapshot of each partner",
        snapshots_per_s,
        (snapshots_per_s + starts_per_s)
        * objects_held
        * snapshot_object.processor_s,
        objects_held * snapshot_object.wire_bytes / 1e6,
        (snapshots_per_s + starts_per_s)
        * objects_held
        * snapshot_object.wire_bytes,
    )


def _compute_directory(slopes: dict[str, Slope]) -> Role:
    runner = slopes["runner in one reading of the list"]
    instance_count = RUNNERS + NODES
    # A failed or replaced instance changes the list twice. Runners are
    # assumed to be replaced as often as nodes.
    changes_per_s = (
        2
        * (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY)
        * instance_count
        / NODES
        / DAY_S
    )
    polls_per_s = 1 / LIST_POLL_INTERVAL_S
    not_modified_bytes = 300
    return Role(
        "instance list",
        "conditional reads; whole only when changed",
        f"{instance_count} instances",
        polls_per_s,
        changes_per_s * instance_count * runner.processor_s,
        instance_count * runner.memory_bytes / 1e6,
        polls_per_s * not_modified_bytes
        + changes_per_s * instance_count * runner.wire_bytes,
    )


def _compute_routing(slopes: dict[str, Slope]) -> Role:
    block = slopes["block in the prefix index"]
    ring_runner = slopes["runner in a ring"]
    changes_per_s = (RUNNERS / NODES) * REPLACEMENTS_PER_DAY / DAY_S
    blocks_per_s = REQUESTS_PER_S / NODES * 19
    held = PREFIX_INDEX_BLOCKS * block.memory_bytes / 1e6
    return Role(
        "routing index",
        "own placements and prefix homes on a ring",
        f"{PREFIX_INDEX_BLOCKS} blocks, one ring a pool",
        0.0,
        blocks_per_s * block.processor_s
        + changes_per_s * RUNNERS * ring_runner.processor_s,
        held + RUNNERS * ring_runner.memory_bytes / 1e6,
        0.0,
    )


def _compute_claims(slopes: dict[str, Slope]) -> Role:
    claim = slopes["claim with its outcome"]
    rate = REQUESTS_PER_S * KEYED_SHARE * FOLLOWERS_PER_STREAM / NODES
    stored = rate * RETENTION_S
    return Role(
        "claims",
        f"{STREAMS} streams, {FOLLOWERS_PER_STREAM} followers each",
        f"{stored:.0f} keys of one day",
        2 * rate,
        rate * claim.processor_s,
        stored * claim.memory_bytes / 1e6,
        2 * rate * claim.wire_bytes,
    )


def _compute_deferrable(slopes: dict[str, Slope]) -> Role:
    deferrable = slopes["deferrable request, answered"]
    rate = REQUESTS_PER_S * DEFERRABLE_SHARE * FOLLOWERS_PER_STREAM / NODES
    stored = rate * RETENTION_S
    return Role(
        "acceptances",
        f"{STREAMS} streams, {FOLLOWERS_PER_STREAM} followers each",
        f"{stored:.0f} answers of one day",
        2 * rate,
        rate * deferrable.processor_s,
        stored * deferrable.memory_bytes / 1e6,
        rate * deferrable.wire_bytes,
    )


def _compute_gateway(slopes: dict[str, Slope]) -> Role:
    held = slopes["request in flight"].memory_bytes
    # 275 tokens at 49 ms and 0.57 s to the first: 14 s per request.
    in_flight = REQUESTS_PER_S / NODES * 14
    return Role(
        "caller gateway (state only)",
        "one task a request",
        f"{in_flight:.0f} requests in flight",
        0.0,
        0.0,
        in_flight * held / 1e6,
        0.0,
    )


def _sum_roles(roles: list[Role]) -> Role:
    return Role(
        "all",
        f"budget {100 * CPU_BUDGET_CORES:.1f}% of a core, "
        f"{MEMORY_BUDGET_MB:.0f} MB, {TRAFFIC_BUDGET_BYTES_PER_S:.0f} bytes/s",
        "",
        sum(r.messages_per_s for r in roles),
        sum(r.cpu_cores for r in roles),
        sum(r.memory_mb for r in roles),
        sum(r.bytes_per_s for r in roles),
    )
