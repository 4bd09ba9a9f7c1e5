"""Describe a request to the overload gate."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from martenquay_core.serving import catalog
    from martenquay_daemon.forwarding import exchange

__all__ = ["OverloadRequest", "create_request"]

# A caller that retries has spent at least a round trip, so less may be noise
# of the callers' budgets, which are in milliseconds.
_MIN_RETRY_ELAPSED_S = 0.003


@dataclasses.dataclass(frozen=True)
class OverloadRequest:
    """A request that is about to be sent to its first runner.

    Attributes:
        id: The caller's request id, for the log.
        service: Name of the service.
        route: Name of the route.
        urgency: Priority by which engines order their queue.
        target_s: Target time to the first event in seconds.
        elapsed_s: Seconds since the request arrived.
        remaining_s: Seconds until its deadline.
        is_retrying: Whether its caller has tried before.
        team: The caller's team; None on routes without keys.
        units: Quota units that the request costs.
    """

    id: str
    service: str
    route: str
    urgency: int
    target_s: float
    elapsed_s: float
    remaining_s: float
    is_retrying: bool = False
    team: catalog.Team | None = None
    units: float = 1.0


def create_request(current: exchange.Exchange) -> OverloadRequest:
    """Return the description of a request that is being forwarded."""
    now = trio.current_time()
    return OverloadRequest(
        current.call.id,
        current.service,
        current.route.name,
        current.urgency,
        current.route.target_s,
        now - current.received_at,
        current.deadline - now,
        current.caller_elapsed_s >= _MIN_RETRY_ELAPSED_S,
        current.team,
        current.units,
    )
