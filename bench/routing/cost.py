"""Find the fewest runners with which each policy meets the latency target."""

from __future__ import annotations

from concurrent import futures

from absl import app, flags

from bench import figures
from bench.routing import cases, compare, policies

_RUNNER_COUNTS = (4, 5, 6, 7, 8, 10)
_TTFT_TARGET_S = 0.57
_WORKERS = 6
_DURATION_S = flags.DEFINE_float("cost_seconds", 20.0, "Virtual seconds.")


def main(argv: list[str]) -> int:
    """Simulate every policy with every number of runners and print a table."""
    del argv
    with futures.ProcessPoolExecutor(_WORKERS) as pool:
        jobs = {
            (policy, runner_count): pool.submit(
                _simulate_ttft_p95_s, policy, runner_count, _DURATION_S.value
            )
            for policy in policies.POLICIES
            for runner_count in _RUNNER_COUNTS
        }
        ttfts_s = {key: job.result() for key, job in jobs.items()}
    rows = []
    for policy in policies.POLICIES:
        row = [policy]
        row += [
            f"{ttfts_s[(policy, runner_count)] * 1000:.0f}"
            for runner_count in _RUNNER_COUNTS
        ]
        sufficient = [
            s for s in _RUNNER_COUNTS if ttfts_s[(policy, s)] <= _TTFT_TARGET_S
        ]
        row.append(
            str(min(sufficient)) if sufficient else f"over {_RUNNER_COUNTS[-1]}"
        )
        rows.append(row)
    header = [f"{runner_count} runners" for runner_count in _RUNNER_COUNTS]
    figures.print_table(["way", *header, "fewest within 570 ms"], rows)
    return 0


def _simulate_ttft_p95_s(
    policy: str, runner_count: int, duration_s: float
) -> float:
    """Return the 95th percentile of the time to first token in seconds."""
    result = cases.run_case(
        policy,
        cases.CASES[0],
        duration_s=duration_s,
        seed=1,
        runners=runner_count,
    )
    return compare.summarize(result).ttft_p95_s


if __name__ == "__main__":
    app.run(main)
