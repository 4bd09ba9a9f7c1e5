"""Track the prompts that wait at a service's engines, by urgency."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.overload import messages

if TYPE_CHECKING:
    from martenquay_daemon.overload.messages import BacklogTable

__all__ = ["Backlog", "BacklogLedger", "WaitingRequest"]

# Reports over hubs are this old at most while they arrive regularly. Under
# overload as much arrives as is prefilled meanwhile, so until then they count
# in full.
_REPORT_AGE_S = 0.6


@dataclasses.dataclass(frozen=True)
class Backlog:
    """Prompts that wait for their first event.

    Attributes:
        requests: Number of requests.
        unread_tokens: Their uncached prompt tokens.
    """

    requests: float = 0.0
    unread_tokens: float = 0.0

    def add(self, other: Backlog) -> Backlog:
        """Return the sum of both."""
        return Backlog(
            self.requests + other.requests,
            self.unread_tokens + other.unread_tokens,
        )


class WaitingRequest:
    """One request of this daemon that waits for its first event."""

    def __init__(
        self, ledger: BacklogLedger, service: str, urgency: int, tokens: int
    ) -> None:
        self._ledger = ledger
        self._key = (service, urgency)
        self._tokens = tokens
        self._has_ended = False

    def end(self) -> None:
        """Record its first event, or its end without one."""
        if not self._has_ended:
            self._has_ended = True
            self._ledger.change(*self._key, -1, -self._tokens)


@dataclasses.dataclass
class _GossipedBacklog:
    received_at: float
    table: BacklogTable


class BacklogLedger:
    """Backlogs by service and urgency: exact for this daemon, else gossiped."""

    def __init__(self) -> None:
        self._own: dict[str, dict[int, Backlog]] = {}
        self._others: dict[str, _GossipedBacklog] = {}

    def begin(self, service: str, urgency: int, tokens: int) -> WaitingRequest:
        """Count a request until its `end` is called.

        Args:
            service: Service of the runner.
            urgency: Priority by which engines order their queue.
            tokens: Uncached prompt tokens.
        """
        self.change(service, urgency, 1, tokens)
        return WaitingRequest(self, service, urgency, tokens)

    def change(
        self, service: str, urgency: int, requests: int, tokens: int
    ) -> None:
        """Change this daemon's own backlog; drop it when it is empty."""
        by_urgency = self._own.setdefault(service, {})
        known = by_urgency.get(urgency, Backlog())
        changed = known.add(Backlog(requests, tokens))
        if changed.requests > 0:
            by_urgency[urgency] = changed
        else:
            by_urgency.pop(urgency, None)
        if not by_urgency:
            del self._own[service]

    def list_own(self) -> BacklogTable:
        """Return this daemon's own backlog, as it is gossiped."""
        return {
            service: {
                urgency: messages.BacklogEntry(
                    int(found.requests), int(found.unread_tokens)
                )
                for urgency, found in by_urgency.items()
            }
            for service, by_urgency in self._own.items()
        }

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
            read_tokens_per_s: Prefill speed of all its runners together, at
                which overdue reports of other daemons are reduced, the most
                urgent first.
        """
        total = dict(self._own.get(service, {}))
        now = trio.current_time()
        for gossiped in self._others.values():
            entries = gossiped.table.get(service, {})
            overdue_s = max(0.0, now - gossiped.received_at - _REPORT_AGE_S)
            read = read_tokens_per_s * overdue_s
            for urgency in sorted(entries):
                entry = entries[urgency]
                unread = max(0.0, entry.unread_tokens - read)
                read = max(0.0, read - entry.unread_tokens)
                left = unread / max(1, entry.unread_tokens)
                found = Backlog(entry.requests * left, unread)
                total[urgency] = total.get(urgency, Backlog()).add(found)
        return total
