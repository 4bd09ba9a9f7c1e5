"""Add up what each role costs one node at the size to come."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.membership import links

if TYPE_CHECKING:
    from bench.capacity.measures import Slope

    pass


__all__ = ["Role", "compute_roles", "count_appends"]

# The size in two years, from the users' letter.
NODES = 400
RUNNERS = 790
ZONES = 7
REGIONS = 2
REQUESTS_S = 4000.0
CHANGES_DAY = 1100
FAILURES_DAY = 18
REPLACED_DAY = 74
DAY_S = 86_400.0
# At this size heartbeats go every two seconds; news goes out at once.
HEARTBEAT_S = 2.0
LIST_POLL_S = 2.0
# Nothing in the letter says how many calls carry a key or may wait; these
# are this page's own assumptions and are named on it.
KEYED_SHARE = 0.05
DEFERRABLE_SHARE = 0.10
SHARDS = 256
INDEX_BLOCKS = 80_000
FOLLOWERS = 2
RETENTION_S = 86_400.0
LINKS = links.LINKS_IN_ZONE + links.LINKS_TO_ZONE * (ZONES - 1)
CPU_BUDGET = 0.016
BYTES_BUDGET = 5_000.0
MEMORY_BUDGET_MB = 128.0


@dataclasses.dataclass(frozen=True)
class Role:
    """What a role costs one node at the size to come.

    Attributes:
        name: The role.
        mechanism: What carries it.
        state: What it keeps.
        messages_s: Messages a second.
        cpu: Share of a core.
        memory_mb: Megabytes.
        bytes_s: Bytes a second.
    """

    name: str
    mechanism: str
    state: str
    messages_s: float
    cpu: float
    memory_mb: float
    bytes_s: float


def count_appends() -> tuple[float, float]:
    """Return the log's appends a second: as built, and with shared appenders.

    Shared: 24 claim streams every 0.1 s, 24 work streams every 0.2 s, and
    contents by one daemon a zone every 0.1 s.
    """
    claims = REQUESTS_S * KEYED_SHARE
    works = REQUESTS_S * DEFERRABLE_SHARE
    as_built = 2 * claims + 2 * works + 2 * works
    shared = 24 / 0.1 + 24 / 0.2 + ZONES / 0.1
    return as_built, shared


def compute_roles(slopes: dict[str, Slope]) -> list[Role]:
    """Return each role, and last all of them together."""
    roles = [
        _compute_links(slopes),
        _compute_spread(slopes),
        _compute_configuration(slopes),
        _compute_snapshots(slopes),
        _compute_directory(slopes),
        _compute_routing(slopes),
        _compute_claims(slopes),
        _compute_work(slopes),
        _compute_gateway(slopes),
    ]
    return [*roles, _sum_roles(roles)]


def _compute_links(slopes: dict[str, Slope]) -> Role:
    beat = slopes["heartbeat with its reply"]
    # Each node sends to its chosen peers and is chosen by as many.
    rate = 2 * LINKS / HEARTBEAT_S
    return Role(
        "peer links",
        "heartbeats to peers chosen by rendezvous hashing",
        f"{LINKS} links out, as many in",
        2 * rate,
        rate * beat.seconds,
        0.0,
        rate * beat.wire,
    )


def _compute_spread(slopes: dict[str, Slope]) -> Role:
    member = slopes["daemon in the table"]
    # Each failure is told as suspected and dead, each start and planned stop
    # as alive and leaving; every link may carry each report both ways.
    reports = (2 * FAILURES_DAY + 2 * REPLACED_DAY) / DAY_S
    carried = reports * 2 * LINKS
    return Role(
        "membership",
        "reports merged by a fixed order, sent as deltas",
        f"{NODES} daemons",
        carried,
        carried * member.seconds,
        NODES * member.memory / 1e6,
        carried * member.wire,
    )


def _compute_configuration(slopes: dict[str, Slope]) -> Role:
    change = slopes["configuration change"]
    beat = slopes["heartbeat with its reply"]
    per_s = CHANGES_DAY / DAY_S
    # Each change also makes every link carry one more heartbeat.
    beats = per_s * 2 * LINKS
    held = slopes["configured object"].memory
    return Role(
        "log follower and operators",
        "long poll of the log; fold",
        "2,000 objects, 4,096 verdicts",
        per_s + beats,
        per_s * change.seconds + beats * beat.seconds,
        2000 * held / 1e6 + 4096 * slopes["remembered verdict"].memory / 1e6,
        per_s * change.wire + beats * beat.wire + 300 / 10.0,
    )


def _compute_snapshots(slopes: dict[str, Slope]) -> Role:
    item = slopes["object in a snapshot"]
    # Read once at a start, made by one daemon of each partner every 10 min.
    made = 1 / 600.0 / (NODES / 2)
    started = REPLACED_DAY / NODES / DAY_S
    objects_held = 2000 + 4096
    return Role(
        "snapshot publisher",
        "signed chunks in the log",
        "the latest snapshot of each partner",
        made,
        (made + started) * objects_held * item.seconds,
        objects_held * item.wire / 1e6,
        (made + started) * objects_held * item.wire,
    )


def _compute_directory(slopes: dict[str, Slope]) -> Role:
    runner = slopes["runner in one reading of the list"]
    listed = RUNNERS + NODES
    # Each instance that comes or goes changes the list twice: listed,
    # leaving or gone. Runners are taken to be replaced as often as nodes.
    changes_s = 2 * (FAILURES_DAY + REPLACED_DAY) * listed / NODES / DAY_S
    polls_s = 1 / LIST_POLL_S
    not_modified = 300
    return Role(
        "instance list",
        "conditional reads; whole only when changed",
        f"{listed} instances",
        polls_s,
        changes_s * listed * runner.seconds,
        listed * runner.memory / 1e6,
        polls_s * not_modified + changes_s * listed * runner.wire,
    )


def _compute_routing(slopes: dict[str, Slope]) -> Role:
    block = slopes["block in the prefix index"]
    in_ring = slopes["runner in a ring"]
    changes_s = (RUNNERS / NODES) * REPLACED_DAY / DAY_S
    blocks_s = REQUESTS_S / NODES * 19
    held = INDEX_BLOCKS * block.memory / 1e6
    return Role(
        "routing index",
        "own placements and prefix homes on a ring",
        f"{INDEX_BLOCKS} blocks, one ring a pool",
        0.0,
        blocks_s * block.seconds + changes_s * RUNNERS * in_ring.seconds,
        held + RUNNERS * in_ring.memory / 1e6,
        0.0,
    )


def _compute_claims(slopes: dict[str, Slope]) -> Role:
    claim = slopes["claim with its outcome"]
    rate = REQUESTS_S * KEYED_SHARE * FOLLOWERS / NODES
    kept = rate * RETENTION_S
    return Role(
        "claims",
        f"{SHARDS} streams, {FOLLOWERS} followers each",
        f"{kept:.0f} keys of one day",
        2 * rate,
        rate * claim.seconds,
        kept * claim.memory / 1e6,
        2 * rate * claim.wire,
    )


def _compute_work(slopes: dict[str, Slope]) -> Role:
    work = slopes["deferrable request, answered"]
    rate = REQUESTS_S * DEFERRABLE_SHARE * FOLLOWERS / NODES
    kept = rate * RETENTION_S
    return Role(
        "acceptances",
        f"{SHARDS} streams, {FOLLOWERS} followers each",
        f"{kept:.0f} answers of one day",
        2 * rate,
        rate * work.seconds,
        kept * work.memory / 1e6,
        rate * work.wire,
    )


def _compute_gateway(slopes: dict[str, Slope]) -> Role:
    held = slopes["request in flight"].memory
    # 275 tokens at 49 ms and the first at 0.57 s: 14 s a request.
    in_flight = REQUESTS_S / NODES * 14
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
        f"budget {100 * CPU_BUDGET:.1f}% of a core, "
        f"{MEMORY_BUDGET_MB:.0f} MB, {BYTES_BUDGET:.0f} bytes/s",
        "",
        sum(r.messages_s for r in roles),
        sum(r.cpu for r in roles),
        sum(r.memory_mb for r in roles),
        sum(r.bytes_s for r in roles),
    )
