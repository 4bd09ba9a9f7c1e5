"""Check before each request whether the runner accepts it."""

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
_DRAINING = "the runner is draining"
_IN_BACKOFF = "the runner requested a backoff"
_OVER_LIMIT = "the runner's rate limit leaves no request for this daemon now"


@dataclasses.dataclass(frozen=True)
class UnavailableRunners:
    """Counts of runners that accept no request of this daemon now.

    Attributes:
        leaving: Runners that are draining.
        resting: Runners that requested a backoff.
        limited: Runners whose rate limit lets this daemon send nothing now.
    """

    leaving: int
    resting: int
    limited: int


class RunnerAdmission:
    """Admission of requests by the state that runners reported.

    Unlike outlier ejection, it makes no exception when no other runner is left.
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
        """Record the signals in an answer of a runner.

        Args:
            runner: The runner as it was when the request was sent.
            head: Head of the answer.
            sent_at: When the request was sent, in trio's time.
        """
        reported = head.signals
        self._limits.note_answer(runner, reported, sent_at)
        if reported.is_leaving:
            self._drains.note_answer(runner)
        if reported.is_retry_after_unreadable:
            _LOG.write(
                f"Runner {runner.id} sent a backoff time that is not a number.",
                runner=runner.id,
            )
        if reported.retry_after_s is not None:
            self._backoffs.note_rejection(runner, reported.retry_after_s)
        elif not head.did_not_run:
            self._backoffs.note_answer(runner, sent_at)

    def filter_accepting(
        self, candidates: Iterable[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that accept a request of this daemon now."""
        # Runners without a report skip the checks, which would be slow for all
        # runners of a large service.
        reported = self._list_reporting_ids()
        return [
            runner
            for runner in candidates
            if runner.id not in reported or not self._find_rejection(runner)
        ]

    def filter_unlimited(
        self, candidates: Iterable[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners that are under no rate limit."""
        reported = self._limits.list_ids()
        return [
            runner
            for runner in candidates
            if runner.id not in reported or not self._limits.is_limited(runner)
        ]

    def try_admit(self, runner: runners.Runner) -> str:
        """Use up a send slot; return why there is none, or an empty string.

        To be called right before a request is sent, as the runner may have
        reported a limit, a backoff or draining since it was chosen.
        """
        rejection = self._find_rejection(runner)
        if not rejection:
            self._limits.note_sent(runner)
            self._backoffs.note_sent(runner)
        return rejection

    def find_retry_s(
        self, candidates: Sequence[runners.Runner]
    ) -> float | None:
        """Return the seconds until a runner accepts a request.

        A caller may retry at any daemon, so under a rate limit the first send
        slot of any daemon counts.

        Returns:
            Seconds; 0 if a runner has reported nothing, None if no wait ends,
            as when all runners are draining.
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
            if not self._drains.is_draining(runner)
        ]
        return min(filter(math.isfinite, waits_s), default=None)

    def count_unavailable(
        self, candidates: Iterable[runners.Runner]
    ) -> UnavailableRunners:
        """Count the runners that accept nothing now, by the first reason."""
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
        """Drop a runner's signals, as another process has replaced it."""
        self._limits.forget(runner_id)
        self._backoffs.forget(runner_id)

    def _list_reporting_ids(self) -> set[str]:
        """Return the ids of the runners that have reported anything."""
        reported = self._limits.list_ids() | self._drains.list_ids()
        return reported | self._backoffs.list_ids()

    def _find_rejection(self, runner: runners.Runner) -> str:
        if self._drains.is_draining(runner):
            return _DRAINING
        if self._backoffs.find_wait_s(runner) > 0:
            return _IN_BACKOFF
        if self._limits.find_wait_s(runner) > 0:
            return _OVER_LIMIT
        return ""
