"""Measure how overload affects urgent requests and the other partner."""

from __future__ import annotations

import dataclasses
from concurrent import futures

from absl import app, flags

from bench import figures
from bench.routing import cases, fleets, workloads
from martenquay_core.config import objects

_DURATION_S = flags.DEFINE_float("seconds", 40.0, "Virtual seconds a run.")
_SEEDS = flags.DEFINE_integer("seeds", 4, "Runs of each case.")
_MAX_URGENT_RATIO = 1.2
_MAX_LOSS = 0.05
_LENT_FRACTION = 0.25


@dataclasses.dataclass(frozen=True)
class _Scenario:
    """Case and additional load of a simulation.

    Attributes:
        case: Simulated case.
        flood_requests_per_s: Additional deferrable requests of the Bureau.
    """

    case: cases.Case
    flood_requests_per_s: float = 0.0


_SCENARIOS = {
    "quiet": _Scenario(cases.Case("quiet")),
    "deferrable flood": _Scenario(
        cases.Case("deferrable flood"), flood_requests_per_s=40.0
    ),
    "lending, both quiet": _Scenario(
        cases.Case("lending", lent_fraction=_LENT_FRACTION)
    ),
    "lending, flower shop floods": _Scenario(
        cases.Case("lending", lent_fraction=_LENT_FRACTION, flood_factor=4.0)
    ),
}


def main(argv: list[str]) -> int:
    """Simulate all scenarios and print the results and the targets."""
    del argv
    jobs = [
        (name, seed)
        for name in _SCENARIOS
        for seed in range(1, _SEEDS.value + 1)
    ]
    with futures.ProcessPoolExecutor(6) as pool:
        results = list(pool.map(_simulate, *zip(*jobs, strict=True)))
    outcomes_by_scenario: dict[str, list[fleets.Outcome]] = {
        name: [] for name in _SCENARIOS
    }
    for (name, _), result in zip(jobs, results, strict=True):
        outcomes_by_scenario[name] += result
    figures.print_table(
        [
            "case",
            "Bureau done/asked",
            "first token p50/p95/p99 ms",
            "urgent p99 ms",
        ],
        [
            _render(name, outcomes)
            for name, outcomes in outcomes_by_scenario.items()
        ],
    )
    _print_targets(outcomes_by_scenario)
    return 0


def _simulate(name: str, seed: int) -> list[fleets.Outcome]:
    scenario = _SCENARIOS[name]
    flood_workload = None
    if scenario.flood_requests_per_s:
        flood_workload = dataclasses.replace(
            workloads.BUREAU,
            requests_per_s=scenario.flood_requests_per_s,
            deferrable_share=1.0,
            urgent_share=0.0,
            history_tokens=(200, 400),
            conversations=20,
        )
    result = cases.run_case(
        "martenquay",
        scenario.case,
        duration_s=_DURATION_S.value,
        seed=seed,
        extra_workload=flood_workload,
    )
    return [
        outcome for outcome in result.outcomes if outcome.partner == "serrana"
    ]


def _list_non_deferrable(
    outcomes: list[fleets.Outcome],
) -> list[fleets.Outcome]:
    deferrable = objects.Urgency.DEFERRABLE
    return [
        outcome for outcome in outcomes if outcome.urgency is not deferrable
    ]


def _compute_urgent_ttft_p99_s(outcomes: list[fleets.Outcome]) -> float:
    urgent_ttfts_s = [
        outcome.ttft_s
        for outcome in outcomes
        if outcome.urgency is objects.Urgency.URGENT
        and outcome.ttft_s is not None
    ]
    return figures.compute_percentile(urgent_ttfts_s, 99)


def _render(name: str, outcomes: list[fleets.Outcome]) -> list[str]:
    ttfts_s = [
        outcome.ttft_s
        for outcome in _list_non_deferrable(outcomes)
        if outcome.ttft_s is not None
    ]
    answered = sum(not outcome.refused for outcome in outcomes)
    percentiles = " / ".join(
        f"{figures.compute_percentile(ttfts_s, p) * 1000:.0f}"
        for p in (50, 95, 99)
    )
    return [
        name,
        f"{answered}/{len(outcomes)}",
        percentiles,
        f"{_compute_urgent_ttft_p99_s(outcomes) * 1000:.0f}",
    ]


def _print_targets(
    outcomes_by_scenario: dict[str, list[fleets.Outcome]],
) -> None:
    urgent_ratio = _compute_urgent_ttft_p99_s(
        outcomes_by_scenario["deferrable flood"]
    ) / _compute_urgent_ttft_p99_s(outcomes_by_scenario["quiet"])
    quiet_on_time = _compute_on_time_fraction(
        outcomes_by_scenario["lending, both quiet"]
    )
    flooded_on_time = _compute_on_time_fraction(
        outcomes_by_scenario["lending, flower shop floods"]
    )
    loss = 1 - flooded_on_time / quiet_on_time
    print()
    figures.print_table(
        ["mark", "found", "wanted", "met"],
        [
            [
                "urgent p99 under a deferrable flood, of quiet",
                f"{urgent_ratio:.2f}",
                f"{_MAX_URGENT_RATIO}",
                "yes" if urgent_ratio <= _MAX_URGENT_RATIO else "no",
            ],
            [
                "Bureau's answers on time lost to the other's flood",
                f"{100 * loss:.1f}%",
                f"{100 * _MAX_LOSS:.0f}%",
                "yes" if loss <= _MAX_LOSS else "no",
            ],
        ],
    )


def _compute_on_time_fraction(outcomes: list[fleets.Outcome]) -> float:
    """Return the fraction of requests with a first token within 0.57 s."""
    non_deferrable = _list_non_deferrable(outcomes)
    on_time = [
        outcome
        for outcome in non_deferrable
        if outcome.ttft_s is not None and outcome.ttft_s <= 0.57
    ]
    return len(on_time) / len(non_deferrable)


if __name__ == "__main__":
    app.run(main)
