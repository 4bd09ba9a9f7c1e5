"""Measure what idle daemons cost as their number grows.

Real processes with the default timing; no callers. Processor time and memory
come from the system's own accounts of each process.
"""

from __future__ import annotations

import trio
from absl import app, flags

from bench import figures, processes
from martenquay_standins import world

_SIZES = flags.DEFINE_list("sizes", ["2", "4", "8", "16", "32"], "Daemons.")
_SECONDS = flags.DEFINE_float("seconds", 12.0, "Seconds a measurement.")
_HEARTBEAT_S = flags.DEFINE_float("heartbeat_s", 1.0, "Heartbeat interval.")
_TIMING = {
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
        place = world.World(nursery)
        await place.start_platform()
        place.put_standard_config()
        daemons = []
        for number in range(size):
            plan = place.plans[number % 2]
            zone = plan.zones[number // 2 % len(plan.zones)]
            daemons.append(
                await place.start_process(
                    plan,
                    zone,
                    f"entry-{number}",
                    timing=_TIMING
                    | {
                        "heartbeat_s": _HEARTBEAT_S.value,
                        "suspect_after_s": 3 * _HEARTBEAT_S.value,
                    },
                )
            )
        await trio.sleep(5.0)
        pids = [daemon.process.pid for daemon in daemons]
        before = [processes.read_cpu_s(pid) for pid in pids]
        await trio.sleep(_SECONDS.value)
        after = [processes.read_cpu_s(pid) for pid in pids]
        memory = [processes.read_resident_mb(pid) for pid in pids]
        place.end_processes()
        nursery.cancel_scope.cancel()
    shares = [
        (later - earlier) / _SECONDS.value
        for earlier, later in zip(before, after, strict=True)
    ]
    return [
        str(size),
        f"{100 * sum(shares) / size:.2f}%",
        f"{sum(memory) / size:.1f}",
        f"{_count_links(size)}",
    ]


def _count_links(size: int) -> str:
    in_zone = min(6, max(0, -(-size // 6) - 1))
    return f"about {in_zone + min(size - 1, 5)}"


if __name__ == "__main__":
    app.run(main)
