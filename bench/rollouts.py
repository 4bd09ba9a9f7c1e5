"""Simulate canary rollouts of good and bad versions and print their outcomes.

python -m bench.rollouts [--seeds=20]

Each row sums up the rollouts of one version at one request rate over fleets of
6, 25, 70 and 195 daemons, without faults or while both versions fail for 2 s.
"""

from __future__ import annotations

import itertools

import trio
import trio.testing
from absl import app, flags
from tests import rollout_simulation

from bench import figures
from martenquay_daemon.rollouts import registry

_SEEDS = flags.DEFINE_integer("seeds", 20, "Orders of each.", lower_bound=1)
_DAEMONS = (6, 25, 70, 195)
_REQUEST_RATES_PER_S = (20.0, 65.0, 200.0, 400.0)
_VERSIONS = {
    "good": rollout_simulation.Version(),
    "fails 0.05": rollout_simulation.Version(failures=0.05),
    "fails 0.1": rollout_simulation.Version(failures=0.1),
    "fails 0.2": rollout_simulation.Version(failures=0.2),
    "fails 0.5": rollout_simulation.Version(failures=0.5),
    "fails always": rollout_simulation.Version(failures=0.99),
    "slow 3 times": rollout_simulation.Version(slowness=3.0),
    "slow 8 times": rollout_simulation.Version(slowness=8.0),
    "fails 0.5 after 3 s": rollout_simulation.Version(failures=0.5, from_s=3.0),
    "fails 0.5 after 5 s": rollout_simulation.Version(failures=0.5, from_s=5.0),
    "fails 0.5 on a route": rollout_simulation.Version(
        failures=0.5, routes=("r-chat",)
    ),
    "slow 5 times on a route": rollout_simulation.Version(
        slowness=5.0, routes=("r-chat",)
    ),
}


def main(argv: list[str]) -> int:
    """Simulate all rollouts and print the table."""
    del argv
    trio.run(_print_table, clock=trio.testing.MockClock())
    return 0


async def _print_table() -> None:
    rows = [
        _describe_rollouts(name, requests_per_s, crash_at_s)
        for name in _VERSIONS
        for requests_per_s in _REQUEST_RATES_PER_S
        for crash_at_s in (None, 6.0)
    ]
    figures.print_table(
        [
            "version",
            "requests/s",
            "trouble",
            "right",
            "over the bound",
            "bad answers, most",
            "decided s, p50",
            "p99",
        ],
        rows,
    )


def _describe_rollouts(
    name: str, requests_per_s: float, crash_at_s: float | None
) -> list[str]:
    version = _VERSIONS[name]
    expected_phase = (
        registry.Phase.ROLLED_BACK
        if version.is_bad
        else registry.Phase.COMPLETED
    )
    results = [
        rollout_simulation.simulate_rollout(
            rollout_simulation.RolloutScenario(
                version,
                daemons=daemons,
                requests_per_s=requests_per_s,
                seed=seed,
                crash_at_s=crash_at_s,
            )
        )
        for daemons, seed in itertools.product(_DAEMONS, range(_SEEDS.value))
    ]
    decision_times_s = sorted(result.decided_s for result in results)
    correct = sum(result.phase is expected_phase for result in results)
    over_bound = (
        sum(result.find_excess() > 0 for result in results)
        if version.is_bad
        else 0
    )
    return [
        name,
        f"{requests_per_s:.0f}",
        "none" if crash_at_s is None else "both fail, slow",
        f"{correct}/{len(results)}",
        str(over_bound),
        str(max(result.bad_answers for result in results)),
        f"{decision_times_s[len(decision_times_s) // 2]:.2f}",
        f"{decision_times_s[int(0.99 * (len(decision_times_s) - 1))]:.2f}",
    ]


if __name__ == "__main__":
    app.run(main)
