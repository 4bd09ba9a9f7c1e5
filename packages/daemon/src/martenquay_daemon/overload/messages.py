"""Define the gossiped backlog of a service's engines, by urgency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["BacklogEntry", "BacklogTable", "add_backlog"]


class BacklogEntry(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one urgency at the engines of a service.

    Attributes:
        requests: Requests that wait for their first event.
        unread_tokens: Their uncached prompt tokens.
        tokens_per_s: Uncached prompt tokens a second that were sent to the
            engines recently.
    """

    requests: int
    unread_tokens: int
    tokens_per_s: int


# By service and urgency.
BacklogTable = dict[str, dict[int, BacklogEntry]]


def add_backlog(
    total: BacklogTable,
    backlog: Mapping[str, Mapping[int, BacklogEntry]],
    sign: int,
) -> None:
    """Add a backlog to a total, or subtract it with a sign of -1.

    The dictionaries by urgency are replaced and not changed, so a shallow copy
    of the total is enough to keep the original.
    """
    for service, entries in backlog.items():
        sums = dict(total.get(service, {}))
        for urgency, entry in entries.items():
            known = sums.get(urgency, BacklogEntry(0, 0, 0))
            requests = known.requests + sign * entry.requests
            unread = known.unread_tokens + sign * entry.unread_tokens
            rate = known.tokens_per_s + sign * entry.tokens_per_s
            if requests <= 0 and unread <= 0 and rate <= 0:
                sums.pop(urgency, None)
            else:
                sums[urgency] = BacklogEntry(requests, unread, rate)
        if sums:
            total[service] = sums
        else:
            total.pop(service, None)
