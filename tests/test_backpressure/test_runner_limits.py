"""Rate limits of runners hold over all daemons until they are lifted."""

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
_LIMIT_SIGNALS = signals.RunnerSignals(limit_per_s=1.0)


def _try_send(
    limits: runner_limits.RunnerLimits, runner: runners.Runner
) -> bool:
    """Send a request if a slot is free; tell whether one was."""
    if limits.find_wait_s(runner) > 0:
        return False
    limits.note_sent(runner)
    return True


class RunnerLimitsTest(clocked.ClockedTestCase):
    def test_requests_are_spaced_and_unused_slots_do_not_accumulate(
        self,
    ) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=0, daemons=1)
            limits.note_answer(_RUNNER, _LIMIT_SIGNALS, trio.current_time())
            await trio.sleep(10.0)
            sent = [_try_send(limits, _RUNNER) for _ in range(5)]
            self.assertEqual([True, False, False, False, False], sent)
            await trio.sleep(0.99)
            self.assertFalse(_try_send(limits, _RUNNER))
            await trio.sleep(0.02)
            self.assertTrue(_try_send(limits, _RUNNER))

        self.run_clocked(scenario)

    def test_other_daemons_probe_once_the_holders_are_silent(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            limits.note_answer(_RUNNER, _LIMIT_SIGNALS, trio.current_time())
            await trio.sleep(5.0)
            self.assertFalse(_try_send(limits, _RUNNER))
            wait_s = limits.find_wait_s(_RUNNER)
            self.assertTrue(0 < wait_s < 15.0, wait_s)
            await trio.sleep(wait_s)
            self.assertTrue(_try_send(limits, _RUNNER))

        self.run_clocked(scenario)

    def test_extreme_limits_give_finite_waits(self) -> None:
        async def scenario() -> None:
            for limit in (0.0, 1e-300, 0.1, 1e308):
                limits = builders.build_runner_limits(rank=3, daemons=400)
                reported = signals.RunnerSignals(limit_per_s=limit)
                limits.note_answer(_RUNNER, reported, trio.current_time())
                self.assertTrue(math.isfinite(limits.find_wait_s(_RUNNER)))
                _try_send(limits, _RUNNER)

        self.run_clocked(scenario)

    def test_a_runner_with_limit_0_is_probed_periodically(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            reported = signals.RunnerSignals(limit_per_s=0.0)
            limits.note_answer(_RUNNER, reported, trio.current_time())
            await trio.sleep(60.0)
            self.assertTrue(_try_send(limits, _RUNNER))
            self.assertAlmostEqual(10.0, limits.find_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_an_unused_probe_slot_expires(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            limits.note_answer(_RUNNER, _LIMIT_SIGNALS, trio.current_time())
            slot_s = 2.0
            await trio.sleep(limits.find_wait_s(_RUNNER) + slot_s + 0.01)
            self.assertFalse(_try_send(limits, _RUNNER))
            # Four daemons without a share have one slot after the other.
            wait_s = limits.find_wait_s(_RUNNER)
            self.assertAlmostEqual(3 * slot_s - 0.01, wait_s)

        self.run_clocked(scenario)

    def test_an_unreadable_limit_changes_nothing(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            limits.note_answer(_RUNNER, _LIMIT_SIGNALS, trio.current_time())
            await trio.sleep(1.0)
            unreadable = signals.RunnerSignals(is_limit_unreadable=True)
            limits.note_answer(_RUNNER, unreadable, trio.current_time())
            self.assertTrue(limits.is_limited(_RUNNER))

        self.run_clocked(scenario)

    def test_a_new_process_has_no_limit(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            limits.note_answer(_RUNNER, _LIMIT_SIGNALS, trio.current_time())
            fresh = builders.build_runner(born_ms=8)
            self.assertFalse(limits.is_limited(fresh))
            self.assertTrue(_try_send(limits, fresh))

        self.run_clocked(scenario)

    def test_a_gossiped_limit_applies(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            now = trio.current_time()
            report = limit_reports.LimitReport(1.0, 7, now - 0.2, now - 0.1)
            limits.apply_gossip([(_RUNNER.id, report)])
            self.assertFalse(_try_send(limits, _RUNNER))
            # Reports that only other daemons received are not gossiped as own.
            self.assertEqual([], limits.list_recent_reports(is_relayed=False))
            relayed = dict(limits.list_recent_reports(is_relayed=True))
            self.assertEqual(report.heard_at, relayed[_RUNNER.id].heard_at)

        self.run_clocked(scenario)

    def test_the_fleet_wait_is_the_wait_of_the_first_daemon(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            limits.note_answer(_RUNNER, _LIMIT_SIGNALS, trio.current_time())
            self.assertAlmostEqual(1.0, limits.find_fleet_wait_s(_RUNNER))

        self.run_clocked(scenario)

    def test_an_unconfirmed_limit_expires(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits(rank=5, daemons=6)
            limits.note_answer(_RUNNER, _LIMIT_SIGNALS, trio.current_time())
            await trio.sleep(601.0)
            self.assertFalse(limits.is_limited(_RUNNER))

        self.run_clocked(scenario)

    def test_a_daemon_that_learns_of_a_limit_late_learns_that_it_is_lifted(
        self,
    ) -> None:
        """A late limit report must not outlast the report of its lifting."""

        async def scenario() -> None:
            informed = builders.build_runner_limits()
            late = builders.build_runner_limits(rank=5, daemons=6)
            informed.note_answer(_RUNNER, _LIMIT_SIGNALS, trio.current_time())
            reports = informed.list_recent_reports(is_relayed=False)
            await trio.sleep(0.4)
            late.apply_gossip(
                [
                    (
                        runner_id,
                        dataclasses.replace(
                            report, heard_at=report.heard_at + 0.4
                        ),
                    )
                    for runner_id, report in reports
                ]
            )
            for _ in range(4):
                await trio.sleep(0.1)
                informed.note_answer(
                    _RUNNER, signals.NO_SIGNALS, trio.current_time()
                )
                late.apply_gossip(
                    informed.list_recent_reports(is_relayed=False)
                )
            self.assertFalse(late.is_limited(_RUNNER))

        self.run_clocked(scenario)

    def test_a_lifted_limit_is_gossiped_for_a_limited_time(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            limits.note_answer(_RUNNER, _LIMIT_SIGNALS, trio.current_time())
            for _ in range(60):
                await trio.sleep(1.0)
                limits.note_answer(
                    _RUNNER, signals.NO_SIGNALS, trio.current_time()
                )
            # Answers of a runner without a limit are not gossiped.
            self.assertEqual([], limits.list_recent_reports(is_relayed=True))
            self.assertEqual(set(), limits.list_ids())

        self.run_clocked(scenario)

    def test_memory_is_bounded(self) -> None:
        async def scenario() -> None:
            limits = builders.build_runner_limits()
            for number in range(3000):
                runner = builders.build_runner(id=f"runner-{number}")
                limits.note_answer(runner, _LIMIT_SIGNALS, trio.current_time())
                await trio.sleep(0.001)
            self.assertFalse(
                limits.is_limited(builders.build_runner(id="runner-0"))
            )
            self.assertTrue(limits.is_limited(runner))
            self.assertEqual(
                32, len(limits.list_recent_reports(is_relayed=True))
            )

        self.run_clocked(scenario)


class RandomFleetTest(clocked.ClockedTestCase):
    """No order of partitions, kills, joins and late gossip breaks a limit."""

    def _play(self, daemons: int, limit: float, seeds: range) -> None:
        async def scenario() -> None:
            for seed in seeds:
                day = limit_days.LimitDay(daemons, limit, seed)
                outcome = await limit_days.play_day(day)
                max_requests = limit_days.find_most_borne(limit)
                self.assertLessEqual(outcome.most, max_requests, day)

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

    def test_daemons_that_each_send_the_whole_limit_are_detected(
        self,
    ) -> None:
        def send_whole_limit(
            limit: float, sender: send_shares.SenderRank
        ) -> send_shares.Share:
            del sender
            return send_shares.find_share(limit, send_shares.SenderRank(0, 1))

        async def scenario() -> None:
            day = limit_days.LimitDay(25, 1.0, 1)
            outcome = await limit_days.play_day(day, send_whole_limit)
            max_requests = limit_days.find_most_borne(1.0)
            self.assertGreater(outcome.most, max_requests)

        self.run_clocked(scenario)
