"""Run many seeds of callers, operators and failures, and judge each."""

from __future__ import annotations

import collections

import trio
from absl import app, flags

from bench import figures
from martenquay_standins.chaos import run

_FIRST = flags.DEFINE_integer("first_seed", 1, "The first seed.")
_SEEDS = flags.DEFINE_integer("seeds", 5, "How many seeds.")
_FAULTS = flags.DEFINE_integer("faults", 18, "Faults a seed.")


def main(argv: list[str]) -> int:
    """Run the seeds one after the other; return 1 if any breaks a promise."""
    del argv
    rows = []
    broken = 0
    codes: collections.Counter[int] = collections.Counter()
    for seed in range(_FIRST.value, _FIRST.value + _SEEDS.value):
        plan = run.ChaosPlan(seed, faults=_FAULTS.value)
        report = trio.run(run.run_chaos, plan)
        told = report.history
        codes.update(reply.code for reply in told.bookings)
        for breach in report.breaches:
            print(f"seed {seed}: {breach}")
        broken += len(report.breaches)
        whole = sum(reply.is_whole for reply in told.chats)
        rows.append(
            [
                str(seed),
                str(len(report.faults)),
                f"{len({r.key for r in told.bookings})}/{len(told.bookings)}",
                f"{whole}/{len(told.chats)}",
                str(len(told.accepted)),
                str(sum(change.version > 0 for change in told.changes)),
                str(len(told.observations)),
                str(len(report.breaches)),
            ]
        )
    figures.print_table(
        [
            "seed",
            "faults",
            "keys/tries",
            "chats whole/all",
            "tickets",
            "changes accepted",
            "readings",
            "breaches",
        ],
        rows,
    )
    print("bookings by result:", dict(sorted(codes.items())))
    return 1 if broken else 0


if __name__ == "__main__":
    app.run(main)
