"""Merge reports of a runner's rate limit that arrive out of order."""

from __future__ import annotations

import dataclasses

__all__ = [
    "LimitReport",
    "choose_later_lift",
    "merge_gossiped_report",
    "merge_report",
]

# A report echoed back by another daemon seems newer by the network delay; if it
# counted as new, it would circulate without end.
_ECHO_WINDOW_S = 0.5
# Taken off a gossiped report's send time, as its network delay would otherwise
# let it override a newer report that this daemon received itself.
_GOSSIP_LATENCY_S = 0.25


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """The rate limit in one answer of a runner; times are trio's, in seconds.

    Attributes:
        limit_per_s: Requests per second from all daemons together; None if
            the answer has no limit.
        born_ms: Start time of the process that answered, from its entry.
        sent_at: When the request was sent.
        heard_at: When the answer's head arrived.
    """

    limit_per_s: float | None
    born_ms: int | None
    sent_at: float
    heard_at: float


def merge_report(
    known: LimitReport | None, report: LimitReport
) -> LimitReport | None:
    """Return the report to keep; None if the process has reported no limit.

    Answers may overtake each other, so the send times of their requests decide.
    A request sent before the known report arrived can only lower the limit.
    """
    if known is not None and _is_newer_process(known, report):
        return known
    if known is None or _is_newer_process(report, known):
        return None if report.limit_per_s is None else report
    if known.limit_per_s is None:
        # A late answer from before the limit was lifted must not restore it.
        is_limited_again = report.limit_per_s is not None
        return (
            report
            if is_limited_again and report.sent_at >= known.sent_at
            else known
        )
    if report.sent_at >= known.heard_at:
        return report
    if report.limit_per_s is None or report.sent_at < known.sent_at:
        # The runner may have answered before it set the limit.
        return known
    return dataclasses.replace(
        known,
        limit_per_s=min(known.limit_per_s, report.limit_per_s),
        heard_at=report.heard_at,
    )


def choose_later_lift(known: LimitReport, report: LimitReport) -> LimitReport:
    """Return the later of two reports without a limit."""
    if _is_newer_process(known, report) or report.sent_at < known.sent_at:
        return known
    return report


def merge_gossiped_report(
    known: LimitReport | None, report: LimitReport
) -> LimitReport | None:
    """Return the report to keep, given one gossiped by another daemon."""
    if (
        known is not None
        and known.limit_per_s == report.limit_per_s
        and known.born_ms == report.born_ms
        and report.heard_at <= known.heard_at + _ECHO_WINDOW_S
    ):
        return known
    gossiped = dataclasses.replace(
        report, sent_at=report.sent_at - _GOSSIP_LATENCY_S
    )
    newest = merge_report(known, gossiped)
    # Each hub on the way would age the report if it passed on the shifted time.
    return report if newest is gossiped else newest


def _is_newer_process(one: LimitReport, other: LimitReport) -> bool:
    if one.born_ms is None or other.born_ms is None:
        return False
    return one.born_ms > other.born_ms
