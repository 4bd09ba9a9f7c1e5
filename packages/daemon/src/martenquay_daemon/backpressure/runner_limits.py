"""Enforce the rate limits that runners report, over all daemons together."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.backpressure import (
    limit_reports,
    observers,
    send_shares,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from martenquay_core.serving import runners, signals

__all__ = ["RunnerLimits"]

_LOG = logs.create_log("backpressure")
# A limit that no answer confirms is dropped after this time; otherwise an idle
# runner would keep its limit.
_LIMIT_RETENTION_S = 600.0
# Outlasts late answers from before the limit was lifted.
_LIFT_RETENTION_S = 30.0
_MAX_RUNNERS = 2000
_GOSSIP_S = 5.0
_MAX_GOSSIPED_RUNNERS = 32


@dataclasses.dataclass
class _LimitState:
    """State of one runner's rate limit; times are trio's, in seconds.

    Attributes:
        report: The newest report.
        is_own: Whether it came in an answer to this daemon, not by gossip.
        limited_since: When this daemon learned of the limit.
        sent_at: When this daemon last sent a request to the runner.
        lifted_since: When this daemon learned that the limit was lifted.
    """

    report: limit_reports.LimitReport
    is_own: bool
    limited_since: float = -math.inf
    sent_at: float = -math.inf
    lifted_since: float = -math.inf


class RunnerLimits:
    """Rate limits by runner id.

    Attributes:
        observe: Called with the kind and the source of each change.
        notify_soon: Called to send a change to other daemons early.
    """

    def __init__(
        self,
        find_rank: Callable[[runners.Runner], send_shares.SenderRank],
        find_share: Callable[
            [float, send_shares.SenderRank], send_shares.Share
        ] = send_shares.find_share,
    ) -> None:
        self.observe: Callable[[str, str], None] = observers.ignore_signal
        self.notify_soon: Callable[[], None] = observers.ignore_notification
        self._find_rank = find_rank
        self._find_share = find_share
        self._states: dict[str, _LimitState] = {}

    def list_ids(self) -> set[str]:
        """Return the ids of the runners that have a limit or had one lately."""
        return set(self._states)

    def note_answer(
        self,
        runner: runners.Runner,
        reported: signals.RunnerSignals,
        sent_at: float,
    ) -> None:
        """Record the rate limit in an answer of a runner.

        Args:
            runner: The runner as it was when the request was sent.
            reported: Signals in the answer.
            sent_at: When the request was sent, in trio's time.
        """
        if reported.is_limit_unreadable:
            _LOG.write(
                f"Runner {runner.id} sent a rate limit that is not a number.",
                runner=runner.id,
            )
            self.observe("limit-unreadable", "answer")
            return
        if reported.limit_per_s is None and self._refresh_lift(runner, sent_at):
            return
        report = limit_reports.LimitReport(
            reported.limit_per_s, runner.born_ms, sent_at, trio.current_time()
        )
        known = self._find_report(runner.id)
        merged = limit_reports.merge_report(known, report)
        if self._store(runner.id, known, merged, is_own=True):
            self.notify_soon()

    def apply_gossip(
        self, reports: Iterable[tuple[str, limit_reports.LimitReport]]
    ) -> None:
        """Merge reports of other daemons, given by runner id."""
        for runner_id, report in reports:
            known = self._find_report(runner_id)
            merged = limit_reports.merge_gossiped_report(known, report)
            if merged is not known:
                self._store(runner_id, known, merged, is_own=False)

    def list_recent_reports(
        self, *, is_relayed: bool
    ) -> list[tuple[str, limit_reports.LimitReport]]:
        """Return the reports of the last seconds, the newest first.

        Args:
            is_relayed: Whether to include reports gossiped by other daemons.
        """
        oldest = trio.current_time() - _GOSSIP_S
        found = [
            (runner_id, known.report)
            for runner_id, known in self._states.items()
            if known.report.heard_at > oldest and (known.is_own or is_relayed)
        ]
        found.sort(key=lambda item: item[1].heard_at, reverse=True)
        return found[:_MAX_GOSSIPED_RUNNERS]

    def find_limit(self, runner: runners.Runner) -> float | None:
        """Return a runner's limit in requests per second, if it has one."""
        known = self._find_active_limit(runner)
        return None if known is None else known.report.limit_per_s

    def is_limited(self, runner: runners.Runner) -> bool:
        """Return whether a runner is under a rate limit."""
        return self._find_active_limit(runner) is not None

    def find_wait_s(self, runner: runners.Runner) -> float:
        """Return the seconds until this daemon may send; 0 if now."""
        known = self._find_active_limit(runner)
        if known is None:
            return 0.0
        limit = known.report.limit_per_s
        assert limit is not None, "it is under a limit"
        match self._find_share(limit, self._find_rank(runner)):
            case send_shares.HolderSchedule() as schedule:
                return _find_holder_wait_s(known, schedule)
            case send_shares.ProbeSlot() as slot:
                return _find_probe_wait_s(known, slot)

    def find_fleet_wait_s(self, runner: runners.Runner) -> float:
        """Return the seconds until the first daemon of the fleet may send."""
        known = self._find_active_limit(runner)
        if known is None:
            return 0.0
        limit = known.report.limit_per_s
        assert limit is not None, "it is under a limit"
        send_interval_s = send_shares.find_send_interval_s(limit)
        return min(self.find_wait_s(runner), send_interval_s)

    def note_sent(self, runner: runners.Runner) -> None:
        """Record that a request is sent now, which uses up a send slot."""
        known = self._find_active_limit(runner)
        if known is not None:
            known.sent_at = trio.current_time()

    def forget(self, runner_id: str) -> None:
        """Drop a runner's limit, as another process has replaced it."""
        self._states.pop(runner_id, None)

    def _find_active_limit(self, runner: runners.Runner) -> _LimitState | None:
        """Return the state of a runner that is under a limit, else None."""
        known = self._states.get(runner.id)
        if known is None or known.report.limit_per_s is None:
            return None
        if trio.current_time() > known.report.heard_at + _LIMIT_RETENTION_S:
            return None
        born = known.report.born_ms
        if None not in {born, runner.born_ms} and born != runner.born_ms:
            return None
        return known

    def _refresh_lift(self, runner: runners.Runner, sent_at: float) -> bool:
        """Process an answer without a limit if the runner had none before.

        After a limit is lifted, such answers renew the report for a while: a
        daemon that learned of the limit late would ignore the first one as old.

        Returns:
            Whether the answer was processed; False if it may lift a limit.
        """
        known = self._states.get(runner.id)
        if known is None:
            return True
        if known.report.limit_per_s is not None:
            return False
        now = trio.current_time()
        if known.report.heard_at < now - _LIFT_RETENTION_S:
            del self._states[runner.id]
        elif now < known.lifted_since + _GOSSIP_S:
            report = limit_reports.LimitReport(
                None, runner.born_ms, sent_at, now
            )
            known.report = limit_reports.choose_later_lift(known.report, report)
            known.is_own = True
        return True

    def _find_report(self, runner_id: str) -> limit_reports.LimitReport | None:
        known = self._states.get(runner_id)
        return None if known is None else known.report

    def _store(
        self,
        runner_id: str,
        before: limit_reports.LimitReport | None,
        report: limit_reports.LimitReport | None,
        *,
        is_own: bool,
    ) -> bool:
        """Store a report; return whether it changes the limit."""
        if report is None:
            self._states.pop(runner_id, None)
            return False
        known = self._states.get(runner_id)
        if known is None:
            self._evict_old()
            known = self._states[runner_id] = _LimitState(report, is_own)
        known.report = report
        known.is_own = is_own
        old = None if before is None else before.limit_per_s
        if report.limit_per_s == old:
            return False
        if old is None:
            known.limited_since = trio.current_time()
        if report.limit_per_s is None:
            known.lifted_since = trio.current_time()
        self._log_change(runner_id, old, report, is_own=is_own)
        return True

    def _log_change(
        self,
        runner_id: str,
        old: float | None,
        report: limit_reports.LimitReport,
        *,
        is_own: bool,
    ) -> None:
        limit = report.limit_per_s
        source = "answer" if is_own else "daemon"
        text = "lifted" if limit is None else f"set to {limit:g} per second"
        _LOG.write(
            f"Rate limit of runner {runner_id} for all daemons is {text}.",
            runner=runner_id,
            limit_per_s=limit,
            before=old,
            age_ms=round((trio.current_time() - report.heard_at) * 1000),
            source=source,
        )
        self.observe("limit" if limit is not None else "limit-over", source)

    def _evict_old(self) -> None:
        now = trio.current_time()
        for runner_id, known in list(self._states.items()):
            is_over = known.report.limit_per_s is None
            kept_s = _LIFT_RETENTION_S if is_over else _LIMIT_RETENTION_S
            if now > known.report.heard_at + kept_s:
                del self._states[runner_id]
        while len(self._states) >= _MAX_RUNNERS:
            oldest = min(
                self._states,
                key=lambda runner_id: self._states[runner_id].report.heard_at,
            )
            del self._states[oldest]


def _find_holder_wait_s(
    known: _LimitState, schedule: send_shares.HolderSchedule
) -> float:
    due_at = max(
        known.limited_since + schedule.first_s,
        known.sent_at + schedule.interval_s,
    )
    return max(0.0, due_at - trio.current_time())


def _find_probe_wait_s(
    known: _LimitState, slot: send_shares.ProbeSlot
) -> float:
    now = trio.current_time()
    elapsed_s = now - known.report.heard_at - slot.first_s
    if elapsed_s < 0:
        return -elapsed_s
    into_period_s = elapsed_s % slot.period_s
    is_unused = known.sent_at < now - into_period_s
    if into_period_s < slot.length_s and is_unused:
        return 0.0
    return slot.period_s - into_period_s
