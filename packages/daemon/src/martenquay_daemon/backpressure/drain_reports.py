"""Track the runners that reported in an answer that they are draining."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.backpressure import observers

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import runners

__all__ = ["DrainReports"]

_LOG = logs.create_log("backpressure")
# Outlasts the draining process; a later process with the same id has another
# start time.
_RETENTION_S = 3600.0
# Reports are gossiped for this long; by then the log has the runner's entry or
# the runner has ended.
_GOSSIP_S = 30.0
_MAX_GOSSIPED_RUNNERS = 32
_MAX_RUNNERS = 4000


@dataclasses.dataclass(frozen=True)
class _DrainReport:
    born_ms: int | None
    heard_at: float


class DrainReports:
    """Drain reports by runner id.

    A runner's entry in the log may be missing or out of date while the runner
    drains, so a report holds for its process whatever the entry says.

    Attributes:
        observe: Called with the kind and the source of each new report.
        notify_soon: Called to send a new report to other daemons early.
    """

    def __init__(self) -> None:
        self.observe: Callable[[str, str], None] = observers.ignore_signal
        self.notify_soon: Callable[[], None] = observers.ignore_notification
        self._reports: dict[str, _DrainReport] = {}

    def list_ids(self) -> set[str]:
        """Return the ids of the runners that have a report."""
        return set(self._reports)

    def note_answer(self, runner: runners.Runner) -> None:
        """Record that an answer of the runner reported draining."""
        if self._record(runner.id, runner.born_ms, "answer"):
            self.notify_soon()

    def apply_gossip(self, gossiped: dict[str, int | None]) -> None:
        """Merge the reports of another daemon.

        Args:
            gossiped: Process start times in milliseconds by runner id.
        """
        for runner_id, born_ms in gossiped.items():
            self._record(runner_id, born_ms, "daemon")

    def list_recent_reports(self) -> dict[str, int | None]:
        """Return the reports to gossip, the newest first."""
        oldest = trio.current_time() - _GOSSIP_S
        found = [
            (report.heard_at, runner_id, report.born_ms)
            for runner_id, report in self._reports.items()
            if report.heard_at > oldest
        ]
        found.sort(key=lambda item: item[0], reverse=True)
        return {
            runner_id: born
            for _, runner_id, born in found[:_MAX_GOSSIPED_RUNNERS]
        }

    def is_draining(self, runner: runners.Runner) -> bool:
        """Return whether this process of the runner has reported draining."""
        report = self._reports.get(runner.id)
        if report is None:
            return False
        if report.born_ms is None or runner.born_ms is None:
            return True
        return report.born_ms >= runner.born_ms

    def _record(self, runner_id: str, born_ms: int | None, source: str) -> bool:
        """Record a report; return whether it is new."""
        known = self._reports.get(runner_id)
        if known is not None and not _is_later(born_ms, known.born_ms):
            return False
        self._evict_old()
        self._reports[runner_id] = _DrainReport(born_ms, trio.current_time())
        _LOG.write(
            f"Runner {runner_id} reported that it is draining.",
            runner=runner_id,
            born_ms=born_ms,
            source=source,
        )
        self.observe("leaving", source)
        return True

    def _evict_old(self) -> None:
        oldest = trio.current_time() - _RETENTION_S
        for runner_id, report in list(self._reports.items()):
            if report.heard_at < oldest or len(self._reports) >= _MAX_RUNNERS:
                del self._reports[runner_id]


def _is_later(one: int | None, other: int | None) -> bool:
    return one is not None and other is not None and one > other
