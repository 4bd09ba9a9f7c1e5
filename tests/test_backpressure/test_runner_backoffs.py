"""A runner in backoff gets no requests, and one probe after it."""

from __future__ import annotations

import trio

from martenquay_daemon.backpressure import runner_backoffs
from tests import clocked
from tests import serving_builders as builders

_RUNNER = builders.build_runner(born_ms=7)


class RunnerBackoffsTest(clocked.ClockedTestCase):
    def test_fractions_and_long_backoffs_are_kept(self) -> None:
        async def scenario() -> None:
            for backoff_s in (0.0, 0.25, 3.0, 1e9, 1e308):
                backoffs = runner_backoffs.RunnerBackoffs()
                backoffs.note_rejection(_RUNNER, backoff_s)
                self.assertAlmostEqual(backoff_s, backoffs.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_a_second_rejection_does_not_shorten_the_backoff(self) -> None:
        async def scenario() -> None:
            backoffs = runner_backoffs.RunnerBackoffs()
            backoffs.note_rejection(_RUNNER, 3.0)
            await trio.sleep(1.0)
            backoffs.note_rejection(_RUNNER, 0.5)
            self.assertAlmostEqual(2.0, backoffs.find_wait_s(_RUNNER))
            backoffs.note_rejection(_RUNNER, 5.0)
            self.assertAlmostEqual(5.0, backoffs.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_an_answer_to_an_earlier_request_does_not_end_the_backoff(
        self,
    ) -> None:
        async def scenario() -> None:
            backoffs = runner_backoffs.RunnerBackoffs()
            sent_at = trio.current_time()
            backoffs.note_rejection(_RUNNER, 3.0)
            await trio.sleep(4.0)
            backoffs.note_answer(_RUNNER, sent_at)
            backoffs.note_sent(_RUNNER)
            self.assertGreater(backoffs.find_wait_s(_RUNNER), 0.0)

        self.run_clocked(scenario)

    def test_one_probe_is_sent_after_the_backoff(self) -> None:
        async def scenario() -> None:
            backoffs = runner_backoffs.RunnerBackoffs()
            backoffs.note_rejection(_RUNNER, 3.0)
            await trio.sleep(3.0)
            sent_at = trio.current_time()
            backoffs.note_sent(_RUNNER)
            self.assertAlmostEqual(0.5, backoffs.find_wait_s(_RUNNER))
            await trio.sleep(0.1)
            backoffs.note_answer(_RUNNER, sent_at)
            backoffs.note_sent(_RUNNER)
            self.assertEqual(0.0, backoffs.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_another_request_follows_an_unanswered_probe(self) -> None:
        async def scenario() -> None:
            backoffs = runner_backoffs.RunnerBackoffs()
            backoffs.note_rejection(_RUNNER, 3.0)
            await trio.sleep(3.0)
            backoffs.note_sent(_RUNNER)
            await trio.sleep(0.51)
            self.assertEqual(0.0, backoffs.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_a_new_process_has_no_backoff(self) -> None:
        async def scenario() -> None:
            backoffs = runner_backoffs.RunnerBackoffs()
            backoffs.note_rejection(_RUNNER, 3.0)
            fresh = builders.build_runner(born_ms=8)
            self.assertEqual(0.0, backoffs.find_wait_s(fresh))
            backoffs.note_rejection(fresh, 1.0)
            self.assertAlmostEqual(1.0, backoffs.find_wait_s(fresh))

        self.run_clocked(scenario)

    def test_memory_is_bounded(self) -> None:
        async def scenario() -> None:
            backoffs = runner_backoffs.RunnerBackoffs()
            for number in range(5000):
                runner = builders.build_runner(id=f"r-{number}")
                backoffs.note_rejection(runner, 1.0 + number)
            first = builders.build_runner(id="r-0")
            self.assertEqual(0.0, backoffs.find_wait_s(first))
            self.assertGreater(backoffs.find_wait_s(runner), 0.0)

        self.run_clocked(scenario)
