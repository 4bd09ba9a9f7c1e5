"""Count the answers to callers while runners report backoffs, limits or drains.

Run `python -m bench.runner_needs`: six complete daemons in one process send 60
requests per second to nine runners for 10 s, with two attempts per request.
"""

from __future__ import annotations

import collections

import trio
from absl import app
from tests import telling_fleet

from bench import figures

_DAEMONS = 6
_RUNNERS = 9
_BACKOFF_RUNNERS = 3
_REQUESTS_PER_DAEMON_S = 10.0
_LOAD_DURATION_S = 10.0
_CASES = ("none", "three rest", "one has a limit", "one leaves", "all of these")


async def _measure(case: str) -> list[str]:
    async with telling_fleet.open_fleet(_DAEMONS, _RUNNERS) as fleet:
        *backoff_runners, limited, draining = fleet.runners[
            : _BACKOFF_RUNNERS + 2
        ]
        arrivals_before = {
            id(runner): len(runner.arrivals) for runner in fleet.runners
        }
        if case in {"three rest", "all of these"}:
            for runner in backoff_runners:
                runner.refusal = (b"retry-after: 3",)
        if case in {"one has a limit", "all of these"}:
            limited.lines = (b"server-limit: 1",)
        if case in {"one leaves", "all of these"}:
            draining.lines = (b"server-leaving: 1",)
        await fleet.send_load(_REQUESTS_PER_DAEMON_S, _LOAD_DURATION_S)
        statuses = collections.Counter(reply.status for reply in fleet.replies)
        refused = sum(
            arrival.is_refused
            for runner in fleet.runners
            for arrival in runner.arrivals
        )
        return [
            case,
            str(statuses.total()),
            f"{statuses[200] / statuses.total():.3f}",
            str(refused),
            str(len(limited.arrivals) - arrivals_before[id(limited)]),
            str(len(draining.arrivals) - arrivals_before[id(draining)]),
        ]


def main(argv: list[str]) -> None:
    """Print a row per case."""
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
        [trio.run(_measure, case) for case in _CASES],
    )


if __name__ == "__main__":
    app.run(main)
