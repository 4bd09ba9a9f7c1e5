"""A start beside drawn disturbances serves or ends with a status and a reason.

`python -m bench.starts` plays more seeds.
"""

from __future__ import annotations

import testtools
import trio

from tests import start_trials

# Each kind of disturbance occurs, and each outcome: an address that stays
# taken (13), a stop beside one (36, 38) and beside the settings (43).
_SEEDS = (5, 13, 17, 36, 38, 43)
_AT_ONCE = 3


class StartTrialsTest(testtools.TestCase):
    def test_each_start_serves_or_ends_with_a_status_and_a_reason(self) -> None:
        trials = trio.run(self._run)
        for seed, trial in trials.items():
            self.assertEqual(
                [], trial.breaches, f"seed {seed}: {trial.plan}\n{trial.output}"
            )

    async def _run(self) -> dict[int, start_trials.StartTrial]:
        trials: dict[int, start_trials.StartTrial] = {}
        limiter = trio.CapacityLimiter(_AT_ONCE)

        async def run_one(seed: int) -> None:
            async with limiter:
                trials[seed] = await start_trials.run_trial(seed)

        async with trio.open_nursery() as nursery:
            for seed in _SEEDS:
                nursery.start_soon(run_one, seed)
        return trials
