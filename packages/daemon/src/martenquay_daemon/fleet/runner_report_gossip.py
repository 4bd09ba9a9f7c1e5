"""Convert runners' limit and drain reports to and from gossip messages."""

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
    """Gossips the limits and drains that runners reported.

    A daemon gossips only limits that runners reported to itself; a hub also
    those that it learnt of from other daemons, as zones exchange reports
    through hubs alone. If all daemons relayed them, a limit would circulate
    forever.
    """

    def __init__(
        self,
        limits: runner_limits.RunnerLimits,
        drains: drain_reports.DrainReports,
    ) -> None:
        self._limits = limits
        self._drains = drains

    def merge_reports(self, reports: messages.RunnerReports) -> None:
        """Merge the reports that another daemon gossiped."""
        self._limits.apply_gossip(_decode_limits(reports.limits))
        self._drains.apply_gossip(reports.leaving)

    def create_reports(self, *, is_hub: bool) -> messages.RunnerReports:
        """Return the reports to gossip, with their ages now."""
        limits = self._limits.list_recent_reports(is_relayed=is_hub)
        drains = self._drains.list_recent_reports()
        if not limits and not drains:
            return messages.NO_RUNNER_REPORTS
        return messages.RunnerReports(_encode_limits(limits), drains)


def _encode_limits(
    reports: list[tuple[str, limit_reports.LimitReport]],
) -> dict[str, messages.LimitEntry]:
    now = trio.current_time()
    return {
        runner_id: messages.LimitEntry(
            report.limit_per_s,
            report.born_ms,
            round((now - report.sent_at) * _MS),
            round((now - report.heard_at) * _MS),
        )
        for runner_id, report in reports
    }


def _decode_limits(
    entries: dict[str, messages.LimitEntry],
) -> list[tuple[str, limit_reports.LimitReport]]:
    now = trio.current_time()
    return [
        (
            runner_id,
            limit_reports.LimitReport(
                entry.limit,
                entry.born_ms,
                # A negative age would make the report newer than any other.
                now - max(0, entry.sent_ms) / _MS,
                now - max(0, entry.heard_ms) / _MS,
            ),
        )
        for runner_id, entry in entries.items()
    ]
