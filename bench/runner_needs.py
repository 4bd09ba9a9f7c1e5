"""Count what callers get beside runners that say what they need.

Run `python -m bench.runner_needs`: six whole daemons in one process before nine
runners, 60 requests a second for 10 s, two attempts each.
"""

from __future__ import annotations

import collections

import trio
from absl import app
from tests import telling_fleet

from bench import figures

_DAEMONS = 6
_RUNNERS = 9
_RESTING = 3
_PER_DAEMON_S = 10.0
_LASTS_S = 10.0
_NEEDS = ("none", "three rest", "one has a limit", "one leaves", "all of these")


async def _play(need: str) -> list[str]:
    async with telling_fleet.open_fleet(_DAEMONS, _RUNNERS) as fleet:
        *resting, limited, leaving = fleet.runners[: _RESTING + 2]
        before = {id(one): len(one.arrivals) for one in fleet.runners}
        if need in {"three rest", "all of these"}:
            for runner in resting:
                runner.refusal = (b"retry-after: 3",)
        if need in {"one has a limit", "all of these"}:
            limited.lines = (b"server-limit: 1",)
        if need in {"one leaves", "all of these"}:
            leaving.lines = (b"server-leaving: 1",)
        await fleet.send_load(_PER_DAEMON_S, _LASTS_S)
        statuses = collections.Counter(one.status for one in fleet.replies)
        turned_away = sum(
            arrival.is_refused
            for runner in fleet.runners
            for arrival in runner.arrivals
        )
        return [
            need,
            str(statuses.total()),
            f"{statuses[200] / statuses.total():.3f}",
            str(turned_away),
            str(len(limited.arrivals) - before[id(limited)]),
            str(len(leaving.arrivals) - before[id(leaving)]),
        ]


def main(argv: list[str]) -> None:
    """Print a row a need."""
    del argv
    figures.print_table(
        [
            "runners",
            "requests",
            "served",
            "turned away by runners",
            "at the one with a limit",
            "at the one that leaves",
        ],
        [trio.run(_play, need) for need in _NEEDS],
    )


if __name__ == "__main__":
    app.run(main)
