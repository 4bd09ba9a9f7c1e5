"""Play drawn days on which streams are resumed beside releases and faults.

    python -m bench.origin_days [--first_seed=N] [--seeds=N]

Prints for each seed how many streams were resumed, how many went on, joined
another version, were lost although the log had their origin, and were refused
because it did not. Ends with status 1 if any joined or was lost.
"""

from __future__ import annotations

import sys

from absl import app, flags
from tests import origin_days

_FIRST_SEED = flags.DEFINE_integer("first_seed", 0, "The first day's seed.")
_SEEDS = flags.DEFINE_integer("seeds", 50, "Number of days.", lower_bound=1)


def main(argv: list[str]) -> None:
    """Play the days."""
    del argv
    failed = []
    sys.stdout.write("seed resumed went-on joined lost unrecorded\n")
    for seed in range(_FIRST_SEED.value, _FIRST_SEED.value + _SEEDS.value):
        day = origin_days.play_day(seed)
        figures = (
            day.resumed,
            day.went_on,
            len(day.joined),
            len(day.lost),
            day.unrecorded,
        )
        sys.stdout.write(f"{seed} {' '.join(map(str, figures))}\n")
        for line in (*day.joined, *day.lost):
            sys.stdout.write(f"    {line}\n")
        if day.joined or day.lost:
            failed.append(seed)
    sys.stdout.write(f"failed: {failed}\n")
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    app.run(main)
