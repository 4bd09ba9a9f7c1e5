"""Requests in progress and recent routing decisions, for operators."""

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
        request_id: ID of the request.
        team: Team that sent it.
        route: Name of the requested route.
        urgency: Urgency class from a rule for the team, else that of the
            route.
        runner: Runner that serves it; empty while it waits.
        zone: Availability zone of the runner.
        tokens: Tokens forwarded to the caller so far.
        started_at: Arrival time, in seconds since the epoch.
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
    """Why a request was sent to a runner.

    Attributes:
        request_id: ID of the request.
        at: Time of the decision, in seconds since the epoch.
        runner: Name of the chosen runner.
        reason: Why this runner was chosen.
    """

    request_id: str
    at: float
    runner: str
    reason: str


class RequestRegistry:
    """Holds the requests in progress and the latest routing decisions."""

    def __init__(self) -> None:
        self._running: dict[str, RunningRequest] = {}
        self._decisions: collections.deque[RoutingDecision] = collections.deque(
            maxlen=_MAX_DECISIONS
        )

    def open(self, request: RunningRequest) -> None:
        """Add a request."""
        self._running[request.request_id] = request

    def close(self, request_id: str) -> None:
        """Remove a request that has ended, with or without an answer."""
        self._running.pop(request_id, None)

    def record_placement(
        self, request_id: str, runner: str, zone: str, reason: str
    ) -> None:
        """Record which runner a request is sent to and why."""
        running = self._running.get(request_id)
        if running is not None:
            running.runner = runner
            running.zone = zone
        self._decisions.append(
            RoutingDecision(request_id, time.time(), runner, reason)
        )

    def set_token_count(self, request_id: str, tokens: int) -> None:
        """Set how many tokens have been forwarded to the caller."""
        running = self._running.get(request_id)
        if running is not None:
            running.tokens = tokens

    def list_running(self) -> list[RunningRequest]:
        """Return the requests in progress."""
        return list(self._running.values())

    def list_decisions(self, request_id: str) -> list[RoutingDecision]:
        """Return the latest decisions on a request, oldest first."""
        return [d for d in self._decisions if d.request_id == request_id]
