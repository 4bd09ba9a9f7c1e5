"""Measure what knowing the fleet costs a daemon, in fleets of several sizes.

python -m bench.fleet_cost
"""

from __future__ import annotations

import dataclasses
import statistics
import time

from absl import app
from tests import serving_builders as builders

from bench import figures
from martenquay_daemon.fleet import hub, messages, timing, topology, zones

_SIZES = (8, 80, 400)
_TEAMS = 16
_ROUNDS = 5
_ZONES = 7
# Runners that the daemons of the fleet have requests at, by fleet size.
_RUNNERS = {8: 9, 80: 45, 400: 790}
_AT_ONCE = 6
_SILENT_S = 2.0
_HUB_STATE = hub.HubState(3, 900, 120, 40, 12, messages.NO_RUNNER_REPORTS)


@dataclasses.dataclass(frozen=True)
class _Cost:
    """What one size costs.

    Attributes:
        digest_bytes: A daemon's own digest.
        report_bytes: A hub's report to one daemon.
        exchange_bytes: A hub's news for another zone's hub.
        round_s: Processor time of a hub for one round of reports.
        take_s: Processor time of a daemon for taking one report.
    """

    digest_bytes: int
    report_bytes: int
    exchange_bytes: int
    round_s: float
    take_s: float


def _build_digest(number: int, member: int, runners: int) -> messages.Digest:
    teams = [f"team{n}" for n in range(_TEAMS)]
    first = member * _AT_ONCE
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
            f"i-{(first + n) % runners:010x}": messages.LoadEntry(2, 900)
            for n in range(_AT_ONCE)
        },
        begun={n: dict.fromkeys(teams[:5], 3) for n in range(3)},
        demand={"service-1": 2500.0},
        reading={
            "service-1": messages.PrefillEntry(40, 400_000_000, 24_000_000)
        },
    )


def _fill_others(table: zones.ZoneTable, runners: int) -> None:
    """Have the other zones' hubs tell of loads at all runners."""
    loads = {f"i-{n:010x}": messages.LoadEntry(3, 1200) for n in range(runners)}
    for number in range(1, _ZONES):
        summary = builders.build_summary(
            zone=f"zone-{number}",
            hub=f"entry-9{number}.aabbccdd",
            members_end=900,
        )
        table.apply_summary(summary, loads, 0.0)


def _measure_zone(size: int) -> _Cost:
    """Measure a hub and a daemon of a zone in a large fleet."""
    table = zones.ZoneTable()
    runners = _RUNNERS[size]
    _fill_others(table, runners)
    one = hub.ZoneHub(table)
    members = max(2, size // _ZONES)
    times = []
    takes = []
    for number in range(1, _ROUNDS + 1):
        for member in range(1, members):
            one.apply_digest(_build_digest(number, member, runners), 0.0)
        own = _build_digest(number, 0, runners)
        one.set_own_digest(own, 0.0)
        started = time.process_time()
        exchange = messages.encode_message(
            one.create_exchange(_HUB_STATE, 0.0, _SILENT_S)
        )
        raws = [
            messages.encode_message(report)
            for report in one.create_reports(
                _HUB_STATE, 0.0, _SILENT_S
            ).values()
        ]
        times.append(time.process_time() - started)
        started = time.process_time()
        report = messages.decode_message(raws[0])
        assert isinstance(report, messages.FleetReport)
        for summary in report.zones:
            zones.ZoneTable().apply_summary(summary, {}, 0.0)
        takes.append(time.process_time() - started)
    return _Cost(
        digest_bytes=len(messages.encode_message(messages.DigestMessage(own))),
        report_bytes=max(len(raw) for raw in raws),
        exchange_bytes=len(exchange),
        round_s=statistics.median(times),
        take_s=statistics.median(takes),
    )


def _describe(size: int) -> list[str]:
    cost = _measure_zone(size)
    if size <= topology.MAX_MESH_PEERS + 1:
        intervals = timing.MESH_INTERVALS
        told = cost.digest_bytes * (size - 1) / intervals.digest_s
        sent = f"{told / 1000:.1f}"
        return [str(size), str(cost.digest_bytes), "-", sent, sent, *"----"]
    intervals = timing.ZONE_INTERVALS
    report_s = intervals.find_report_interval(cost.report_bytes)
    members = size // _ZONES
    hubs = 2
    told = cost.digest_bytes * hubs / intervals.digest_s
    heard = cost.report_bytes * hubs / report_s
    hub_out = cost.report_bytes * members / report_s
    hub_out += cost.exchange_bytes * hubs * (_ZONES - 1) / report_s
    return [
        str(size),
        str(cost.digest_bytes),
        str(cost.report_bytes),
        f"{told / 1000:.1f}",
        f"{heard / 1000:.1f}",
        f"{100 * cost.take_s * hubs / report_s:.2f}%",
        f"{hub_out / 1000:.0f}",
        f"{100 * cost.round_s / report_s:.1f}%",
        f"{report_s:.2f}",
    ]


def main(argv: list[str]) -> None:
    """Print a row a size."""
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
