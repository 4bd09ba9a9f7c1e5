"""A choice and the sending ask the same gate, and a word comes between."""

from __future__ import annotations

import math

import trio

from martenquay_core.serving import calls, signals
from martenquay_daemon.backpressure import runner_gate
from tests import clocked
from tests import serving_builders as builders

_RUNNER = builders.build_runner(born_ms=7)
_LIMITED = signals.RunnerSignals(limit_per_s=2.0)
_LEAVES = signals.RunnerSignals(is_leaving=True)
_RESTS = signals.RunnerSignals(rest_s=3.0)


def _note(
    gate: runner_gate.RunnerAdmission,
    told: signals.RunnerSignals,
    *,
    did_not_run: bool = False,
) -> None:
    head = calls.AnswerHead(200, [], None, True, did_not_run, False, told)
    gate.note_answer(_RUNNER, head, trio.current_time())


class RunnerGateTest(clocked.ClockedTestCase):
    def test_what_is_said_after_the_choice_holds_at_the_sending(self) -> None:
        async def scenario() -> None:
            for told in (_LIMITED, _LEAVES, _RESTS):
                gate = builders.build_runner_gate()
                self.assertEqual([_RUNNER], gate.filter_accepting([_RUNNER]))
                _note(gate, told, did_not_run=told is _RESTS)
                self.assertTrue(gate.try_admit(_RUNNER), told)
                self.assertEqual([], gate.filter_accepting([_RUNNER]))

        self.run_clocked(scenario)

    def test_of_two_that_were_chosen_at_once_one_is_sent(self) -> None:
        async def scenario() -> None:
            gate = builders.build_runner_gate()
            _note(gate, _LIMITED)
            await trio.sleep(1.0)
            self.assertEqual([_RUNNER], gate.filter_accepting([_RUNNER]))
            self.assertEqual("", gate.try_admit(_RUNNER))
            self.assertTrue(gate.try_admit(_RUNNER))

        self.run_clocked(scenario)

    def test_callers_come_back_when_the_first_runner_takes_one(self) -> None:
        async def scenario() -> None:
            gate = builders.build_runner_gate()
            _note(gate, _RESTS, did_not_run=True)
            await trio.sleep(1.0)
            self.assertAlmostEqual(2.0, gate.find_retry_s([_RUNNER]))
            other = builders.build_runner(id="runner-2")
            self.assertEqual(0.0, gate.find_retry_s([_RUNNER, other]))
            self.assertIsNone(gate.find_retry_s([]))

        self.run_clocked(scenario)

    def test_what_keeps_runners_out_is_counted(self) -> None:
        async def scenario() -> None:
            gate = builders.build_runner_gate()
            other = builders.build_runner(id="runner-2")
            _note(gate, _RESTS, did_not_run=True)
            found = gate.count_closed([_RUNNER, other])
            self.assertEqual(runner_gate.UnavailableRunners(0, 1, 0), found)
            _note(gate, _LEAVES)
            found = gate.count_closed([_RUNNER, other])
            self.assertEqual(runner_gate.UnavailableRunners(1, 0, 0), found)

        self.run_clocked(scenario)

    def test_nobody_is_told_to_wait_for_a_runner_that_leaves(self) -> None:
        async def scenario() -> None:
            gate = builders.build_runner_gate()
            _note(gate, _LEAVES)
            self.assertIsNone(gate.find_retry_s([_RUNNER]))

        self.run_clocked(scenario)

    def test_a_time_without_end_is_no_time_to_come_back(self) -> None:
        async def scenario() -> None:
            gate = builders.build_runner_gate()
            endless = signals.RunnerSignals(rest_s=math.inf)
            _note(gate, endless, did_not_run=True)
            self.assertIsNone(gate.find_retry_s([_RUNNER]))

        self.run_clocked(scenario)
