"""Remember which runners have said in an answer that they leave.

A runner's entry says so too, but the log may be away when it begins to leave,
and an older entry may be read later. What a process has said of itself holds
for that process, whatever its entry says.
"""

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
# Long after a runner that leaves has ended; its id may have another process
# then, which has its own start.
_RETENTION_S = 3600.0
# Others are gossiped for so long, by which time the log has the runner's entry or
# the runner has ended.
_GOSSIP_S = 30.0
_MAX_GOSSIPED_RUNNERS = 32
# Of so many runners, the newest; each takes 200 bytes.
_MAX_RUNNERS = 4000


@dataclasses.dataclass(frozen=True)
class _DrainReport:
    born_ms: int | None
    heard_at: float


class DrainReports:
    """Runners that leave, by id.

    Attributes:
        observe: Told the kind and the source of each report that is new.
        notify_soon: Has other daemons gossiped soon.
    """

    def __init__(self) -> None:
        self.observe: Callable[[str, str], None] = observers.ignore_signal
        self.notify_soon: Callable[[], None] = observers.ignore_notification
        self._reports: dict[str, _DrainReport] = {}

    def list_ids(self) -> set[str]:
        """Return the ids of the runners of which something is known."""
        return set(self._reports)

    def note_answer(self, runner: runners.Runner) -> None:
        """Note that a runner has said so in an answer."""
        if self._record(runner.id, runner.born_ms, "answer"):
            self.notify_soon()

    def apply_gossip(self, gossiped: dict[str, int | None]) -> None:
        """Take what another daemon knows: starts of processes by runner id."""
        for runner_id, born_ms in gossiped.items():
            self._record(runner_id, born_ms, "daemon")

    def list_recent_reports(self) -> dict[str, int | None]:
        """Return what others are to be gossiped, the newest first."""
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

    def holds(self, runner: runners.Runner) -> bool:
        """Tell whether this process of a runner has said that it leaves."""
        report = self._reports.get(runner.id)
        if report is None:
            return False
        if report.born_ms is None or runner.born_ms is None:
            return True
        return report.born_ms >= runner.born_ms

    def _record(self, runner_id: str, born_ms: int | None, source: str) -> bool:
        """Keep a report; tell whether it is new."""
        known = self._reports.get(runner_id)
        if known is not None and not _is_later(born_ms, known.born_ms):
            return False
        self._evict_old()
        self._reports[runner_id] = _DrainReport(born_ms, trio.current_time())
        _LOG.write(
            f"Runner {runner_id} says that it leaves.",
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
