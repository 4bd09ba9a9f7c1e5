"""Keep what runs now, where and for whom, and why it was put there."""

from __future__ import annotations

import collections
import dataclasses
import time

__all__ = ["RoutingDecision", "RequestRegistry", "RunningRequest"]

_MAX_DECISIONS = 2000


@dataclasses.dataclass
class RunningRequest:
    """One request in progress at this daemon.

    Attributes:
        request_id: The request.
        team: For whom it runs.
        route: What was asked for.
        urgency: How long it may wait.
        runner: Where it runs; empty while it waits.
        zone: The runner's availability zone.
        tokens: Tokens passed on so far.
        started_at: When it came, in seconds since the epoch.
    """

    request_id: str
    team: str
    route: str
    urgency: str
    runner: str = ""
    zone: str = ""
    tokens: int = 0
    started_at: float = dataclasses.field(default_factory=time.time)


@dataclasses.dataclass(frozen=True)
class RoutingDecision:
    """One decision on a request.

    Attributes:
        request_id: The request.
        at: When, in seconds since the epoch.
        runner: The runner chosen; empty if none.
        reason: Why.
    """

    request_id: str
    at: float
    runner: str
    reason: str


class RequestRegistry:
    """The requests in progress and the latest decisions."""

    def __init__(self) -> None:
        self._running: dict[str, RunningRequest] = {}
        self._decisions: collections.deque[RoutingDecision] = collections.deque(
            maxlen=_MAX_DECISIONS
        )

    def open(self, request: RunningRequest) -> None:
        """Note a request that has come."""
        self._running[request.request_id] = request

    def close(self, request_id: str) -> None:
        """Note that a request has its final answer."""
        self._running.pop(request_id, None)

    def record_placement(
        self, request_id: str, runner: str, zone: str, reason: str
    ) -> None:
        """Note where a request goes and why."""
        running = self._running.get(request_id)
        if running is not None:
            running.runner = runner
            running.zone = zone
        self._decisions.append(
            RoutingDecision(request_id, time.time(), runner, reason)
        )

    def set_token_count(self, request_id: str, tokens: int) -> None:
        """Note how many tokens have been passed on."""
        running = self._running.get(request_id)
        if running is not None:
            running.tokens = tokens

    def list_running(self) -> list[RunningRequest]:
        """Return the requests in progress."""
        return list(self._running.values())

    def list_decisions(self, request_id: str) -> list[RoutingDecision]:
        """Return the decisions on a request that are still kept."""
        return [d for d in self._decisions if d.request_id == request_id]
