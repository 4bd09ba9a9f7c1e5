"""Find the fewest runners with which each way keeps the latency target."""

from __future__ import annotations

from concurrent import futures

from absl import app, flags

from bench import figures
from bench.routing import cases, compare, policies

_SIZES = (4, 5, 6, 7, 8, 10)
_TARGET_S = 0.57
_WORKERS_AT_ONCE = 6
_COST_SECONDS = flags.DEFINE_float("cost_seconds", 20.0, "Virtual seconds.")


def main(argv: list[str]) -> int:
    """Run every way at every size and print one table."""
    del argv
    with futures.ProcessPoolExecutor(_WORKERS_AT_ONCE) as pool:
        running = {
            (policy, size): pool.submit(_run, policy, size, _COST_SECONDS.value)
            for policy in policies.POLICIES
            for size in _SIZES
        }
        found = {key: job.result() for key, job in running.items()}
    rows = []
    for policy in policies.POLICIES:
        row = [policy]
        row += [f"{found[(policy, size)] * 1000:.0f}" for size in _SIZES]
        good = [s for s in _SIZES if found[(policy, s)] <= _TARGET_S]
        row.append(str(min(good)) if good else f"over {_SIZES[-1]}")
        rows.append(row)
    header = [f"{size} runners" for size in _SIZES]
    figures.print_table(["way", *header, "fewest within 570 ms"], rows)
    return 0


def _run(policy: str, size: int, seconds: float) -> float:
    """Return the 95th percentile of the time to first token."""
    result = cases.run_case(
        policy, cases.CASES[0], seconds=seconds, seed=1, runners=size
    )
    return compare.summarize(result).first_p95


if __name__ == "__main__":
    app.run(main)
