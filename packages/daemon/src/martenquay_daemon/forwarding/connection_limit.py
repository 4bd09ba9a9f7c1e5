"""Divide descriptors, and choose which connections of callers to close."""

from __future__ import annotations

import dataclasses
import resource
from typing import TYPE_CHECKING, Protocol, TypeVar

from martenquay_daemon.limits import caller_budget

if TYPE_CHECKING:
    from collections.abc import Collection

    from martenquay_core.settings import gateway

__all__ = [
    "ClosableConnection",
    "ListenerRoom",
    "choose_connections",
    "create_room",
    "find_max_connections",
    "find_max_tunnels",
]

# A connection with its task, parsers and one read in each of its buffers.
_CONNECTION_BYTES = 32_768
# For the process itself, the platform and other daemons. Without connections a
# process has 20 open.
_OWN_DESCRIPTOR_FRACTION = 0.125
_MIN_OWN_DESCRIPTORS = 32
_TUNNEL_DESCRIPTOR_FRACTION = 0.25
# A tunnel has two ends; a caller's request needs a second descriptor for the
# connection to its runner.
_DESCRIPTORS_PER_CONNECTION = 2
_MAX_TUNNELS = 500


class ClosableConnection(Protocol):
    """A connection that may be closed in favor of others."""

    @property
    def waits_since(self) -> float | None:
        """When it began to wait for its caller, on trio's clock.

        None while a request is being answered.
        """

    @property
    def is_resting(self) -> bool:
        """Whether it has served requests and waits for the next one."""


_Connection = TypeVar("_Connection", bound=ClosableConnection)


@dataclasses.dataclass(frozen=True)
class ListenerRoom:
    """What all connections of a listener may take together.

    Attributes:
        budget: Bounds what they hold of requests.
        max_connections: Limit of their number.
    """

    budget: caller_budget.CallerBudget
    max_connections: int


def create_room(resources: gateway.ResourceSettings) -> ListenerRoom:
    """Return the room for callers of an instance."""
    return ListenerRoom(
        caller_budget.create_budget(
            resources.memory_mb, caller_budget.REQUEST_SHARE
        ),
        find_max_connections(resources),
    )


def find_max_connections(resources: gateway.ResourceSettings) -> int:
    """Return how many connections callers may have at the same time."""
    memory_bytes = caller_budget.find_caller_bytes(resources.memory_mb)
    most = int(memory_bytes / _CONNECTION_BYTES)
    descriptors = _find_descriptors(resources)
    if descriptors is None:
        return most
    own = max(_MIN_OWN_DESCRIPTORS, descriptors * _OWN_DESCRIPTOR_FRACTION)
    share = descriptors - own - descriptors * _TUNNEL_DESCRIPTOR_FRACTION
    return max(1, min(most, int(share / _DESCRIPTORS_PER_CONNECTION)))


def find_max_tunnels(resources: gateway.ResourceSettings) -> int:
    """Return how many tunnels other daemons may have at the same time."""
    descriptors = _find_descriptors(resources)
    if descriptors is None:
        return _MAX_TUNNELS
    share = descriptors * _TUNNEL_DESCRIPTOR_FRACTION
    return min(_MAX_TUNNELS, int(share / _DESCRIPTORS_PER_CONNECTION))


def choose_connections(
    connections: Collection[_Connection], count: int
) -> list[_Connection]:
    """Return the connections to close first, at most `count`.

    First those whose caller leaves a request or an answer unfinished or has
    sent nothing yet, then those that rest between requests; of each the ones
    that have waited for longest.
    """
    waiting = [one for one in connections if one.waits_since is not None]
    waiting.sort(key=lambda one: (one.is_resting, one.waits_since))
    return waiting[:count]


def _find_descriptors(resources: gateway.ResourceSettings) -> int | None:
    """Return the limit of open descriptors; None without one."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return resources.descriptors or None
    return min(allowed, resources.descriptors or allowed)
