"""Fold what answers say of a runner's limit, in whatever order they come.

Answers overtake each other: the head of a long prompt's answer may come after
that of a request which was sent later. So what an answer says of a runner's
limit is weighed by when its request was sent.
"""

from __future__ import annotations

import dataclasses

__all__ = [
    "LimitReport",
    "choose_later_lift",
    "merge_gossiped_report",
    "merge_report",
]

# A report that comes back from the daemons that were gossiped it seems younger by
# the time of its way; taken for a new one it would never grow old.
_ECHO_WINDOW_S = 0.5
# What is gossiped seems younger by the time of its way; it does not count as later
# than what this daemon has heard itself for that.
_GOSSIP_LATENCY_S = 0.25


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """What one answer says of a runner's limit; times are trio's.

    Attributes:
        limit_per_s: Requests a second from all daemons together; None if it
            names no limit.
        born_ms: As in the entry of the process that was asked.
        sent_at: When the request was sent.
        heard_at: When the answer's head came.
    """

    limit_per_s: float | None
    born_ms: int | None
    sent_at: float
    heard_at: float


def merge_report(
    known: LimitReport | None, report: LimitReport
) -> LimitReport | None:
    """Return the newest report of a runner; None if no limit was ever named."""
    if known is not None and _is_newer_process(known, report):
        return known
    if known is None or _is_newer_process(report, known):
        return None if report.limit_per_s is None else report
    if known.limit_per_s is None:
        # An answer that is older than the limit's end does not bring it back.
        is_limited_again = report.limit_per_s is not None
        return (
            report
            if is_limited_again and report.sent_at >= known.sent_at
            else known
        )
    if report.sent_at >= known.heard_at:
        return report
    if report.limit_per_s is None or report.sent_at < known.sent_at:
        # It may have been made before the limit was named.
        return known
    return dataclasses.replace(
        known,
        limit_per_s=min(known.limit_per_s, report.limit_per_s),
        heard_at=report.heard_at,
    )


def choose_later_lift(known: LimitReport, report: LimitReport) -> LimitReport:
    """Return the later of two words that say that there is no limit."""
    if _is_newer_process(known, report) or report.sent_at < known.sent_at:
        return known
    return report


def merge_gossiped_report(
    known: LimitReport | None, report: LimitReport
) -> LimitReport | None:
    """Return the newest report, with one that another daemon has gossiped."""
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
    # It is handed on as it was heard, or each hub would make it older.
    return report if newest is gossiped else newest


def _is_newer_process(one: LimitReport, other: LimitReport) -> bool:
    if one.born_ms is None or other.born_ms is None:
        return False
    return one.born_ms > other.born_ms
