"""Play orders of good and bad versions, and print how they end.

python -m bench.rollouts [--seeds=20]

Each row is a kind of version, over fleets of 6, 25, 70 and 195 daemons, at 20
to 400 requests a second, alone and beside what befalls both versions alike.
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
_RATES = (20.0, 65.0, 200.0, 400.0)
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
    """Print the table."""
    del argv
    trio.run(_print, clock=trio.testing.MockClock())
    return 0


async def _print() -> None:
    rows = [
        _describe(name, rate, crash_at_s)
        for name in _VERSIONS
        for rate in _RATES
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


def _describe(name: str, rate: float, crash_at_s: float | None) -> list[str]:
    version = _VERSIONS[name]
    wanted = (
        registry.Phase.ROLLED_BACK
        if version.is_bad
        else registry.Phase.COMPLETED
    )
    played = [
        rollout_simulation.simulate_rollout(
            rollout_simulation.RolloutScenario(
                version,
                daemons=daemons,
                requests_per_s=rate,
                seed=seed,
                crash_at_s=crash_at_s,
            )
        )
        for daemons, seed in itertools.product(_DAEMONS, range(_SEEDS.value))
    ]
    times = sorted(one.decided_s for one in played)
    right = sum(one.phase is wanted for one in played)
    over = sum(one.find_excess() > 0 for one in played) if version.is_bad else 0
    return [
        name,
        f"{rate:.0f}",
        "none" if crash_at_s is None else "both fail, slow",
        f"{right}/{len(played)}",
        str(over),
        str(max(one.bad_answers for one in played)),
        f"{times[len(times) // 2]:.2f}",
        f"{times[int(0.99 * (len(times) - 1))]:.2f}",
    ]


if __name__ == "__main__":
    app.run(main)
