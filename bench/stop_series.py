"""Stop a daemon's process under callers that go on, for each seed.

python -m bench.stop_series --first_seed=1 --seeds=50
"""

from __future__ import annotations

import sys

import trio
from absl import app, flags
from tests.test_platform import stop_series

_FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "The first seed.")
_SEEDS = flags.DEFINE_integer("seeds", 50, "How many seeds.")
_STOPS = flags.DEFINE_integer("stops", 2, "Stops of the daemon in each.")


def main(argv: list[str]) -> None:
    """Print a line for each seed; exit with 1 if any lost a request."""
    del argv
    failed = 0
    for seed in range(_FIRST_SEED.value, _FIRST_SEED.value + _SEEDS.value):
        report = trio.run(stop_series.play_stops, seed, _STOPS.value)
        failed += bool(report.problems)
        print(
            f"seed {seed}: {report.requests} requests, {report.answered} "
            f"answered, {report.rejected} rejected, "
            f"{report.cut_off} cut off, stops took {report.took_s} s, "
            f"{len(report.problems)} problems",
            flush=True,
        )
        for problem in report.problems:
            print(f"  {problem}", flush=True)
    sys.exit(bool(failed))


if __name__ == "__main__":
    app.run(main)
