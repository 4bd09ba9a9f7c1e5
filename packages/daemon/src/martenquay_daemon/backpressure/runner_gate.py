"""Ask, before each request, whether a runner has said that it takes it."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from martenquay_core.serving import calls, runners
    from martenquay_daemon.backpressure import (
        drain_reports,
        runner_backoffs,
        runner_limits,
    )

__all__ = ["UnavailableRunners", "RunnerAdmission"]

_LOG = logs.create_log("backpressure")
_LEAVES = "the runner says that it leaves"
_RESTS = "the runner has asked for rest"
_OVER = "over the limit that the runner names"


@dataclasses.dataclass(frozen=True)
class UnavailableRunners:
    """Runners that take no request of this daemon now.

    Attributes:
        leaving: They leave.
        resting: They have asked for rest.
        limited: Their limit leaves this daemon no turn now.
    """

    leaving: int
    resting: int
    limited: int


class RunnerAdmission:
    """What runners say of themselves, for all that sends to them.

    A runner's own word is no guess: unlike one that failed, a runner that says
    what it takes gets no more when nobody else is left.
    """

    def __init__(
        self,
        limits: runner_limits.RunnerLimits,
        leaving: drain_reports.DrainReports,
        asked_rests: runner_backoffs.RunnerBackoffs,
    ) -> None:
        self._limits = limits
        self._leaving = leaving
        self._rests = asked_rests

    def note_answer(
        self,
        runner: runners.Runner,
        head: calls.AnswerHead,
        sent_at: float,
    ) -> None:
        """Take what an answer of a runner says.

        Args:
            runner: The runner, as it was when the request was sent.
            head: The head of the answer.
            sent_at: When the request was sent, in trio's time.
        """
        told = head.signals
        self._limits.note_answer(runner, told, sent_at)
        if told.is_leaving:
            self._leaving.note_answer(runner)
        if told.is_rest_unreadable:
            _LOG.write(
                f"Runner {runner.id} wants rest for what is no time.",
                runner=runner.id,
            )
        if told.rest_s is not None:
            self._rests.note_refusal(runner, told.rest_s)
        elif not head.did_not_run:
            self._rests.note_answer(runner, sent_at)

    def filter_accepting(
        self, found: Iterable[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that take a request of this daemon now."""
        # Few say anything; to ask of each of hundreds would hold up each
        # request.
        told = self._list_told()
        return [
            runner
            for runner in found
            if runner.id not in told or not self._find_problem(runner)
        ]

    def filter_unlimited(
        self, found: Iterable[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that take as much as any other."""
        told = self._limits.list_ids()
        return [
            runner
            for runner in found
            if runner.id not in told or not self._limits.is_limited(runner)
        ]

    def try_admit(self, runner: runners.Runner) -> str:
        """Return why a request must not be sent now, or nothing.

        Asked right before it is sent: what the runner has said may be younger
        than the choice. A turn that is taken is used up.
        """
        problem = self._find_problem(runner)
        if not problem:
            self._limits.note_sent(runner)
            self._rests.note_sent(runner)
        return problem

    def find_retry_s(self, found: Sequence[runners.Runner]) -> float | None:
        """Return when one of the runners takes a request; None if none does.

        A caller that comes back may come to any daemon, so of a limit it counts
        when the next request may be sent from wherever.
        """
        told = self._list_told()
        if any(runner.id not in told for runner in found):
            return 0.0
        waits = [
            max(
                self._limits.find_next_s(runner),
                self._rests.find_wait_s(runner),
            )
            for runner in found
            if not self._leaving.holds(runner)
        ]
        return min(filter(math.isfinite, waits), default=None)

    def count_closed(
        self, found: Iterable[runners.Runner]
    ) -> UnavailableRunners:
        """Count the runners that take nothing now, by their first reason."""
        told = self._list_told()
        problems = collections.Counter(
            self._find_problem(runner) for runner in found if runner.id in told
        )
        return UnavailableRunners(
            problems[_LEAVES], problems[_RESTS], problems[_OVER]
        )

    def forget(self, runner_id: str) -> None:
        """Drop what a runner has said: its process is a new one."""
        self._limits.forget(runner_id)
        self._rests.forget(runner_id)

    def _list_told(self) -> set[str]:
        """Return the ids of the runners that have said anything."""
        told = self._limits.list_ids() | self._leaving.list_ids()
        return told | self._rests.list_ids()

    def _find_problem(self, runner: runners.Runner) -> str:
        if self._leaving.holds(runner):
            return _LEAVES
        if self._rests.find_wait_s(runner) > 0:
            return _RESTS
        if self._limits.find_wait_s(runner) > 0:
            return _OVER
        return ""
