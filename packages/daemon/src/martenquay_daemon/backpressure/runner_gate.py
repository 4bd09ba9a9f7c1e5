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
_DRAINING = "the runner says that it leaves"
_IN_BACKOFF = "the runner has asked for rest"
_OVER_LIMIT = "over the limit that the runner names"


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
        drains: drain_reports.DrainReports,
        backoffs: runner_backoffs.RunnerBackoffs,
    ) -> None:
        self._limits = limits
        self._drains = drains
        self._backoffs = backoffs

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
        reported = head.signals
        self._limits.note_answer(runner, reported, sent_at)
        if reported.is_leaving:
            self._drains.note_answer(runner)
        if reported.is_rest_unreadable:
            _LOG.write(
                f"Runner {runner.id} wants rest for what is no time.",
                runner=runner.id,
            )
        if reported.rest_s is not None:
            self._backoffs.note_rejection(runner, reported.rest_s)
        elif not head.did_not_run:
            self._backoffs.note_answer(runner, sent_at)

    def filter_accepting(
        self, candidates: Iterable[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that take a request of this daemon now."""
        # Few say anything; to ask of each of hundreds would hold up each
        # request.
        reported = self._list_reporting_ids()
        return [
            runner
            for runner in candidates
            if runner.id not in reported or not self._find_rejection(runner)
        ]

    def filter_unlimited(
        self, candidates: Iterable[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that take as much as any other."""
        reported = self._limits.list_ids()
        return [
            runner
            for runner in candidates
            if runner.id not in reported or not self._limits.is_limited(runner)
        ]

    def try_admit(self, runner: runners.Runner) -> str:
        """Return why a request must not be sent now, or nothing.

        Asked right before it is sent: what the runner has said may be younger
        than the choice. A turn that is taken is used up.
        """
        rejection = self._find_rejection(runner)
        if not rejection:
            self._limits.note_sent(runner)
            self._backoffs.note_sent(runner)
        return rejection

    def find_retry_s(
        self, candidates: Sequence[runners.Runner]
    ) -> float | None:
        """Return when one of the runners takes a request; None if none does.

        A caller that comes back may come to any daemon, so of a limit it counts
        when the next request may be sent from wherever.
        """
        reported = self._list_reporting_ids()
        if any(runner.id not in reported for runner in candidates):
            return 0.0
        waits_s = [
            max(
                self._limits.find_fleet_wait_s(runner),
                self._backoffs.find_wait_s(runner),
            )
            for runner in candidates
            if not self._drains.holds(runner)
        ]
        return min(filter(math.isfinite, waits_s), default=None)

    def count_closed(
        self, candidates: Iterable[runners.Runner]
    ) -> UnavailableRunners:
        """Count the runners that take nothing now, by their first reason."""
        reported = self._list_reporting_ids()
        rejections = collections.Counter(
            self._find_rejection(runner)
            for runner in candidates
            if runner.id in reported
        )
        return UnavailableRunners(
            rejections[_DRAINING],
            rejections[_IN_BACKOFF],
            rejections[_OVER_LIMIT],
        )

    def forget(self, runner_id: str) -> None:
        """Drop what a runner has said: its process is a new one."""
        self._limits.forget(runner_id)
        self._backoffs.forget(runner_id)

    def _list_reporting_ids(self) -> set[str]:
        """Return the ids of the runners that have said anything."""
        reported = self._limits.list_ids() | self._drains.list_ids()
        return reported | self._backoffs.list_ids()

    def _find_rejection(self, runner: runners.Runner) -> str:
        if self._drains.holds(runner):
            return _DRAINING
        if self._backoffs.find_wait_s(runner) > 0:
            return _IN_BACKOFF
        if self._limits.find_wait_s(runner) > 0:
            return _OVER_LIMIT
        return ""
