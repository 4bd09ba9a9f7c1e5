"""Guard against wrong verdicts on good and bad versions."""

from __future__ import annotations

import random

import msgspec
import testtools

from martenquay_daemon.fleet import trial_entries
from martenquay_daemon.rollouts import plan, registry, tallies, verdict
from tests import clocked, rollout_simulation

_SEEDS = range(12)
_FLEETS = (6, 70, 195)


class SimulatedRolloutsTest(clocked.ClockedTestCase):
    def _simulate(self, version: rollout_simulation.Version, **changes) -> list:
        played = []

        async def scenario() -> None:
            for seed in _SEEDS:
                for daemons in _FLEETS:
                    day = rollout_simulation.RolloutScenario(
                        version, daemons=daemons, seed=seed, **changes
                    )
                    played.append(rollout_simulation.simulate_rollout(day))

        self.run_clocked(scenario)
        return played

    def _expect_end(
        self,
        phase: registry.Phase,
        version: rollout_simulation.Version,
        **changes,
    ) -> None:
        for one in self._simulate(version, **changes):
            self.assertIs(phase, one.phase, one.why)
            if version.is_bad:
                self.assertEqual(0.0, one.find_excess(), one)

    def test_good_versions_complete(self) -> None:
        good = rollout_simulation.Version()
        for rate in (20.0, 65.0, 200.0):
            self._expect_end(
                registry.Phase.COMPLETED, good, requests_per_s=rate
            )

    def test_good_versions_complete_despite_failures_of_both_versions(
        self,
    ) -> None:
        good = rollout_simulation.Version()
        self._expect_end(registry.Phase.COMPLETED, good, crash_at_s=6.0)

    def test_good_versions_complete_despite_a_restart_of_all_daemons(
        self,
    ) -> None:
        good = rollout_simulation.Version()
        self._expect_end(registry.Phase.COMPLETED, good, restart_at_s=6.0)

    def test_versions_that_fail_are_rolled_back(self) -> None:
        for failures in (0.2, 0.5, 0.99):
            bad = rollout_simulation.Version(failures=failures)
            self._expect_end(registry.Phase.ROLLED_BACK, bad)

    def test_versions_that_fail_on_one_route_are_rolled_back(self) -> None:
        bad = rollout_simulation.Version(failures=0.5, routes=("r-chat",))
        self._expect_end(registry.Phase.ROLLED_BACK, bad)

    def test_slow_versions_are_rolled_back(self) -> None:
        for slowness in (3.0, 8.0):
            bad = rollout_simulation.Version(slowness=slowness)
            self._expect_end(registry.Phase.ROLLED_BACK, bad)

    def test_versions_that_turn_bad_later_are_rolled_back(self) -> None:
        bad = rollout_simulation.Version(failures=0.5, from_s=3.0)
        self._expect_end(registry.Phase.ROLLED_BACK, bad)


class PlanTest(testtools.TestCase):
    def _decide(self, **changes) -> registry.Phase:
        good = verdict.Verdict(
            is_bad=False, is_doubtful=False, has_enough=True, why=""
        )
        fields = {
            "phase": registry.Phase.CANARY,
            "elapsed_s": 6.0,
            "duration_s": 12.0,
            "verdict": good,
            "has_old": True,
            "has_new": True,
            "old_requests": 5,
        }
        return plan.decide_phase(plan.RolloutProgress(**(fields | changes)))[0]

    def test_nothing_is_decided_before_the_trial_is_over(self) -> None:
        self.assertIs(registry.Phase.CANARY, self._decide())
        late = self._decide(elapsed_s=10.5)
        self.assertIs(registry.Phase.SWITCHING, late)

    def test_a_version_without_runners_is_rolled_back(self) -> None:
        phase = self._decide(elapsed_s=11.5, has_new=False)
        self.assertIs(registry.Phase.ROLLED_BACK, phase)

    def test_a_rollout_completes_once_old_runners_are_idle(
        self,
    ) -> None:
        phase = registry.Phase.SWITCHING
        self.assertIs(phase, self._decide(phase=phase, elapsed_s=10.5))
        done = self._decide(phase=phase, elapsed_s=10.5, old_requests=0)
        self.assertIs(registry.Phase.COMPLETED, done)
        late = self._decide(phase=phase, elapsed_s=11.5)
        self.assertIs(registry.Phase.COMPLETED, late)

    def test_an_order_without_duration_is_rolled_back(self) -> None:
        few = verdict.judge_trial(tallies.Trial(1))
        phase = self._decide(elapsed_s=0.0, duration_s=0.0, verdict=few)
        self.assertIs(registry.Phase.ROLLED_BACK, phase)


class TallyTest(testtools.TestCase):
    def _draw(self, seed: int) -> tallies.TallyTable:
        rng = random.Random(seed)
        table = tallies.TallyTable()
        for _ in range(30):
            latency_s = None if rng.random() < 0.2 else rng.random()
            route = rng.choice(["r-1", "r-2"])
            is_new = rng.random() < 0.5
            table.note("model", 7, route, latency_s, is_new=is_new)
        return table

    def test_gossiped_tallies_add_up_to_the_counted_ones(self) -> None:
        tables = [self._draw(seed) for seed in range(8)]
        raw = [trial_entries.encode_trials(one.list_own()) for one in tables]
        gossiped = [trial_entries.decode_trials(lines) for lines in raw]
        one = tallies.TallyTable()
        one.replace_source("fleet", trial_entries.merge_trials(gossiped))
        found = one.find("model", 7).find_total()
        counted = [t.find("model", 7).find_total() for t in tables]
        self.assertEqual(
            sum(total.new.answers for total in counted), found.new.answers
        )
        self.assertEqual(
            sum(total.old.failures for total in counted), found.old.failures
        )

    def test_answers_of_another_order_do_not_count(self) -> None:
        table = self._draw(1)
        self.assertEqual({}, table.find("model", 8).routes)
        table.note("model", 8, "r-1", 0.1, is_new=True)
        self.assertEqual(1, table.find("model", 8).find_total().new.answers)

    def test_gossiped_tallies_stay_within_the_bandwidth(self) -> None:
        # A digest is sent twice a second, and all control traffic shares 5
        # KB/s.
        raw = trial_entries.encode_trials(self._draw(1).list_own())
        size = len(msgspec.msgpack.encode(raw))
        self.assertLess(2 * size, 500)
