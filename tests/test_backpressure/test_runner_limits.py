"""A runner's limit is kept over all daemons, and its end is learnt."""

from __future__ import annotations

import dataclasses
import math

import trio

from martenquay_core.serving import runners, signals
from martenquay_daemon.backpressure import (
    limit_reports,
    runner_limits,
    send_shares,
)
from tests import clocked, limit_days
from tests import serving_builders as builders

_RUNNER = builders.build_runner(born_ms=7)
_LIMITED = signals.RunnerSignals(limit_per_s=1.0)


def _take_turn(
    limits: runner_limits.RunnerLimits, runner: runners.Runner
) -> bool:
    """Send a request if a turn is there; tell whether one was."""
    if limits.find_wait_s(runner) > 0:
        return False
    limits.note_sent(runner)
    return True


class RunnerLimitsTest(clocked.ClockedTestCase):
    def test_requests_are_spaced_and_none_is_saved_up(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=0, daemons=1)
            limits.note_answer(_RUNNER, _LIMITED, trio.current_time())
            await trio.sleep(10.0)
            taken = [_take_turn(limits, _RUNNER) for _ in range(5)]
            self.assertEqual([True, False, False, False, False], taken)
            await trio.sleep(0.99)
            self.assertFalse(_take_turn(limits, _RUNNER))
            await trio.sleep(0.02)
            self.assertTrue(_take_turn(limits, _RUNNER))

        self.run_clocked(scenario)

    def test_who_is_no_holder_sends_once_the_holders_are_silent(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            limits.note_answer(_RUNNER, _LIMITED, trio.current_time())
            await trio.sleep(5.0)
            self.assertFalse(_take_turn(limits, _RUNNER))
            wait_s = limits.find_wait_s(_RUNNER)
            self.assertTrue(0 < wait_s < 15.0, wait_s)
            await trio.sleep(wait_s)
            self.assertTrue(_take_turn(limits, _RUNNER))

        self.run_clocked(scenario)

    def test_any_number_is_borne(self) -> None:
        async def scenario() -> None:
            for limit in (0.0, 1e-300, 0.1, 1e308):
                limits = builders.build_runner_limits(rank=3, daemons=400)
                told = signals.RunnerSignals(limit_per_s=limit)
                limits.note_answer(_RUNNER, told, trio.current_time())
                self.assertTrue(math.isfinite(limits.find_wait_s(_RUNNER)))
                _take_turn(limits, _RUNNER)

        self.run_clocked(scenario)

    def test_what_takes_nothing_is_asked_now_and_then(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            told = signals.RunnerSignals(limit_per_s=0.0)
            limits.note_answer(_RUNNER, told, trio.current_time())
            await trio.sleep(60.0)
            self.assertTrue(_take_turn(limits, _RUNNER))
            self.assertAlmostEqual(10.0, limits.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_a_slot_that_was_not_used_is_gone(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            limits.note_answer(_RUNNER, _LIMITED, trio.current_time())
            slot_s = 2.0
            await trio.sleep(limits.find_wait_s(_RUNNER) + slot_s + 0.01)
            self.assertFalse(_take_turn(limits, _RUNNER))
            # Four daemons that hold nothing have one slot after the other.
            wait_s = limits.find_wait_s(_RUNNER)
            self.assertAlmostEqual(3 * slot_s - 0.01, wait_s)

        self.run_clocked(scenario)

    def test_a_word_that_cannot_be_read_changes_nothing(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            limits.note_answer(_RUNNER, _LIMITED, trio.current_time())
            await trio.sleep(1.0)
            odd = signals.RunnerSignals(is_limit_unreadable=True)
            limits.note_answer(_RUNNER, odd, trio.current_time())
            self.assertTrue(limits.is_limited(_RUNNER))

        self.run_clocked(scenario)

    def test_a_new_process_owes_nothing(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            limits.note_answer(_RUNNER, _LIMITED, trio.current_time())
            fresh = builders.build_runner(born_ms=8)
            self.assertFalse(limits.is_limited(fresh))
            self.assertTrue(_take_turn(limits, fresh))

        self.run_clocked(scenario)

    def test_what_others_were_told_holds_here_too(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            now = trio.current_time()
            word = limit_reports.LimitReport(1.0, 7, now - 0.2, now - 0.1)
            limits.apply_gossip([(_RUNNER.id, word)])
            self.assertFalse(_take_turn(limits, _RUNNER))
            # Only what a runner said to this daemon is told as its own.
            self.assertEqual([], limits.list_recent_reports(is_relayed=False))
            relayed = dict(limits.list_recent_reports(is_relayed=True))
            self.assertEqual(word.heard_at, relayed[_RUNNER.id].heard_at)

        self.run_clocked(scenario)

    def test_callers_are_told_when_any_daemon_may_send(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            limits.note_answer(_RUNNER, _LIMITED, trio.current_time())
            self.assertAlmostEqual(1.0, limits.find_next_s(_RUNNER))

        self.run_clocked(scenario)

    def test_a_limit_that_nobody_confirms_is_forgotten(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            limits.note_answer(_RUNNER, _LIMITED, trio.current_time())
            await trio.sleep(601.0)
            self.assertFalse(limits.is_limited(_RUNNER))

        self.run_clocked(scenario)

    def test_who_heard_of_a_limit_late_hears_of_its_end(self) -> None:
        """On a busy machine the news of a limit took longer than its end.

        One answer without a limit was told, and a daemon that had heard of the
        limit 0.4 s late took it for older than that: it went by the limit
        until it asked the runner itself.
        """

        async def scenario() -> None:
            told = builders.build_runner_limits()
            late = builders.build_runner_limits(rank=5, daemons=6)
            told.note_answer(_RUNNER, _LIMITED, trio.current_time())
            words = told.list_recent_reports(is_relayed=False)
            await trio.sleep(0.4)
            late.apply_gossip(
                [
                    (one, dataclasses.replace(w, heard_at=w.heard_at + 0.4))
                    for one, w in words
                ]
            )
            for _ in range(4):
                await trio.sleep(0.1)
                told.note_answer(
                    _RUNNER, signals.NO_SIGNALS, trio.current_time()
                )
                late.apply_gossip(told.list_recent_reports(is_relayed=False))
            self.assertFalse(late.is_limited(_RUNNER))

        self.run_clocked(scenario)

    def test_the_end_of_a_limit_is_told_for_a_while_only(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            limits.note_answer(_RUNNER, _LIMITED, trio.current_time())
            for _ in range(60):
                await trio.sleep(1.0)
                limits.note_answer(
                    _RUNNER, signals.NO_SIGNALS, trio.current_time()
                )
            # Answers of a runner that is well are no news.
            self.assertEqual([], limits.list_recent_reports(is_relayed=True))
            self.assertEqual(set(), limits.list_ids())

        self.run_clocked(scenario)

    def test_memory_is_bounded(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            for number in range(3000):
                runner = builders.build_runner(id=f"runner-{number}")
                limits.note_answer(runner, _LIMITED, trio.current_time())
                await trio.sleep(0.001)
            self.assertFalse(
                limits.is_limited(builders.build_runner(id="runner-0"))
            )
            self.assertTrue(limits.is_limited(runner))
            self.assertEqual(
                32, len(limits.list_recent_reports(is_relayed=True))
            )

        self.run_clocked(scenario)


class DrawnFleetTest(clocked.ClockedTestCase):
    """No order of cuts, kills, joins and late news exceeds what is borne."""

    def _play(self, daemons: int, limit: float, seeds: range) -> None:
        async def scenario() -> None:
            for seed in seeds:
                day = limit_days.LimitDay(daemons, limit, seed)
                played = await limit_days.play_day(day)
                borne = limit_days.find_most_borne(limit)
                self.assertLessEqual(played.most, borne, day)

        self.run_clocked(scenario)

    def test_six_daemons_keep_limits_of_any_size(self) -> None:
        for limit in (0.1, 1.0, 5.0):
            self._play(6, limit, range(8))
        self._play(6, 50.0, range(2))

    def test_a_large_fleet_keeps_a_small_limit(self) -> None:
        for limit in (0.1, 1.0, 5.0):
            self._play(70, limit, range(2))
        self._play(195, 1.0, range(1))
        self._play(400, 1.0, range(1))

    def test_a_fleet_in_which_each_keeps_the_limit_alone_is_found_out(
        self,
    ) -> None:
        def keep_alone(
            limit: float, place: send_shares.SenderRank
        ) -> send_shares.Share:
            del place
            return send_shares.find_share(limit, send_shares.SenderRank(0, 1))

        async def scenario() -> None:
            day = limit_days.LimitDay(25, 1.0, 1)
            played = await limit_days.play_day(day, keep_alone)
            borne = limit_days.find_most_borne(1.0)
            self.assertGreater(played.most, borne)

        self.run_clocked(scenario)
