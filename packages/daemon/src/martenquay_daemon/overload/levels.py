"""Compute how overloaded a service is at an urgency, relative to targets."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.overload import backlog

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Capacity", "find_level", "find_wait_s"]

# Least share of the prefill speed that is assumed to be left to less urgent
# work. With 0.1, rates measured too high for a moment rejected nearly all of
# the least urgent requests.
_MIN_SPEED_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class Capacity:
    """What a service's runners do together.

    Attributes:
        runners: Number of runners.
        slots: Requests that they run concurrently.
        requests: Requests of all daemons that are queued or running there.
        read_tokens_per_s: Prefill speed of all runners together.
        hold_s: Seconds that a request occupies a slot after its first event.
    """

    runners: int
    slots: int
    requests: int
    read_tokens_per_s: float
    hold_s: float


def find_wait_s(
    capacity: Capacity,
    backlogs: Mapping[int, backlog.Backlog],
    urgency: int,
) -> float:
    """Return the time until the work ahead of a new request has started.

    Args:
        capacity: What the service's runners do.
        backlogs: The waiting work by urgency.
        urgency: Urgency of the request; engines start less urgent work later.

    Returns:
        Seconds: the longer of the waits for prefill and for a slot.
    """
    ahead = backlog.Backlog()
    for other, found in backlogs.items():
        if other <= urgency:
            ahead = ahead.add(found)
    if ahead.requests <= 0:
        return 0.0
    # Tokens are counted until the first event, so each runner has on average
    # prefilled half of the prompt that it is working on.
    in_progress = min(ahead.requests, float(capacity.runners))
    half_read = ahead.unread_tokens / ahead.requests * in_progress / 2
    # More urgent work that arrives meanwhile goes first as well.
    speed = max(
        capacity.read_tokens_per_s
        - sum(
            found.tokens_per_s
            for other, found in backlogs.items()
            if other < urgency
        ),
        _MIN_SPEED_SHARE * capacity.read_tokens_per_s,
    )
    prefill_s = (ahead.unread_tokens - half_read) / speed
    queued = min(ahead.requests, max(0, capacity.requests - capacity.slots))
    slot_s = queued * capacity.hold_s / max(1, capacity.slots)
    return max(prefill_s, slot_s)


def find_level(
    capacity: Capacity,
    backlogs: Mapping[int, backlog.Backlog],
    urgency: int,
    targets: Mapping[int, float],
    slack_s: float,
) -> float:
    """Return the overload level of a service for a request.

    It is at least that of each more urgent kind. Otherwise a kind with a long
    target would be admitted while a more urgent one with a short target is
    rejected.

    Args:
        capacity: What the service's runners do.
        backlogs: The waiting work by urgency.
        urgency: Urgency of the request.
        targets: Shortest target in seconds of each urgency's routes.
        slack_s: Seconds that the request itself may wait.

    Returns:
        The wait as a share of the time that the request may wait: 1 if it is
        just in time.
    """
    level = find_wait_s(capacity, backlogs, urgency) / slack_s
    for other, target_s in targets.items():
        if other < urgency and target_s > 0:
            wait_s = find_wait_s(capacity, backlogs, other)
            level = max(level, wait_s / target_s)
    return level
