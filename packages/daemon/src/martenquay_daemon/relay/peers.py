"""Choose the daemons through which runners are reached."""

from __future__ import annotations

import dataclasses
import heapq
import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    import random

__all__ = ["RelayPeers"]

# A peer that could not help is asked after the others for this long; it
# doubles while it goes on, so that daemons that are gone cost little.
_FIRST_AVOID_S = 1.0
_MAX_AVOID_S = 30.0


@dataclasses.dataclass
class _Peer:
    address: str
    capacity: float
    avoided_until: float = -math.inf
    next_avoid_s: float = _FIRST_AVOID_S


class RelayPeers:
    """The other daemons that announced a relay."""

    def __init__(self, instance: str, rng: random.Random) -> None:
        """Create an empty list.

        Args:
            instance: The own instance, which is no peer.
            rng: Spreads connections over the peers.
        """
        self._instance = instance
        self._rng = rng
        self._peers: dict[str, _Peer] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no other daemon has announced a relay."""
        return not self._peers

    def add(self, instance: str, address: str, capacity: float) -> None:
        """Add or replace the relay of an instance.

        Args:
            instance: The instance that announced it.
            address: Host and port; empty if the instance has none.
            capacity: Bandwidth of the instance's link in Mbit/s; 0 if
                unknown.
        """
        known = self._peers.get(instance)
        if known is not None and known.address == address:
            known.capacity = capacity
        elif not address:
            self.remove(instance)
        elif instance != self._instance:
            self._peers[instance] = _Peer(address, capacity)

    def remove(self, instance: str) -> None:
        """Remove an instance's relay."""
        self._peers.pop(instance, None)

    def choose(self, count: int) -> list[str]:
        """Return addresses of relays in the order in which to ask them.

        Chosen at random by link bandwidth; those that could not help lately
        come last.
        """
        now = trio.current_time()
        ranked = heapq.nsmallest(
            count,
            self._peers.values(),
            key=lambda peer: (peer.avoided_until > now, self._draw(peer)),
        )
        return [peer.address for peer in ranked]

    def note_success(self, address: str) -> None:
        """Record that a relay reached a runner."""
        for peer in self._list_at(address):
            peer.avoided_until = -math.inf
            peer.next_avoid_s = _FIRST_AVOID_S

    def note_failure(self, address: str) -> None:
        """Record that a relay was not reached or reached no runner."""
        now = trio.current_time()
        for peer in self._list_at(address):
            # Attempts in progress at once count as one failure.
            if now >= peer.avoided_until:
                peer.avoided_until = now + peer.next_avoid_s
                peer.next_avoid_s = min(2 * peer.next_avoid_s, _MAX_AVOID_S)

    def _list_at(self, address: str) -> list[_Peer]:
        return [p for p in self._peers.values() if p.address == address]

    def _draw(self, peer: _Peer) -> float:
        """Return a sort key that draws peers in proportion to bandwidth."""
        return self._rng.expovariate(max(peer.capacity, 1.0))
