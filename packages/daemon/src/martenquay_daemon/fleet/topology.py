"""Elect the hubs through which the daemons of a large fleet gossip.

A small fleet is a full mesh. In a large one, daemons send digests to the hubs
of their zone and receive reports on the fleet, and the hubs of all zones
exchange summaries. So a daemon's traffic does not grow with the fleet.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["MAX_MESH_PEERS", "HubElection", "PeerAddress"]

# Above this number of other daemons, the fleet gossips through hubs.
MAX_MESH_PEERS = 12
# When one of two hubs is lost, the other one reports to all daemons of the zone
# until the next election.
_HUBS_PER_ZONE = 2
# A hub that was sent messages and does not report for this long is not elected.
_REPORT_TIMEOUT_S = 2.0
# Time until an excluded hub is sent messages again, beside the elected hubs.
_RETRY_AFTER_S = 5.0
_HASH_KEY = "hub"


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """Address of a daemon and what its election as a hub depends on.

    Attributes:
        address: Address of its fleet link.
        zone: Its availability zone; empty if unknown.
        capacity: Bandwidth of its instance's link in Mbit/s; 0 if unknown.
    """

    address: str
    zone: str = ""
    capacity: float = 0.0


class HubElection:
    """Elects hubs by link bandwidth, without those that do not report.

    Attributes:
        own_address: Address of this daemon's fleet link.
    """

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self._awaiting_since: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}

    def elect_hubs(self, peers: Iterable[PeerAddress], now: float) -> list[str]:
        """Return the addresses of one zone's hubs, by preference.

        A hub that did not report is added again after a while, but does not
        count towards the number of hubs: it may be gone for good.

        Args:
            peers: The zone's daemons.
            now: The current time, in trio's time.
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
        """Return whether this daemon is the first of the hubs that report."""
        answering = [a for a in chosen if a not in self._retry_at]
        return bool(answering) and answering[0] == self.own_address

    def note_message_sent(self, address: str, now: float) -> None:
        """Note that a message was sent to a hub, which should report."""
        self._awaiting_since.setdefault(address, now)

    def note_report(self, address: str, now: float) -> None:
        """Note that a hub reported."""
        self._heard_at[address] = now
        self._awaiting_since[address] = now
        self._retry_at.pop(address, None)

    def list_reporting(self, now: float) -> list[str]:
        """Return the addresses of the hubs that reported recently."""
        oldest = now - _REPORT_TIMEOUT_S
        return [
            a for a, heard_at in self._heard_at.items() if heard_at > oldest
        ]

    def _check_report(self, address: str, now: float) -> None:
        """Exclude a hub from elections if it has not reported in time."""
        awaiting_since = self._awaiting_since.get(address)
        if address == self.own_address or awaiting_since is None:
            return
        if now - awaiting_since >= _REPORT_TIMEOUT_S:
            self._retry_at[address] = now + _RETRY_AFTER_S
            del self._awaiting_since[address]


def _sort_key(peer: PeerAddress) -> tuple[float, int]:
    return -peer.capacity, rendezvous.score_candidate(_HASH_KEY, peer.address)
