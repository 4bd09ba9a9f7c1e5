"""Measure what floods cost others: urgent requests, and the other partner."""

from __future__ import annotations

import dataclasses
from concurrent import futures

from absl import app, flags

from bench import figures
from bench.routing import cases, sites, workloads
from martenquay_core.config import objects

_SECONDS = flags.DEFINE_float("seconds", 40.0, "Virtual seconds a run.")
_SEEDS = flags.DEFINE_integer("seeds", 4, "Runs of each case.")
_URGENT_MARK = 1.2
_LOSS_MARK = 0.05
_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class _Plan:
    """One run: a case and the workloads it is run with.

    Attributes:
        case: The case.
        flood: Deferrable requests a second beside the Bureau's own.
    """

    case: cases.Case
    flood: float = 0.0


_PLANS = {
    "quiet": _Plan(cases.Case("quiet")),
    "deferrable flood": _Plan(cases.Case("deferrable flood"), flood=40.0),
    "lending, both quiet": _Plan(cases.Case("lending", share=_SHARE)),
    "lending, flower shop floods": _Plan(
        cases.Case("lending", share=_SHARE, flood_factor=4.0)
    ),
}


def main(argv: list[str]) -> int:
    """Run all and print one table and the marks."""
    del argv
    jobs = [
        (name, seed) for name in _PLANS for seed in range(1, _SEEDS.value + 1)
    ]
    with futures.ProcessPoolExecutor(6) as pool:
        found = list(pool.map(_run, *zip(*jobs, strict=True)))
    outcomes: dict[str, list[sites.Outcome]] = {name: [] for name in _PLANS}
    for (name, _), result in zip(jobs, found, strict=True):
        outcomes[name] += result
    figures.print_table(
        [
            "case",
            "Bureau done/asked",
            "first token p50/p95/p99 ms",
            "urgent p99 ms",
        ],
        [_render(name, rows) for name, rows in outcomes.items()],
    )
    _print_marks(outcomes)
    return 0


def _run(name: str, seed: int) -> list[sites.Outcome]:
    plan = _PLANS[name]
    mix = None
    if plan.flood:
        mix = dataclasses.replace(
            workloads.BUREAU,
            rate=plan.flood,
            deferrable_share=1.0,
            urgent_share=0.0,
            history_tokens=(200, 400),
            subjects=20,
        )
    result = cases.run_case(
        "martenquay", plan.case, seconds=_SECONDS.value, seed=seed, flood=mix
    )
    return [o for o in result.outcomes if o.partner == "serrana"]


def _waiting(rows: list[sites.Outcome]) -> list[sites.Outcome]:
    deferrable = objects.Urgency.DEFERRABLE
    return [row for row in rows if row.urgency is not deferrable]


def _urgent_p99(rows: list[sites.Outcome]) -> float:
    urgent = [
        row.first_s
        for row in rows
        if row.urgency is objects.Urgency.URGENT and row.first_s is not None
    ]
    return figures.compute_percentile(urgent, 99)


def _render(name: str, rows: list[sites.Outcome]) -> list[str]:
    firsts = [row.first_s for row in _waiting(rows) if row.first_s is not None]
    done = sum(not row.refused for row in rows)
    spread = " / ".join(
        f"{figures.compute_percentile(firsts, p) * 1000:.0f}"
        for p in (50, 95, 99)
    )
    return [
        name,
        f"{done}/{len(rows)}",
        spread,
        f"{_urgent_p99(rows) * 1000:.0f}",
    ]


def _print_marks(outcomes: dict[str, list[sites.Outcome]]) -> None:
    urgent = _urgent_p99(outcomes["deferrable flood"]) / _urgent_p99(
        outcomes["quiet"]
    )
    calm = _count_on_time(outcomes["lending, both quiet"])
    flooded = _count_on_time(outcomes["lending, flower shop floods"])
    loss = 1 - flooded / calm
    print()
    figures.print_table(
        ["mark", "found", "wanted", "met"],
        [
            [
                "urgent p99 under a deferrable flood, of quiet",
                f"{urgent:.2f}",
                f"{_URGENT_MARK}",
                "yes" if urgent <= _URGENT_MARK else "no",
            ],
            [
                "Bureau's answers on time lost to the other's flood",
                f"{100 * loss:.1f}%",
                f"{100 * _LOSS_MARK:.0f}%",
                "yes" if loss <= _LOSS_MARK else "no",
            ],
        ],
    )


def _count_on_time(rows: list[sites.Outcome]) -> float:
    """Return the part of the requests whose first token came in 0.57 s."""
    waiting = _waiting(rows)
    good = [r for r in waiting if r.first_s is not None and r.first_s <= 0.57]
    return len(good) / len(waiting)


if __name__ == "__main__":
    app.run(main)
