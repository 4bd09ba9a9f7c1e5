"""Prefill speed is estimated from noisy results and delayed gossip."""

from __future__ import annotations

import random

import trio

from martenquay_daemon.engines import model
from tests import clocked

_BASE_S = 0.05


class RunnerModelTest(clocked.ClockedTestCase):
    def _record_results(
        self,
        learner: model.RunnerModel,
        tokens_per_s: float,
        *,
        count: int = 100,
        noise: float = 0.0,
    ) -> None:
        """Record results of an engine, with noise in the queued tokens."""
        rng = random.Random(1)
        for _ in range(count):
            own = rng.choice([300, 600, 1800, 7000, 12_000])
            ahead = rng.choice([0, 0, 1000, 9000])
            took_s = _BASE_S + (own + ahead) / tokens_per_s
            queued = max(0.0, ahead + noise * rng.uniform(-1, 1))
            learner.note_first_event(
                "model", model.FirstEvent(own, own + int(queued), took_s)
            )

    def test_without_results_the_prior_is_returned(self) -> None:
        async def scenario() -> None:
            found = model.RunnerModel().find("model")
            self.assertFalse(found.is_learnt)
            self.assertAlmostEqual(30_000.0, found.read_tokens_per_s, 3)

        self.run_clocked(scenario)

    def test_fast_and_slow_engines_are_distinguished(self) -> None:
        async def scenario() -> None:
            for speed in (12_000.0, 30_000.0, 150_000.0):
                learner = model.RunnerModel()
                self._record_results(learner, speed)
                found = learner.find("model")
                self.assertTrue(found.is_learnt)
                self.assertLess(abs(found.read_tokens_per_s / speed - 1), 0.1)

        self.run_clocked(scenario)

    def test_noise_in_queued_tokens_does_not_bias_the_speed(
        self,
    ) -> None:
        async def scenario() -> None:
            learner = model.RunnerModel()
            self._record_results(learner, 100_000.0, count=400, noise=20_000.0)
            found = learner.find("model").read_tokens_per_s
            self.assertLess(abs(found / 100_000.0 - 1), 0.25)

        self.run_clocked(scenario)

    def test_a_slowdown_is_noticed_within_two_cold_starts(
        self,
    ) -> None:
        async def scenario() -> None:
            learner = model.RunnerModel()
            self._record_results(learner, 150_000.0, count=200)
            for _ in range(10):
                await trio.sleep(1.0)
                self._record_results(learner, 20_000.0, count=20)
            found = learner.find("model").read_tokens_per_s
            self.assertLess(found, 50_000.0)

        self.run_clocked(scenario)

    def test_prompts_of_one_length_keep_the_prior(self) -> None:
        async def scenario() -> None:
            learner = model.RunnerModel()
            for number in range(100):
                took_s = 0.05 + (number % 7) * 0.01
                learner.note_first_event(
                    "model", model.FirstEvent(500, 500, took_s)
                )
            found = learner.find("model").read_tokens_per_s
            self.assertLess(abs(found / 30_000.0 - 1), 0.1)

        self.run_clocked(scenario)

    def test_long_queues_do_not_bias_the_speed(self) -> None:
        async def scenario() -> None:
            learner = model.RunnerModel()
            self._record_results(learner, 80_000.0)
            rng = random.Random(2)
            for _ in range(200):
                await trio.sleep(0.02)
                own = rng.choice([300, 1800, 12_000])
                # Short prompts happen to wait longest.
                took_s = rng.uniform(0.5, 2.0) + 1000 / own
                learner.note_first_event(
                    "model", model.FirstEvent(own, own + 60_000, took_s)
                )
            found = learner.find("model").read_tokens_per_s
            self.assertLess(abs(found / 80_000.0 - 1), 0.2)

        self.run_clocked(scenario)

    def test_a_wait_behind_urgent_requests_is_not_counted_as_prefill(
        self,
    ) -> None:
        async def scenario() -> None:
            learner = model.RunnerModel()
            rng = random.Random(3)
            for _ in range(300):
                # Long prompts are less urgent and wait for the others.
                urgency = rng.choice([0, 1])
                own = rng.choice([2000, 8000] if urgency else [300, 1800])
                took_s = urgency * 0.6 + own / 24_000.0
                learner.note_first_event(
                    "model", model.FirstEvent(own, own, took_s, urgency)
                )
            found = learner.find("model").read_tokens_per_s
            self.assertLess(abs(found / 24_000.0 - 1), 0.1)

        self.run_clocked(scenario)

    def test_the_time_in_a_slot_is_estimated(self) -> None:
        async def scenario() -> None:
            learner = model.RunnerModel()
            for _ in range(50):
                learner.note_end("desk", 0.09)
            self.assertLess(abs(learner.find("desk").hold_s - 0.09), 0.005)

        self.run_clocked(scenario)


class SharedResultsTest(clocked.ClockedTestCase):
    """Shared sums give all daemons the estimate of a single one."""

    def _share_results(self, count: int, seed: int) -> list[model.RunnerModel]:
        """Split the same results among daemons that share their sums."""
        rng = random.Random(seed)
        daemons = [model.RunnerModel() for _ in range(count)]
        for _ in range(400):
            own = rng.choice([300, 600, 1800, 7000, 12_000])
            took_s = _BASE_S + own / 18_000.0 + rng.uniform(0.0, 0.3)
            rng.choice(daemons).note_first_event(
                "model", model.FirstEvent(own, own, took_s)
            )
        gossiped = [daemon.list_own() for daemon in daemons]
        for number, daemon in enumerate(daemons):
            for other, sums in enumerate(gossiped):
                if other != number:
                    daemon.replace_source(f"entry-{other}", sums)
        return daemons

    def test_the_estimate_does_not_depend_on_the_number_of_daemons(
        self,
    ) -> None:
        async def scenario() -> None:
            for seed in range(5):
                for count in (1, 6, 16, 25, 70, 195):
                    found = self._share_results(count, seed)[0].find("model")
                    self.assertTrue(found.is_learnt, count)
                    error = found.read_tokens_per_s / 18_000.0 - 1
                    self.assertLess(abs(error), 0.15, count)

        self.run_clocked(scenario)

    def test_all_daemons_have_the_same_estimate(self) -> None:
        async def scenario() -> None:
            speeds = {
                round(daemon.find("model").read_tokens_per_s)
                for daemon in self._share_results(70, 1)
            }
            self.assertLessEqual(max(speeds) - min(speeds), 1)

        self.run_clocked(scenario)

    def test_the_last_results_stay_while_no_new_ones_come(self) -> None:
        async def scenario() -> None:
            daemons = self._share_results(16, 1)
            before = daemons[0].find("model")
            await trio.sleep(60.0)
            after = daemons[0].find("model")
            self.assertTrue(after.is_learnt)
            self.assertLess(
                abs(after.read_tokens_per_s / before.read_tokens_per_s - 1), 0.1
            )

        self.run_clocked(scenario)

    def test_a_new_daemon_uses_gossiped_sums(self) -> None:
        async def scenario() -> None:
            started = model.RunnerModel()
            for number, daemon in enumerate(self._share_results(16, 1)):
                started.replace_source(f"entry-{number}", daemon.list_own())
            self.assertTrue(started.find("model").is_learnt)
            started.forget_sources()
            self.assertFalse(started.find("model").is_learnt)

        self.run_clocked(scenario)
