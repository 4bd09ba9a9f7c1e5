"""Measure the traffic and processor time of gossip by fleet size.

python -m bench.fleet_cost
"""

from __future__ import annotations

import dataclasses
import statistics
import time

from absl import app
from tests import serving_builders as builders

from bench import figures
from martenquay_daemon.fleet import (
    hub,
    messages,
    speed_entries,
    timing,
    topology,
    zones,
)
from martenquay_daemon.overload import messages as overload

_SIZES = (8, 80, 400)
_TEAMS = 16
_ROUNDS = 5
_ZONES = 7
_RUNNERS_BY_FLEET_SIZE = {8: 9, 80: 45, 400: 790}
_REQUESTS_PER_DAEMON = 6
_PEER_TIMEOUT_S = 2.0
_HUB_STATE = hub.HubState(3, 900, 120, 40, 12, messages.NO_RUNNER_REPORTS)


@dataclasses.dataclass(frozen=True)
class _GossipCost:
    """Cost of gossip at one fleet size.

    Attributes:
        digest_bytes: Size of a daemon's own digest.
        report_bytes: Size of a hub's report to one daemon.
        exchange_bytes: Size of a hub's message to another zone's hub.
        create_reports_s: Processor time of a hub to encode the exchange and all
            reports of one interval.
        process_report_s: Processor time of a daemon to process one report.
    """

    digest_bytes: int
    report_bytes: int
    exchange_bytes: int
    create_reports_s: float
    process_report_s: float


def _build_digest(number: int, member: int, runners: int) -> messages.Digest:
    teams = [f"team{n}" for n in range(_TEAMS)]
    first_runner = member * _REQUESTS_PER_DAEMON
    return builders.build_digest(
        member=f"entry-{member}.aabbccdd",
        instance=f"entry-{member}",
        zone="zone-0",
        address=f"10.0.{member // 250}.{member % 250}:7600",
        number=number,
        delegation=messages.DelegationEntry(
            "entry-0.aabbccdd", number, 0.0025, 0, 1800
        ),
        members_end=900,
        loads={
            f"i-{(first_runner + n) % runners:010x}": messages.LoadEntry(2, 900)
            for n in range(_REQUESTS_PER_DAEMON)
        },
        begun={n: dict.fromkeys(teams[:5], 3) for n in range(3)},
        demand={"service-1": 2500.0},
        reading={
            "service-1": messages.PrefillEntry(40, 400_000_000, 24_000_000)
        },
        speeds={
            f"i-{(first_runner + n) % runners:010x}": speed_entries.SpeedEntry(
                12, 640
            )
            for n in range(_REQUESTS_PER_DAEMON)
        },
        backlog={
            "service-1": {
                urgency: overload.BacklogEntry(2, 1800, 2500)
                for urgency in range(3)
            }
        },
    )


def _add_remote_summaries(table: zones.ZoneTable, runners: int) -> None:
    """Add summaries of the other zones, with loads at all runners."""
    loads = {f"i-{n:010x}": messages.LoadEntry(3, 1200) for n in range(runners)}
    for number in range(1, _ZONES):
        summary = builders.build_summary(
            zone=f"zone-{number}",
            hub=f"entry-9{number}.aabbccdd",
            members_end=900,
        )
        table.apply_summary(summary, loads, 0.0)


def _measure_zone(size: int) -> _GossipCost:
    """Measure a hub and a daemon of one zone."""
    table = zones.ZoneTable()
    runners = _RUNNERS_BY_FLEET_SIZE[size]
    _add_remote_summaries(table, runners)
    zone_hub = hub.ZoneHub(table)
    zone_members = max(2, size // _ZONES)
    creation_times_s = []
    processing_times_s = []
    for number in range(1, _ROUNDS + 1):
        for member in range(1, zone_members):
            zone_hub.apply_digest(_build_digest(number, member, runners), 0.0)
        own = _build_digest(number, 0, runners)
        zone_hub.set_own_digest(own, 0.0)
        started_at = time.process_time()
        exchange = messages.encode_message(
            zone_hub.create_exchange(_HUB_STATE, 0.0, _PEER_TIMEOUT_S)
        )
        encoded_reports = [
            messages.encode_message(report)
            for report in zone_hub.create_reports(
                _HUB_STATE, 0.0, _PEER_TIMEOUT_S
            ).values()
        ]
        creation_times_s.append(time.process_time() - started_at)
        started_at = time.process_time()
        report = messages.decode_message(encoded_reports[0])
        assert isinstance(report, messages.FleetReport)
        for summary in report.zones:
            zones.ZoneTable().apply_summary(summary, {}, 0.0)
        processing_times_s.append(time.process_time() - started_at)
    return _GossipCost(
        digest_bytes=len(messages.encode_message(messages.DigestMessage(own))),
        report_bytes=max(len(encoded) for encoded in encoded_reports),
        exchange_bytes=len(exchange),
        create_reports_s=statistics.median(creation_times_s),
        process_report_s=statistics.median(processing_times_s),
    )


def _describe(size: int) -> list[str]:
    cost = _measure_zone(size)
    if size <= topology.MAX_MESH_PEERS + 1:
        intervals = timing.MESH_INTERVALS
        sent_bytes_s = cost.digest_bytes * (size - 1) / intervals.digest_s
        sent_kb_s = f"{sent_bytes_s / 1000:.1f}"
        return [
            str(size),
            str(cost.digest_bytes),
            "-",
            sent_kb_s,
            sent_kb_s,
            *"----",
        ]
    intervals = timing.ZONE_INTERVALS
    report_s = intervals.find_report_interval(cost.report_bytes)
    zone_members = size // _ZONES
    hubs = 2
    sent_bytes_s = cost.digest_bytes * hubs / intervals.digest_s
    received_bytes_s = cost.report_bytes * hubs / report_s
    hub_sent_bytes_s = cost.report_bytes * zone_members / report_s
    hub_sent_bytes_s += cost.exchange_bytes * hubs * (_ZONES - 1) / report_s
    return [
        str(size),
        str(cost.digest_bytes),
        str(cost.report_bytes),
        f"{sent_bytes_s / 1000:.1f}",
        f"{received_bytes_s / 1000:.1f}",
        f"{100 * cost.process_report_s * hubs / report_s:.2f}%",
        f"{hub_sent_bytes_s / 1000:.0f}",
        f"{100 * cost.create_reports_s / report_s:.1f}%",
        f"{report_s:.2f}",
    ]


def main(argv: list[str]) -> None:
    """Print a row per fleet size."""
    del argv
    figures.print_table(
        [
            "daemons",
            "digest, bytes",
            "report, bytes",
            "KB/s out",
            "KB/s in",
            "of a core",
            "hub KB/s out",
            "hub of a core",
            "report every s",
        ],
        [_describe(size) for size in _SIZES],
    )


if __name__ == "__main__":
    app.run(main)
