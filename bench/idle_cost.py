"""Measure processor time and memory of idle daemons by fleet size.

The daemons are separate processes without callers. Processor time and memory
are read from /proc.
"""

from __future__ import annotations

import trio
from absl import app, flags

from bench import figures, processes
from martenquay_standins import world

_SIZES = flags.DEFINE_list("sizes", ["2", "4", "8", "16", "32"], "Daemons.")
_SECONDS = flags.DEFINE_float("seconds", 12.0, "Seconds a measurement.")
_HEARTBEAT_S = flags.DEFINE_float("heartbeat_s", 1.0, "Heartbeat interval.")
_DAEMON_TIMING = {
    "dead_after_s": 5.0,
    "list_poll_s": 1.0,
    "load_poll_s": 0.5,
    "commit_s": 0.01,
    "log_timeout_s": 2.0,
}


def main(argv: list[str]) -> int:
    """Measure all sizes and print one table."""
    del argv
    rows = [trio.run(_measure, int(size)) for size in _SIZES.value]
    figures.print_table(
        ["daemons", "of a core each", "resident MB each", "links out each"],
        rows,
    )
    return 0


async def _measure(size: int) -> list[str]:
    async with trio.open_nursery() as nursery:
        platform_world = world.World(nursery)
        await platform_world.start_platform()
        platform_world.put_standard_config()
        daemons = []
        for number in range(size):
            partner_plan = platform_world.plans[number % 2]
            zone = partner_plan.zones[number // 2 % len(partner_plan.zones)]
            daemons.append(
                await platform_world.start_process(
                    partner_plan,
                    zone,
                    f"entry-{number}",
                    timing=_DAEMON_TIMING
                    | {
                        "heartbeat_s": _HEARTBEAT_S.value,
                        "suspect_after_s": 3 * _HEARTBEAT_S.value,
                    },
                )
            )
        await trio.sleep(5.0)
        pids = [daemon.process.pid for daemon in daemons]
        cpu_before_s = [processes.read_cpu_s(pid) for pid in pids]
        await trio.sleep(_SECONDS.value)
        cpu_after_s = [processes.read_cpu_s(pid) for pid in pids]
        resident_mb = [processes.read_resident_mb(pid) for pid in pids]
        platform_world.end_processes()
        nursery.cancel_scope.cancel()
    core_fractions = [
        (later - earlier) / _SECONDS.value
        for earlier, later in zip(cpu_before_s, cpu_after_s, strict=True)
    ]
    return [
        str(size),
        f"{100 * sum(core_fractions) / size:.2f}%",
        f"{sum(resident_mb) / size:.1f}",
        f"{_count_links(size)}",
    ]


def _count_links(size: int) -> str:
    in_zone = min(6, max(0, -(-size // 6) - 1))
    return f"about {in_zone + min(size - 1, 5)}"


if __name__ == "__main__":
    app.run(main)
