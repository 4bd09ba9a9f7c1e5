"""Compare the daemon's load balancing with baseline policies in every case."""

from __future__ import annotations

import dataclasses
from concurrent import futures

from absl import app, flags

from bench import figures
from bench.routing import cases, policies
from martenquay_core.config import objects

_DURATION_S = flags.DEFINE_float("seconds", 40.0, "Virtual seconds a run.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the workloads.")
_WORKERS = flags.DEFINE_integer("workers", 5, "Processes at once.")
_PLOT = flags.DEFINE_string("plot", "", "Where to write a plot (PNG).")
_TTFT_TARGET_S = 0.57


@dataclasses.dataclass(frozen=True)
class Summary:
    """Summary of one simulation.

    Attributes:
        ttft_p50_s: Median time to first token in seconds.
        ttft_p95_s: 95th percentile of the time to first token.
        ttft_p99_s: 99th percentile of the time to first token.
        token_gap_p95_s: 95th percentile of the time between tokens.
        urgent_ttft_p99_s: 99th percentile for urgent requests.
        recomputed_tokens: Prompt tokens computed again, by cause.
        prompt_tokens: Number of prompt tokens.
        refused: Requests refused or not finished.
        count: Number of requests.
    """

    ttft_p50_s: float
    ttft_p95_s: float
    ttft_p99_s: float
    token_gap_p95_s: float
    urgent_ttft_p99_s: float
    recomputed_tokens: dict[str, int]
    prompt_tokens: int
    refused: int
    count: int


def main(argv: list[str]) -> int:
    """Simulate every case under every policy and print the tables."""
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
    _print_targets(summaries)
    if _PLOT.value:
        _draw(summaries, _PLOT.value)
    return 0


def _run_all() -> dict[tuple[str, str], Summary]:
    """Simulate each case and policy in a process pool, in virtual time."""
    with futures.ProcessPoolExecutor(_WORKERS.value) as pool:
        jobs = {
            (case.name, policy): pool.submit(
                _run_one, policy, case, _DURATION_S.value, _SEED.value
            )
            for case in cases.CASES
            for policy in policies.POLICIES
        }
        return {key: job.result() for key, job in jobs.items()}


def _run_one(
    policy: str, case: cases.Case, duration_s: float, seed: int
) -> Summary:
    return summarize(
        cases.run_case(policy, case, duration_s=duration_s, seed=seed)
    )


def summarize(result: cases.RunResult) -> Summary:
    """Summarize a simulation; deferrable requests count in tokens only."""
    ttfts_s = [
        outcome.ttft_s
        for outcome in result.outcomes
        if outcome.ttft_s is not None
        and outcome.urgency is not objects.Urgency.DEFERRABLE
    ]
    urgent_ttfts_s = [
        outcome.ttft_s
        for outcome in result.outcomes
        if outcome.ttft_s is not None
        and outcome.urgency is objects.Urgency.URGENT
    ]
    token_gaps_s = [
        gap for outcome in result.outcomes for gap in outcome.token_gaps_s
    ]
    percentile = figures.compute_percentile
    return Summary(
        percentile(ttfts_s, 50),
        percentile(ttfts_s, 95),
        percentile(ttfts_s, 99),
        percentile(token_gaps_s, 95),
        percentile(urgent_ttfts_s, 99),
        dict(result.tally.recomputed_tokens),
        result.tally.prompt_tokens,
        sum(outcome.refused for outcome in result.outcomes),
        len(result.outcomes),
    )


def _render(policy: str, summary: Summary) -> list[str]:
    total_recomputed = sum(summary.recomputed_tokens.values())
    return [
        policy,
        f"{summary.ttft_p50_s * 1000:.0f} / {summary.ttft_p95_s * 1000:.0f} / "
        f"{summary.ttft_p99_s * 1000:.0f}",
        f"{summary.token_gap_p95_s * 1000:.0f}",
        f"{summary.urgent_ttft_p99_s * 1000:.0f}",
        f"{summary.recomputed_tokens.get('placement', 0)} / "
        f"{summary.recomputed_tokens.get('moved', 0)}",
        f"{100 * total_recomputed / summary.prompt_tokens:.1f}%",
        f"{summary.refused}/{summary.count}",
    ]


def _print_targets(summaries: dict[tuple[str, str], Summary]) -> None:
    rows = []
    for case in cases.CASES:
        own_summary = summaries[(case.name, policies.POLICIES[0])]
        baselines = {
            policy: summaries[(case.name, policy)]
            for policy in policies.POLICIES[1:]
        }
        least_loaded_tokens = sum(
            baselines["least loaded"].recomputed_tokens.values()
        )
        recomputed_ratio = sum(own_summary.recomputed_tokens.values()) / max(
            least_loaded_tokens, 1
        )
        best_ttft_p95_s = min(
            summary.ttft_p95_s for summary in baselines.values()
        )
        rows.append(
            [
                case.name,
                f"{recomputed_ratio:.2f}",
                "yes" if recomputed_ratio <= 0.5 else "no",
                f"{own_summary.ttft_p95_s / best_ttft_p95_s:.2f}",
                "yes" if own_summary.ttft_p95_s <= best_ttft_p95_s else "no",
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
    # matplotlib is optional: the tables don't need it.
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(1, 2, figsize=(12, 4.5))
    names = [case.name for case in cases.CASES]
    width = 0.16
    for number, policy in enumerate(policies.POLICIES):
        policy_summaries = [summaries[(name, policy)] for name in names]
        bar_positions = [
            position + number * width for position in range(len(names))
        ]
        axes[0].bar(
            bar_positions,
            [summary.ttft_p95_s * 1000 for summary in policy_summaries],
            width,
            label=policy,
        )
        axes[1].bar(
            bar_positions,
            [
                sum(summary.recomputed_tokens.values()) / 1000
                for summary in policy_summaries
            ],
            width,
            label=policy,
        )
    axes[0].axhline(_TTFT_TARGET_S * 1000, linestyle="--", color="grey")
    axes[0].set_ylabel("time to first token, p95, ms")
    axes[1].set_ylabel("tokens computed again, thousands")
    for axis in axes:
        axis.set_xticks([position + 0.32 for position in range(len(names))])
        axis.set_xticklabels(names, rotation=20, ha="right", fontsize=8)
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    app.run(main)
