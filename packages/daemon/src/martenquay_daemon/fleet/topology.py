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

__all__ = ["MAX_MESH_PEERS", "HubElection", "PeerAddress"]

# Up to so many other daemons, each is linked to all.
MAX_MESH_PEERS = 12
# One may be lost or cut off without anybody waiting for a successor.
_HUBS_PER_ZONE = 2
# A hub reports several times a second; one that was told something and does
# not report for so long is passed over.
_REPORT_TIMEOUT_S = 2.0
# Then it is tried again.
_RETRY_AFTER_S = 5.0
_HASH_KEY = "hub"


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


class HubElection:
    """Which daemons are hubs, as far as this one can tell."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self._awaiting_since: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}

    def elect_hubs(self, peers: Iterable[PeerAddress], now: float) -> list[str]:
        """Return the addresses of one zone's hubs, the first choice first.

        One that was passed over is told things again after a while, beside
        the others: it may be gone for good.

        Args:
            peers: The zone's daemons.
            now: In trio's time.
        """
        chosen: list[str] = []
        reporting = 0
        for peer in sorted(peers, key=_sort_key):
            if reporting == _HUBS_PER_ZONE:
                break
            self._check_report(peer.address, now)
            if peer.address not in self._retry_at:
                reporting += 1
                chosen.append(peer.address)
            elif now >= self._retry_at[peer.address]:
                chosen.append(peer.address)
        return chosen

    def is_first_hub(self, chosen: list[str]) -> bool:
        """Tell whether this daemon is the first of the hubs that answer."""
        answering = [a for a in chosen if a not in self._retry_at]
        return bool(answering) and answering[0] == self.own_address

    def note_message_sent(self, address: str, now: float) -> None:
        """Note that a hub was told something and should report."""
        self._awaiting_since.setdefault(address, now)

    def note_report(self, address: str, now: float) -> None:
        """Note that a hub reported."""
        self._heard_at[address] = now
        self._awaiting_since[address] = now
        self._retry_at.pop(address, None)

    def list_reporting(self, now: float) -> list[str]:
        """Return the hubs that reported lately."""
        oldest = now - _REPORT_TIMEOUT_S
        return [
            a for a, heard_at in self._heard_at.items() if heard_at > oldest
        ]

    def _check_report(self, address: str, now: float) -> None:
        """Pass a hub over that was told something and has not reported."""
        awaiting_since = self._awaiting_since.get(address)
        if address == self.own_address or awaiting_since is None:
            return
        if now - awaiting_since >= _REPORT_TIMEOUT_S:
            self._retry_at[address] = now + _RETRY_AFTER_S
            del self._awaiting_since[address]


def _sort_key(peer: PeerAddress) -> tuple[float, int]:
    return -peer.capacity, rendezvous.score_candidate(_HASH_KEY, peer.address)
