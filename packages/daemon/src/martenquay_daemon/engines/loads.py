"""Track the load of each runner from this daemon and from gossip."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

    from martenquay_daemon.overload import backlog

__all__ = ["LoadLedger", "RunnerLoad", "Running"]

# Half of the digest interval plus the delay over a hub; without it, prompts
# processed meanwhile would count as load.
_MEAN_GOSSIP_AGE_S = 0.25


@dataclasses.dataclass
class RunnerLoad:
    """Load of one or more daemons at a runner.

    Attributes:
        requests: Requests in flight.
        unread_tokens: Uncached prompt tokens of requests without a first event.
    """

    requests: int = 0
    unread_tokens: int = 0


class Running:
    """One request in flight at a runner."""

    def __init__(
        self,
        load: RunnerLoad,
        tokens: int,
        waiting: backlog.WaitingRequest | None = None,
    ) -> None:
        self._load = load
        self._tokens = tokens
        self._waiting = waiting

    def note_first_event(self) -> None:
        """Record that the runner has processed the prompt."""
        self._load.unread_tokens -= self._tokens
        self._tokens = 0
        if self._waiting is not None:
            self._waiting.end()


@dataclasses.dataclass
class _GossipedLoads:
    """Loads gossiped by one source, by runner id, and when they arrived."""

    received_at: float
    loads: dict[str, RunnerLoad]


class LoadLedger:
    """Loads by runner id: exact for this daemon, last gossiped for others."""

    def __init__(self) -> None:
        self._own: dict[str, RunnerLoad] = {}
        self._others: dict[str, _GossipedLoads] = {}

    @contextlib.contextmanager
    def count(
        self,
        runner_id: str,
        tokens: int,
        waiting: backlog.WaitingRequest | None = None,
    ) -> Iterator[Running]:
        """Count a request at a runner while the context is open.

        Args:
            runner_id: Id of the runner.
            tokens: Uncached prompt tokens of the request.
            waiting: The request in its service's backlog, which ends with its
                first event.
        """
        load = self._own.setdefault(runner_id, RunnerLoad())
        load.requests += 1
        load.unread_tokens += tokens
        running = Running(load, tokens, waiting)
        try:
            yield running
        finally:
            running.note_first_event()
            load.requests -= 1
            if load.requests == 0 and self._own.get(runner_id) is load:
                del self._own[runner_id]

    def forget_runner(self, runner_id: str) -> None:
        """Drop a runner's load, as another process has replaced it.

        Requests to the former process may still be open here, but are no load
        of the new one.
        """
        self._own.pop(runner_id, None)
        for gossiped in self._others.values():
            gossiped.loads.pop(runner_id, None)

    def find(
        self, runner_id: str, read_tokens_per_s: float = 0.0
    ) -> RunnerLoad:
        """Return the estimated load of all daemons at a runner.

        Args:
            runner_id: Id of the runner.
            read_tokens_per_s: Prefill speed, by which gossiped unread tokens
                are reduced for the time since they were reported. In a large
                fleet, prefill often takes less time than gossip.
        """
        now = trio.current_time()
        total = RunnerLoad()
        token_ages = 0.0
        for gossiped in self._others.values():
            load = gossiped.loads.get(runner_id)
            if load is not None:
                total.requests += load.requests
                total.unread_tokens += load.unread_tokens
                token_ages += load.unread_tokens * (now - gossiped.received_at)
        if total.unread_tokens > 0:
            mean_age_s = token_ages / total.unread_tokens + _MEAN_GOSSIP_AGE_S
            read = int(read_tokens_per_s * mean_age_s)
            total.unread_tokens = max(0, total.unread_tokens - read)
        own_load = self._own.get(runner_id)
        if own_load is not None:
            total.requests += own_load.requests
            total.unread_tokens += own_load.unread_tokens
        return total

    def sum_requests(self) -> dict[str, int]:
        """Return the requests in flight of all daemons, by runner id."""
        total = {one: load.requests for one, load in self._own.items()}
        for gossiped in self._others.values():
            for runner_id, load in gossiped.loads.items():
                total[runner_id] = total.get(runner_id, 0) + load.requests
        return total

    def list_own(self) -> dict[str, RunnerLoad]:
        """Return this daemon's own loads by runner id."""
        return self._own

    def replace_source(self, source: str, loads: dict[str, RunnerLoad]) -> None:
        """Replace the loads gossiped by a source; empty removes it."""
        if loads:
            self._others[source] = _GossipedLoads(trio.current_time(), loads)
        else:
            self._others.pop(source, None)

    def forget_sources(self) -> None:
        """Drop all gossiped loads."""
        self._others.clear()
