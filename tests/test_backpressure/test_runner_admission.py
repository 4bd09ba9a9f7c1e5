"""Signals that arrive between choice and sending stop a request."""

from __future__ import annotations

import math

import trio

from martenquay_core.serving import calls, signals
from martenquay_daemon.backpressure import runner_admission
from tests import clocked
from tests import serving_builders as builders

_RUNNER = builders.build_runner(born_ms=7)
_LIMIT_SIGNALS = signals.RunnerSignals(limit_per_s=2.0)
_DRAIN_SIGNALS = signals.RunnerSignals(is_leaving=True)
_BACKOFF_SIGNALS = signals.RunnerSignals(retry_after_s=3.0)


def _note_answer(
    admission: runner_admission.RunnerAdmission,
    reported: signals.RunnerSignals,
    *,
    did_not_run: bool = False,
) -> None:
    head = calls.AnswerHead(200, [], None, True, did_not_run, False, reported)
    admission.note_answer(_RUNNER, head, trio.current_time())


class RunnerAdmissionTest(clocked.ClockedTestCase):
    def test_signals_after_the_choice_apply_at_sending(self) -> None:
        async def scenario() -> None:
            for reported in (_LIMIT_SIGNALS, _DRAIN_SIGNALS, _BACKOFF_SIGNALS):
                admission = builders.build_runner_admission()
                self.assertEqual(
                    [_RUNNER], admission.filter_accepting([_RUNNER])
                )
                _note_answer(
                    admission,
                    reported,
                    did_not_run=reported is _BACKOFF_SIGNALS,
                )
                self.assertTrue(admission.try_admit(_RUNNER), reported)
                self.assertEqual([], admission.filter_accepting([_RUNNER]))

        self.run_clocked(scenario)

    def test_one_slot_admits_one_of_two_requests(self) -> None:
        async def scenario() -> None:
            admission = builders.build_runner_admission()
            _note_answer(admission, _LIMIT_SIGNALS)
            await trio.sleep(1.0)
            self.assertEqual([_RUNNER], admission.filter_accepting([_RUNNER]))
            self.assertEqual("", admission.try_admit(_RUNNER))
            self.assertTrue(admission.try_admit(_RUNNER))

        self.run_clocked(scenario)

    def test_the_retry_time_is_that_of_the_first_runner(self) -> None:
        async def scenario() -> None:
            admission = builders.build_runner_admission()
            _note_answer(admission, _BACKOFF_SIGNALS, did_not_run=True)
            await trio.sleep(1.0)
            self.assertAlmostEqual(2.0, admission.find_retry_s([_RUNNER]))
            other = builders.build_runner(id="runner-2")
            self.assertEqual(0.0, admission.find_retry_s([_RUNNER, other]))
            self.assertIsNone(admission.find_retry_s([]))

        self.run_clocked(scenario)

    def test_unavailable_runners_are_counted_by_reason(self) -> None:
        async def scenario() -> None:
            admission = builders.build_runner_admission()
            other = builders.build_runner(id="runner-2")
            _note_answer(admission, _BACKOFF_SIGNALS, did_not_run=True)
            found = admission.count_unavailable([_RUNNER, other])
            self.assertEqual(
                runner_admission.UnavailableRunners(0, 1, 0), found
            )
            _note_answer(admission, _DRAIN_SIGNALS)
            found = admission.count_unavailable([_RUNNER, other])
            self.assertEqual(
                runner_admission.UnavailableRunners(1, 0, 0), found
            )

        self.run_clocked(scenario)

    def test_a_draining_runner_gives_no_retry_time(self) -> None:
        async def scenario() -> None:
            admission = builders.build_runner_admission()
            _note_answer(admission, _DRAIN_SIGNALS)
            self.assertIsNone(admission.find_retry_s([_RUNNER]))

        self.run_clocked(scenario)

    def test_an_infinite_backoff_gives_no_retry_time(self) -> None:
        async def scenario() -> None:
            admission = builders.build_runner_admission()
            endless = signals.RunnerSignals(retry_after_s=math.inf)
            _note_answer(admission, endless, did_not_run=True)
            self.assertIsNone(admission.find_retry_s([_RUNNER]))

        self.run_clocked(scenario)
