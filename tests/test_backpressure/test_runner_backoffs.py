"""A runner that has asked for rest gets none of a daemon's requests."""

from __future__ import annotations

import trio

from martenquay_daemon.backpressure import runner_backoffs
from tests import clocked
from tests import serving_builders as builders

_RUNNER = builders.build_runner(born_ms=7)


class RestsTest(clocked.ClockedTestCase):
    def test_fractions_of_seconds_and_long_times_are_kept(self) -> None:
        async def scenario() -> None:
            for rest_s in (0.0, 0.25, 3.0, 1e9, 1e308):
                asked = runner_backoffs.RunnerBackoffs()
                asked.note_refusal(_RUNNER, rest_s)
                self.assertAlmostEqual(rest_s, asked.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_a_second_refusal_does_not_cut_the_first_time_short(self) -> None:
        async def scenario() -> None:
            asked = runner_backoffs.RunnerBackoffs()
            asked.note_refusal(_RUNNER, 3.0)
            await trio.sleep(1.0)
            asked.note_refusal(_RUNNER, 0.5)
            self.assertAlmostEqual(2.0, asked.find_wait_s(_RUNNER))
            asked.note_refusal(_RUNNER, 5.0)
            self.assertAlmostEqual(5.0, asked.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_an_answer_that_was_under_way_ends_no_rest(self) -> None:
        async def scenario() -> None:
            asked = runner_backoffs.RunnerBackoffs()
            sent_at = trio.current_time()
            asked.note_refusal(_RUNNER, 3.0)
            await trio.sleep(4.0)
            asked.note_answer(_RUNNER, sent_at)
            asked.note_sent(_RUNNER)
            self.assertGreater(asked.find_wait_s(_RUNNER), 0.0)

        self.run_clocked(scenario)

    def test_after_the_rest_one_request_goes_first(self) -> None:
        async def scenario() -> None:
            asked = runner_backoffs.RunnerBackoffs()
            asked.note_refusal(_RUNNER, 3.0)
            await trio.sleep(3.0)
            sent_at = trio.current_time()
            asked.note_sent(_RUNNER)
            self.assertAlmostEqual(0.5, asked.find_wait_s(_RUNNER))
            await trio.sleep(0.1)
            asked.note_answer(_RUNNER, sent_at)
            asked.note_sent(_RUNNER)
            self.assertEqual(0.0, asked.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_a_first_request_that_is_not_answered_is_followed(self) -> None:
        async def scenario() -> None:
            asked = runner_backoffs.RunnerBackoffs()
            asked.note_refusal(_RUNNER, 3.0)
            await trio.sleep(3.0)
            asked.note_sent(_RUNNER)
            await trio.sleep(0.51)
            self.assertEqual(0.0, asked.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_a_new_process_has_asked_for_nothing(self) -> None:
        async def scenario() -> None:
            asked = runner_backoffs.RunnerBackoffs()
            asked.note_refusal(_RUNNER, 3.0)
            fresh = builders.build_runner(born_ms=8)
            self.assertEqual(0.0, asked.find_wait_s(fresh))
            asked.note_refusal(fresh, 1.0)
            self.assertAlmostEqual(1.0, asked.find_wait_s(fresh))

        self.run_clocked(scenario)

    def test_memory_is_bounded(self) -> None:
        async def scenario() -> None:
            asked = runner_backoffs.RunnerBackoffs()
            for number in range(5000):
                runner = builders.build_runner(id=f"r-{number}")
                asked.note_refusal(runner, 1.0 + number)
            first = builders.build_runner(id="r-0")
            self.assertEqual(0.0, asked.find_wait_s(first))
            self.assertGreater(asked.find_wait_s(runner), 0.0)

        self.run_clocked(scenario)
