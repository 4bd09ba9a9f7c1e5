"""Choose which daemons of a fleet talk to each other.

A small fleet is a full mesh. In a large one a few daemons of each zone are
its hubs: the others tell them of themselves and hear of the fleet from them,
and the hubs of all zones tell each other. So the messages of a daemon do not
grow with the fleet.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["FULL_MESH", "HubBoard", "PeerAddress"]

# Up to so many other daemons, each is linked to all.
FULL_MESH = 12
# One may be lost or cut off without anybody waiting for a successor.
_HUBS = 2
# A hub reports several times a second; one that was told something and does
# not report for so long is passed over.
_PATIENCE_S = 2.0
# Then it is tried again.
_PASSED_OVER_S = 5.0
_KEY = "hub"


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """Where another daemon is.

    Attributes:
        address: Its fleet link.
        zone: Its availability zone; empty if not known.
        capacity: Of its instance's link, in Mbit/s; 0 if not known.
    """

    address: str
    zone: str = ""
    capacity: float = 0.0


class HubBoard:
    """Which daemons are hubs, as far as this one can tell."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self._asked_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._passed_over: dict[str, float] = {}

    def choose(self, peers: Iterable[PeerAddress], now: float) -> list[str]:
        """Return the addresses of one zone's hubs, the first choice first.

        One that was passed over is told things again after a while, beside
        the others: it may be gone for good.

        Args:
            peers: The zone's daemons.
            now: In trio's time.
        """
        chosen: list[str] = []
        trusted = 0
        for peer in sorted(peers, key=_rank):
            if trusted == _HUBS:
                break
            self._check_answer(peer.address, now)
            if peer.address not in self._passed_over:
                trusted += 1
                chosen.append(peer.address)
            elif now >= self._passed_over[peer.address]:
                chosen.append(peer.address)
        return chosen

    def is_first(self, chosen: list[str]) -> bool:
        """Tell whether this daemon is the first of the hubs that answer."""
        answering = [a for a in chosen if a not in self._passed_over]
        return bool(answering) and answering[0] == self.own_address

    def note_asked(self, address: str, now: float) -> None:
        """Note that a hub was told something and should report."""
        self._asked_at.setdefault(address, now)

    def note_heard(self, address: str, now: float) -> None:
        """Note that a hub reported."""
        self._heard_at[address] = now
        self._asked_at[address] = now
        self._passed_over.pop(address, None)

    def list_heard(self, now: float) -> list[str]:
        """Return the hubs that reported lately."""
        oldest = now - _PATIENCE_S
        return [
            a for a, heard_at in self._heard_at.items() if heard_at > oldest
        ]

    def _check_answer(self, address: str, now: float) -> None:
        """Pass a hub over that was told something and has not reported."""
        asked_at = self._asked_at.get(address)
        if address == self.own_address or asked_at is None:
            return
        if now - asked_at >= _PATIENCE_S:
            self._passed_over[address] = now + _PASSED_OVER_S
            del self._asked_at[address]


def _rank(peer: PeerAddress) -> tuple[float, int]:
    return -peer.capacity, rendezvous.score_candidate(_KEY, peer.address)
