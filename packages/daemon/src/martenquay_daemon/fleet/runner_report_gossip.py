"""Tell other daemons what runners say of themselves, and hear of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.backpressure import limit_reports
from martenquay_daemon.fleet import messages

if TYPE_CHECKING:
    from martenquay_daemon.backpressure import drain_reports, runner_limits

__all__ = ["RunnerReportGossip"]

_MS = 1000


class RunnerReportGossip:
    """What runners say, as daemons tell it to each other.

    Of limits a daemon tells what runners told it; a hub tells all that it
    knows, for its zone and the other zones hear of each other through hubs
    alone. A limit has an age; what was told of it in a circle would have none.
    """

    def __init__(
        self,
        limits: runner_limits.RunnerLimits,
        leaving: drain_reports.DrainReports,
    ) -> None:
        self._limits = limits
        self._leaving = leaving

    def take(self, words: messages.RunnerReports) -> None:
        """Take what another daemon tells."""
        self._limits.apply_gossip(_read_words(words.limits))
        self._leaving.apply_gossip(words.leaving)

    def create(self, *, is_hub: bool) -> messages.RunnerReports:
        """Return what to tell, as old as it is now."""
        limits = self._limits.list_recent_reports(is_relayed=is_hub)
        leaving = self._leaving.list_recent_reports()
        if not limits and not leaving:
            return messages.NO_RUNNER_REPORTS
        return messages.RunnerReports(_write_words(limits), leaving)


def _write_words(
    words: list[tuple[str, limit_reports.LimitReport]],
) -> dict[str, messages.LimitEntry]:
    """Return lines for words, by runner id."""
    now = trio.current_time()
    return {
        runner_id: messages.LimitEntry(
            word.limit_per_s,
            word.born_ms,
            round((now - word.sent_at) * _MS),
            round((now - word.heard_at) * _MS),
        )
        for runner_id, word in words
    }


def _read_words(
    lines: dict[str, messages.LimitEntry],
) -> list[tuple[str, limit_reports.LimitReport]]:
    now = trio.current_time()
    return [
        (
            runner_id,
            limit_reports.LimitReport(
                line.limit,
                line.born_ms,
                # Nobody hears of what is still to come.
                now - max(0, line.sent_ms) / _MS,
                now - max(0, line.heard_ms) / _MS,
            ),
        )
        for runner_id, line in lines.items()
    ]
