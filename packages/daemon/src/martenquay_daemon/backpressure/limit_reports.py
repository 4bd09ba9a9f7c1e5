"""Fold what answers say of a runner's limit, in whatever order they come.

Answers overtake each other: the head of a long prompt's answer may come after
that of a request which was sent later. So what an answer says of a runner's
limit is weighed by when its request was sent.
"""

from __future__ import annotations

import dataclasses

__all__ = [
    "LimitReport",
    "choose_later_end",
    "merge_gossiped_report",
    "merge_report",
]

# A word that comes back from the daemons that were told it seems younger by
# the time of its way; taken for a new one it would never grow old.
_ECHO_S = 0.5
# What is told seems younger by the time of its way; it does not count as later
# than what this daemon has heard itself for that.
_WAY_S = 0.25


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
    known: LimitReport | None, word: LimitReport
) -> LimitReport | None:
    """Return the newest word of a runner; None if no limit was ever named."""
    if known is not None and _is_later_process(known, word):
        return known
    if known is None or _is_later_process(word, known):
        return None if word.limit_per_s is None else word
    if known.limit_per_s is None:
        # An answer that is older than the limit's end does not bring it back.
        is_named_again = word.limit_per_s is not None
        return (
            word if is_named_again and word.sent_at >= known.sent_at else known
        )
    if word.sent_at >= known.heard_at:
        return word
    if word.limit_per_s is None or word.sent_at < known.sent_at:
        # It may have been made before the limit was named.
        return known
    return dataclasses.replace(
        known,
        limit_per_s=min(known.limit_per_s, word.limit_per_s),
        heard_at=word.heard_at,
    )


def choose_later_end(known: LimitReport, word: LimitReport) -> LimitReport:
    """Return the later of two words that say that there is no limit."""
    if _is_later_process(known, word) or word.sent_at < known.sent_at:
        return known
    return word


def merge_gossiped_report(
    known: LimitReport | None, word: LimitReport
) -> LimitReport | None:
    """Return the newest word, with one that another daemon has told."""
    if (
        known is not None
        and known.limit_per_s == word.limit_per_s
        and known.born_ms == word.born_ms
        and word.heard_at <= known.heard_at + _ECHO_S
    ):
        return known
    told = dataclasses.replace(word, sent_at=word.sent_at - _WAY_S)
    newest = merge_report(known, told)
    # It is handed on as it was heard, or each hub would make it older.
    return word if newest is told else newest


def _is_later_process(one: LimitReport, other: LimitReport) -> bool:
    if one.born_ms is None or other.born_ms is None:
        return False
    return one.born_ms > other.born_ms
