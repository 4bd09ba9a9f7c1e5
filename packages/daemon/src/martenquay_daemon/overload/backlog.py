"""Track the prompts that wait at a service's engines, by urgency."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.overload import messages

if TYPE_CHECKING:
    from martenquay_daemon.overload.messages import BacklogTable

__all__ = ["Backlog", "BacklogLedger", "WaitingRequest"]

# Age of a report's figures when it arrives over hubs, and until when the next
# report arrives if none is lost.
_MEAN_GOSSIP_AGE_S = 0.25
_REPORT_AGE_S = 0.6
# Time after which overdue reports no longer count as demand; several reports
# were lost by then.
_FORGET_RATE_S = 2.0
# Several requests of a kind arrive at one daemon of a large fleet in this time,
# and the sums over the fleet follow a change within two reports' age.
_RATE_DECAY_TIME_S = 2.0


@dataclasses.dataclass(frozen=True)
class Backlog:
    """Requests of one urgency at the engines of a service.

    Attributes:
        requests: Requests that wait for their first event.
        unread_tokens: Their uncached prompt tokens.
        tokens_per_s: Uncached prompt tokens a second that were sent recently.
    """

    requests: float = 0.0
    unread_tokens: float = 0.0
    tokens_per_s: float = 0.0

    def add(self, other: Backlog) -> Backlog:
        """Return the sum of both."""
        return Backlog(
            self.requests + other.requests,
            self.unread_tokens + other.unread_tokens,
            self.tokens_per_s + other.tokens_per_s,
        )


@dataclasses.dataclass
class _OwnBacklog:
    """Requests of this daemon; `tokens_per_s` decays from `updated_at` on."""

    updated_at: float
    requests: int = 0
    unread_tokens: int = 0
    tokens_per_s: float = 0.0

    def decay(self) -> None:
        now = trio.current_time()
        elapsed_s = now - self.updated_at
        self.tokens_per_s *= math.exp(-elapsed_s / _RATE_DECAY_TIME_S)
        self.updated_at = now


class WaitingRequest:
    """One request of this daemon that waits for its first event."""

    def __init__(self, own: _OwnBacklog, tokens: int) -> None:
        self._own = own
        self._tokens = tokens
        self._has_ended = False

    def end(self) -> None:
        """Record its first event, or its end without one."""
        if not self._has_ended:
            self._has_ended = True
            self._own.requests -= 1
            self._own.unread_tokens -= self._tokens


@dataclasses.dataclass
class _GossipedBacklog:
    received_at: float
    table: BacklogTable


class BacklogLedger:
    """Backlogs by service and urgency: exact for this daemon, else gossiped."""

    def __init__(self, *, is_gossiped: bool = True) -> None:
        """Create an empty ledger.

        Args:
            is_gossiped: Whether other daemons need this daemon's backlog.
        """
        self._is_gossiped = is_gossiped
        self._own: dict[str, dict[int, _OwnBacklog]] = {}
        self._others: dict[str, _GossipedBacklog] = {}

    def begin(self, service: str, urgency: int, tokens: int) -> WaitingRequest:
        """Count a request until its `end` is called.

        Args:
            service: Service of the runner.
            urgency: Priority by which engines order their queue.
            tokens: Uncached prompt tokens.
        """
        own = self._own.setdefault(service, {}).setdefault(
            urgency, _OwnBacklog(trio.current_time())
        )
        own.decay()
        own.requests += 1
        own.unread_tokens += tokens
        own.tokens_per_s += tokens / _RATE_DECAY_TIME_S
        return WaitingRequest(own, tokens)

    def list_own(self) -> BacklogTable:
        """Return this daemon's own backlog, as it is gossiped."""
        table: BacklogTable = {}
        if not self._is_gossiped:
            return table
        for service, by_urgency in self._own.items():
            for urgency, own in by_urgency.items():
                own.decay()
                entry = messages.BacklogEntry(
                    own.requests, own.unread_tokens, round(own.tokens_per_s)
                )
                if entry.requests > 0 or entry.tokens_per_s > 0:
                    table.setdefault(service, {})[urgency] = entry
        return table

    def replace_source(self, source: str, table: BacklogTable) -> None:
        """Replace the backlog gossiped by a source; empty removes it."""
        if table:
            now = trio.current_time()
            self._others[source] = _GossipedBacklog(now, table)
        else:
            self._others.pop(source, None)

    def forget_sources(self) -> None:
        """Drop all gossiped backlogs."""
        self._others.clear()

    def find(
        self, service: str, read_tokens_per_s: float
    ) -> dict[int, Backlog]:
        """Return the backlog of all daemons by urgency.

        Args:
            service: Name of the service.
            read_tokens_per_s: Prefill speed of all its runners together.
                Reports of other daemons are reduced, the most urgent first,
                by what was prefilled since then beyond what was sent; once
                they are overdue, by all that was prefilled.
        """
        total: dict[int, Backlog] = {}
        for urgency, own in self._own.get(service, {}).items():
            own.decay()
            total[urgency] = Backlog(
                own.requests, own.unread_tokens, own.tokens_per_s
            )
        now = trio.current_time()
        others = [
            (now - one.received_at, one.table.get(service, {}))
            for one in self._others.values()
        ]
        sent_per_s = sum(found.tokens_per_s for found in total.values())
        sent_per_s += sum(
            entry.tokens_per_s
            for _, entries in others
            for entry in entries.values()
        )
        surplus_per_s = max(0.0, read_tokens_per_s - sent_per_s)
        for age_s, entries in others:
            overdue_s = max(0.0, age_s - _REPORT_AGE_S)
            fresh_s = age_s - overdue_s + _MEAN_GOSSIP_AGE_S
            read = surplus_per_s * fresh_s + read_tokens_per_s * overdue_s
            rate_left = max(0.0, 1.0 - overdue_s / _FORGET_RATE_S)
            for urgency in sorted(entries):
                entry = entries[urgency]
                found = _reduce(entry, read, rate_left)
                read = max(0.0, read - entry.unread_tokens)
                total[urgency] = total.get(urgency, Backlog()).add(found)
        return total


def _reduce(
    entry: messages.BacklogEntry, read: float, rate_left: float
) -> Backlog:
    """Return what is left of a gossiped entry after some tokens were read."""
    unread = max(0.0, entry.unread_tokens - read)
    left = unread / max(1, entry.unread_tokens)
    return Backlog(
        entry.requests * left, unread, entry.tokens_per_s * rate_left
    )
