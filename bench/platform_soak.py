"""Run soak tests of the daemon on the platform, one for each seed.

python -m bench.platform_soak --first_seed=1 --seeds=5
"""

from __future__ import annotations

import collections

import trio
from absl import app, flags

from bench import figures
from martenquay_platform_standins import crashing_parts, history, soak
from martenquay_platform_standins.history import CallKind

_FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "The first seed.")
_SEEDS = flags.DEFINE_integer("seeds", 5, "How many seeds.")
_FAULTS = flags.DEFINE_integer("faults", 24, "Faults for each seed.")
_SERIES = flags.DEFINE_integer("series", 8, "Signal series for each seed.")
_DAEMONS = flags.DEFINE_integer("daemons", 6, "Daemons.")
_CRASHING_CALLERS = flags.DEFINE_integer(
    "lethal", 1, "Callers of a request that crashes runners."
)
_REPORTS = flags.DEFINE_integer("needs", 9, "Runner reports for each seed.")
_RESTORES = flags.DEFINE_integer(
    "restores", 0, "Restores of the store from an older copy for each seed."
)
_KILLS = flags.DEFINE_integer(
    "kills", 0, "Processes that are killed for each seed."
)
_VERSIONS = flags.DEFINE_integer(
    "versions", 1, "Versions of the runners' software side by side."
)
_CRASHING_PART_CALLERS = flags.DEFINE_integer(
    "lethal_parts", 0, "Callers of a part of prompts that crashes runners."
)
_RUNNERS = flags.DEFINE_integer("runners", 3, "Runners of each service.")

# Long enough for several sends after the 3 s in which daemons learn of the
# quarantine.
_CALM_S = 10.0


def main(argv: list[str]) -> int:
    """Run the seeds one after the other; return 1 if there is a breach."""
    del argv
    rows = []
    broken = 0
    has_crashing_callers = bool(
        _CRASHING_CALLERS.value or _CRASHING_PART_CALLERS.value
    )
    for seed in range(_FIRST_SEED.value, _FIRST_SEED.value + _SEEDS.value):
        plan = soak.SoakPlan(
            seed,
            faults=_FAULTS.value,
            series=_SERIES.value,
            daemons=_DAEMONS.value,
            runners=_RUNNERS.value,
            crashing_callers=_CRASHING_CALLERS.value,
            reports=_REPORTS.value,
            restores=_RESTORES.value,
            kills=_KILLS.value,
            versions=_VERSIONS.value,
            crashing_part_callers=_CRASHING_PART_CALLERS.value,
            calm_s=_CALM_S if has_crashing_callers else 0.0,
        )
        report = trio.run(soak.run_soak, plan)
        for breach in report.breaches:
            print(f"seed {seed}: {breach}", flush=True)
        broken += len(report.breaches)
        rows.append(_describe(seed, report))
    kinds = [str(kind) for kind in CallKind]
    heads = ["seed", "faults", *kinds, "resumed", "crashes", "by part"]
    heads += ["runs", "duties", "breaches"]
    figures.print_table(heads, rows)
    return 1 if broken else 0


def _describe(seed: int, report: soak.SoakReport) -> list[str]:
    seen = report.history
    asked = collections.Counter(call.kind for call in seen.calls.values())
    good = collections.Counter(
        call.kind
        for call in seen.calls.values()
        if call.status == 200 and call.is_complete
    )
    resumed = [call for call in seen.calls.values() if call.resumed_id]
    gone_on = sum(call.status == 200 for call in resumed)
    return [
        str(seed),
        str(len(seen.disturbances)),
        *(f"{good[kind]}/{asked[kind]}" for kind in CallKind),
        f"{gone_on}/{len(resumed)}",
        str(sum(r.path == history.CRASHING_PATH for r in seen.runs)),
        str(len(crashing_parts.list_crashing_runs(seen))),
        str(len(seen.runs)),
        str(len(seen.duties)),
        str(len(report.breaches)),
    ]


if __name__ == "__main__":
    app.run(main)
