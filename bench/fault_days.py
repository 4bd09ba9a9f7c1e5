"""Run each scenario of bench/days on a site and print the rules it breaks.

    python -m bench.fault_days --player=PATH --site=FILE
        [--only=TEXT] [--seeds=N]

The player is the users' bench; it calls a scenario a day. Each day has faults
of one kind alone; the days named series-* have signals, releases and
configuration changes that overlap at the daemons.
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
_OUTPUT_FOLDER = flags.DEFINE_string(
    "keep", "", "A directory for all that the player prints, with daemon logs."
)
_JOBS = flags.DEFINE_integer("jobs", 4, "Days at a time.", lower_bound=1)
_JOURNAL_REASON = flags.DEFINE_string(
    "why", "One kind of disturbance alone", "The journal's line."
)
_DAYS_FOLDER = pathlib.Path(__file__).parent / "days"
_PLAYER_TIMEOUT_S = 900
_FIGURES_PATTERN = re.compile(r"\s+\d+/\d+\s+\S+\s+(\S+)\s+(\S+)")
_BROKEN_RULES_PATTERN = re.compile(r"BROKEN: ([^(]*)")


@dataclasses.dataclass(frozen=True)
class DayResult:
    """Result of one run of a day.

    Attributes:
        name: The day file's name.
        seed: Seed of the run; 0 if the day file's own.
        worth: Score as the player prints it.
        served: Fraction of requests served as the player prints it.
        broken: Broken rules, or that the run failed; empty if neither.
    """

    name: str
    seed: int
    worth: str
    served: str
    broken: str


def play_day(path: pathlib.Path, seed: int = 0) -> DayResult:
    """Run one day, with the day file's own seed if `seed` is 0."""
    reason = f"{_JOURNAL_REASON.value}: {path.stem}"
    command = [_PLAYER.value, "run", _SITE.value, str(path), "--why", reason]
    if seed:
        command += ["--seed", str(seed)]
    if _OUTPUT_FOLDER.value:
        command += ["--log", "edge"]
    completed = subprocess.run(
        command,
        check=False,
        capture_output=True,
        text=True,
        timeout=_PLAYER_TIMEOUT_S,
    )
    if _OUTPUT_FOLDER.value:
        site = pathlib.Path(_SITE.value).stem
        output_path = (
            pathlib.Path(_OUTPUT_FOLDER.value)
            / f"{site}-{path.stem}-{seed}.txt"
        )
        output_path.write_text(completed.stdout + completed.stderr)
    return read_result(path.stem, seed, completed.stdout, completed.stderr)


def read_result(name: str, seed: int, output: str, errors: str) -> DayResult:
    """Parse the player's output for a day."""
    for line in output.splitlines():
        match = _FIGURES_PATTERN.match(line.removeprefix(name))
        if line.startswith(name) and match:
            rules = _BROKEN_RULES_PATTERN.search(line)
            broken_rules = rules.group(1).strip() if rules else ""
            return DayResult(name, seed, *match.groups(), broken_rules)
    return DayResult(name, seed, "-", "-", "not played: " + errors[-200:])


def main(argv: list[str]) -> int:
    """Run all days, print a line per run; return 1 if a rule is broken."""
    del argv
    paths = [
        p for p in sorted(_DAYS_FOLDER.glob("*.toml")) if _ONLY.value in p.stem
    ]
    seeds = range(1, _SEEDS.value + 1) if _SEEDS.value else [0]
    runs = [(path, seed) for path in paths for seed in seeds]
    broken_runs = 0
    with concurrent.futures.ThreadPoolExecutor(_JOBS.value) as pool:
        for result in pool.map(lambda run: play_day(*run), runs):
            broken_runs += bool(result.broken)
            print(
                f"{result.name:28} {result.seed or '':>4} {result.worth:>7}"
                f" {result.served:>7}  {result.broken}",
                flush=True,
            )
    print(f"{len(runs)} plays, {broken_runs} with a rule broken")
    return 1 if broken_runs else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
