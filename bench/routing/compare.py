"""Compare the placer with plain rules in every case; write table and plot."""

from __future__ import annotations

import dataclasses
from concurrent import futures

from absl import app, flags

from bench import figures
from bench.routing import cases, policies
from martenquay_core.config import objects

_SECONDS = flags.DEFINE_float("seconds", 40.0, "Virtual seconds a run.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the workloads.")
_WORKERS = flags.DEFINE_integer("workers", 5, "Processes at once.")
_PLOT = flags.DEFINE_string("plot", "", "Where to write a plot (PNG).")
_TARGET_S = 0.57


@dataclasses.dataclass(frozen=True)
class Summary:
    """The figures of one run.

    Attributes:
        first_p50: Time to first token, median, in seconds.
        first_p95: The same, 95th percentile.
        first_p99: The same, 99th percentile.
        gap_p95: Time between tokens, 95th percentile.
        urgent_p99: Time to first token of urgent requests.
        recomputed: Tokens computed again, by cause.
        prompt_tokens: All prompt tokens.
        refused: Requests refused or not finished.
        count: All requests.
    """

    first_p50: float
    first_p95: float
    first_p99: float
    gap_p95: float
    urgent_p99: float
    recomputed: dict[str, int]
    prompt_tokens: int
    refused: int
    count: int


def main(argv: list[str]) -> int:
    """Run everything and print the tables."""
    del argv
    summaries = _run_all()
    for case in cases.CASES:
        rows = [
            _render(policy, summaries[(case.name, policy)])
            for policy in policies.POLICIES
        ]
        print(f"\n### {case.name}\n")
        figures.print_table(
            [
                "way",
                "first token p50/p95/p99 ms",
                "between tokens p95 ms",
                "urgent p99 ms",
                "recomputed placement/moved",
                "of prompt",
                "refused",
            ],
            rows,
        )
    _print_marks(summaries)
    if _PLOT.value:
        _draw(summaries, _PLOT.value)
    return 0


def _run_all() -> dict[tuple[str, str], Summary]:
    """Run each case and way in a process of its own; time is virtual."""
    with futures.ProcessPoolExecutor(_WORKERS.value) as pool:
        running = {
            (case.name, policy): pool.submit(
                _run_one, policy, case, _SECONDS.value, _SEED.value
            )
            for case in cases.CASES
            for policy in policies.POLICIES
        }
        return {key: job.result() for key, job in running.items()}


def _run_one(
    policy: str, case: cases.Case, seconds: float, seed: int
) -> Summary:
    return summarize(cases.run_case(policy, case, seconds=seconds, seed=seed))


def summarize(result: cases.RunResult) -> Summary:
    """Return the figures of a run; deferrable requests count in tokens only."""
    waiting = [
        outcome.first_s
        for outcome in result.outcomes
        if outcome.first_s is not None
        and outcome.urgency is not objects.Urgency.DEFERRABLE
    ]
    urgent = [
        outcome.first_s
        for outcome in result.outcomes
        if outcome.first_s is not None
        and outcome.urgency is objects.Urgency.URGENT
    ]
    gaps = [gap for outcome in result.outcomes for gap in outcome.gaps_s]
    percentile = figures.compute_percentile
    return Summary(
        percentile(waiting, 50),
        percentile(waiting, 95),
        percentile(waiting, 99),
        percentile(gaps, 95),
        percentile(urgent, 99),
        dict(result.tally.recomputed),
        result.tally.prompt_tokens,
        sum(outcome.refused for outcome in result.outcomes),
        len(result.outcomes),
    )


def _render(policy: str, found: Summary) -> list[str]:
    total = sum(found.recomputed.values())
    return [
        policy,
        f"{found.first_p50 * 1000:.0f} / {found.first_p95 * 1000:.0f} / "
        f"{found.first_p99 * 1000:.0f}",
        f"{found.gap_p95 * 1000:.0f}",
        f"{found.urgent_p99 * 1000:.0f}",
        f"{found.recomputed.get('placement', 0)} / "
        f"{found.recomputed.get('moved', 0)}",
        f"{100 * total / found.prompt_tokens:.1f}%",
        f"{found.refused}/{found.count}",
    ]


def _print_marks(summaries: dict[tuple[str, str], Summary]) -> None:
    rows = []
    for case in cases.CASES:
        own = summaries[(case.name, policies.POLICIES[0])]
        others = {
            policy: summaries[(case.name, policy)]
            for policy in policies.POLICIES[1:]
        }
        loaded = sum(others["least loaded"].recomputed.values())
        tokens = sum(own.recomputed.values()) / max(loaded, 1)
        best = min(found.first_p95 for found in others.values())
        rows.append(
            [
                case.name,
                f"{tokens:.2f}",
                "yes" if tokens <= 0.5 else "no",
                f"{own.first_p95 / best:.2f}",
                "yes" if own.first_p95 <= best else "no",
            ]
        )
    print("\n### marks\n")
    figures.print_table(
        [
            "case",
            "recomputed, of least loaded",
            "at most half",
            "first token p95, of the best baseline",
            "no worse",
        ],
        rows,
    )


def _draw(summaries: dict[tuple[str, str], Summary], path: str) -> None:
    # Only the plot needs matplotlib.
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(1, 2, figsize=(12, 4.5))
    names = [case.name for case in cases.CASES]
    width = 0.16
    for number, policy in enumerate(policies.POLICIES):
        found = [summaries[(name, policy)] for name in names]
        places = [place + number * width for place in range(len(names))]
        axes[0].bar(
            places,
            [item.first_p95 * 1000 for item in found],
            width,
            label=policy,
        )
        axes[1].bar(
            places,
            [sum(item.recomputed.values()) / 1000 for item in found],
            width,
            label=policy,
        )
    axes[0].axhline(_TARGET_S * 1000, linestyle="--", color="grey")
    axes[0].set_ylabel("time to first token, p95, ms")
    axes[1].set_ylabel("tokens computed again, thousands")
    for axis in axes:
        axis.set_xticks([place + 0.32 for place in range(len(names))])
        axis.set_xticklabels(names, rotation=20, ha="right", fontsize=8)
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    app.run(main)
