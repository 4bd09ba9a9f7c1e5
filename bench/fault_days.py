"""Play each day of bench/days on a site and print what broke.

    python -m bench.fault_days --player=PATH --site=FILE
        [--only=TEXT] [--seeds=N]

The player is the users' bench. Each day has one kind of disturbance alone; the
days named series-* have planned work in series that overlaps at the daemons.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import pathlib
import re
import subprocess
import sys

from absl import app, flags

_PLAYER = flags.DEFINE_string(
    "player", None, "The users' bench.", required=True
)
_SITE = flags.DEFINE_string("site", None, "The site file.", required=True)
_ONLY = flags.DEFINE_string("only", "", "Play days whose name holds this.")
_SEEDS = flags.DEFINE_integer(
    "seeds",
    0,
    "Play each day with the seeds 1 to this; 0: once, with its own seed.",
    lower_bound=0,
)
_KEEP = flags.DEFINE_string(
    "keep", "", "A directory for all that the player prints, with daemon logs."
)
_JOBS = flags.DEFINE_integer("jobs", 4, "Days at a time.", lower_bound=1)
_WHY = flags.DEFINE_string(
    "why", "One kind of disturbance alone", "The journal's line."
)
_DAYS = pathlib.Path(__file__).parent / "days"
_LIMIT_S = 900
_FIGURES = re.compile(r"\s+\d+/\d+\s+\S+\s+(\S+)\s+(\S+)")
_BROKEN = re.compile(r"BROKEN: ([^(]*)")


@dataclasses.dataclass(frozen=True)
class DayResult:
    """What one day came to.

    Attributes:
        name: The day file's name.
        seed: The seed it was played with; 0 if its own.
        worth: As the player prints it.
        served: As the player prints it.
        broken: Broken rules; empty if none.
    """

    name: str
    seed: int
    worth: str
    served: str
    broken: str


def play_day(path: pathlib.Path, seed: int = 0) -> DayResult:
    """Play one day, with its own seed if none is given."""
    why = f"{_WHY.value}: {path.stem}"
    command = [_PLAYER.value, "run", _SITE.value, str(path), "--why", why]
    if seed:
        command += ["--seed", str(seed)]
    if _KEEP.value:
        command += ["--log", "edge"]
    done = subprocess.run(
        command, check=False, capture_output=True, text=True, timeout=_LIMIT_S
    )
    if _KEEP.value:
        site = pathlib.Path(_SITE.value).stem
        kept = pathlib.Path(_KEEP.value) / f"{site}-{path.stem}-{seed}.txt"
        kept.write_text(done.stdout + done.stderr)
    return read_result(path.stem, seed, done.stdout, done.stderr)


def read_result(name: str, seed: int, output: str, errors: str) -> DayResult:
    """Read what the player printed about a day."""
    for line in output.splitlines():
        figures = _FIGURES.match(line.removeprefix(name))
        if line.startswith(name) and figures:
            broken = _BROKEN.search(line)
            found = broken.group(1).strip() if broken else ""
            return DayResult(name, seed, *figures.groups(), found)
    return DayResult(name, seed, "-", "-", "not played: " + errors[-200:])


def _run(argv: list[str]) -> int:
    del argv
    paths = [p for p in sorted(_DAYS.glob("*.toml")) if _ONLY.value in p.stem]
    seeds = range(1, _SEEDS.value + 1) if _SEEDS.value else [0]
    plays = [(path, seed) for path in paths for seed in seeds]
    broken = 0
    with concurrent.futures.ThreadPoolExecutor(_JOBS.value) as pool:
        for result in pool.map(lambda play: play_day(*play), plays):
            broken += bool(result.broken)
            print(
                f"{result.name:28} {result.seed or '':>4} {result.worth:>7}"
                f" {result.served:>7}  {result.broken}",
                flush=True,
            )
    print(f"{len(plays)} plays, {broken} with a rule broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(app.run(_run))
