"""Remember the quota balances of other daemons."""

from __future__ import annotations

import dataclasses

import trio

from martenquay_daemon.allowances import sharing

__all__ = ["PeerBalances"]

# Older balances are ignored: their daemon may be unreachable, and units that
# are transferred to it would be lost.
_BALANCE_MAX_AGE_S = 1.2


@dataclasses.dataclass
class _Peer:
    """The last balances of another daemon.

    Attributes:
        last_number: The number of its last message.
        received_at: When that message arrived, in trio's time.
        address: Where it accepts requests for quota.
        balances: Its balances by team.
        transferred: Units transferred to it since, by team.
        redirected: Units that redirected requests took there since, by team.
    """

    last_number: int
    received_at: float
    address: str
    balances: dict[str, sharing.QuotaBalance]
    transferred: dict[str, float] = dataclasses.field(default_factory=dict)
    redirected: dict[str, float] = dataclasses.field(default_factory=dict)


class PeerBalances:
    """The last balances of other daemons, with what has changed since then."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    def apply(
        self,
        member: str,
        number: int,
        balances: dict[str, sharing.QuotaBalance],
        address: str,
    ) -> bool:
        """Record a daemon's balances; return whether they are new."""
        known = self._peers.get(member)
        if known is not None and number <= known.last_number:
            return False
        self._peers[member] = _Peer(
            number, trio.current_time(), address, balances
        )
        return True

    def forget(self, member: str) -> None:
        """Drop the balances of a daemon."""
        self._peers.pop(member, None)

    def forget_all(self) -> None:
        """Drop all balances."""
        self._peers.clear()

    def find_last_number(self, member: str) -> int:
        """Return the number of a known daemon's last message."""
        return self._peers[member].last_number

    def note_transferred(self, member: str, team: str, units: float) -> None:
        """Note that units are transferred to a known daemon."""
        transferred = self._peers[member].transferred
        transferred[team] = transferred.get(team, 0.0) + units

    def list_recent(self, team: str) -> dict[str, sharing.QuotaBalance]:
        """Return recent balances by daemon, with transfers since then."""
        oldest = trio.current_time() - _BALANCE_MAX_AGE_S
        found = {}
        for member, peer in self._peers.items():
            balance = peer.balances.get(team)
            if balance is None or peer.received_at < oldest:
                continue
            transferred = peer.transferred.get(team, 0.0)
            found[member] = sharing.QuotaBalance(
                balance.level + transferred,
                balance.asked,
                max(0.0, balance.needed - transferred),
                balance.overdraft,
            )
        return found

    def has_shortage(self, team: str) -> bool:
        """Return whether requests of a team wait at another daemon."""
        return any(
            peer.balances[team].needed > peer.transferred.get(team, 0.0)
            for peer in self._peers.values()
            if team in peer.balances
        )

    def is_available(self, team: str, units: float) -> bool:
        """Return whether other daemons together hold units."""
        available = 0.0
        for balance in self.list_recent(team).values():
            if balance.needed <= 0:
                available += balance.spendable
        return available >= units

    def choose_holder(self, team: str, units: float) -> str:
        """Return the address of a daemon that can admit a request, or "".

        Redirecting the request is faster than waiting for a transfer, which
        other waiting requests could use up first. The units count as taken
        there until its next balances.
        """
        chosen = ""
        max_level = 0.0
        for member, balance in self.list_recent(team).items():
            peer = self._peers[member]
            level = balance.level - peer.redirected.get(team, 0.0)
            is_enough = level > 0 and level + balance.overdraft >= units
            if peer.address and is_enough and level > max_level:
                chosen, max_level = member, level
        if not chosen:
            return ""
        peer = self._peers[chosen]
        peer.redirected[team] = peer.redirected.get(team, 0.0) + units
        return peer.address

    def find_demand(self, team: str) -> float:
        """Return the units per second that are asked of other daemons."""
        return sum(one.asked for one in self.list_recent(team).values())
