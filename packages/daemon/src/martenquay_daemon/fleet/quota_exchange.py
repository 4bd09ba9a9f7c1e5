"""Exchange quota balances, transfers and rate delegations between daemons."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.allowances import (
    quota_ledger,
    refill_shares,
    sharing,
    terms,
)
from martenquay_daemon.fleet import messages, quota_client, send_times

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.allowances import gate
    from martenquay_daemon.discovery import catalog_store, keyed_follower
    from martenquay_daemon.fleet import links, roster

__all__ = ["QuotaExchange"]

_Verdict = messages.QuotaVerdict
_MS = 1000
# Below 1, as some daemons of a zone may be down or delegate to another hub.
_MIN_ZONE_FRACTION = 0.8
# Within this time of a common start or of the loss of a hub, live daemons have
# delegated their shares.
_DELEGATED_WITHIN_S = 2.5


class QuotaExchange:
    """Sends and receives quota balances, transfers and delegations."""

    def __init__(
        self,
        member: str,
        zone: str,
        store: catalog_store.CatalogStore,
        ledger: quota_ledger.QuotaLedger,
        decider: gate.AllowanceGate,
        listed: roster.Roster,
        members: keyed_follower.KeyedFollower,
        fleet_links: links.FleetLinks,
    ) -> None:
        """Create the exchange.

        Args:
            member: Member id of this daemon.
            zone: Its availability zone.
            store: The catalog, which lists the teams.
            ledger: The teams' quota here.
            decider: Waits for transfers on behalf of requests.
            listed: The instances that have announced themselves.
            members: Follows the topic of announcements.
            fleet_links: Links to other daemons.
        """
        self._member = member
        self._zone = zone
        self._store = store
        self._ledger = ledger
        self._gate = decider
        self._roster = listed
        self._members = members
        self._links = fleet_links
        self._number = 0
        self._update_times = send_times.SendTimes()
        self._members_end = 0
        self._lacking_since = math.inf

    def create_update(self) -> messages.QuotaUpdate:
        """Return the next update for other daemons that hold quota."""
        self._number += 1
        self._update_times.note(self._number)
        teams = self._store.table.catalog.teams
        self._ledger.refill(teams)
        transfers = self._ledger.create_transfers(teams)
        return messages.QuotaUpdate(
            self._member,
            self._links.address,
            self._number,
            self._list_balances(),
            {
                member: _encode_transfer(transfer)
                for member, transfer in transfers.items()
            },
        )

    def apply_update(self, update: messages.QuotaUpdate) -> None:
        """Process another daemon's balances and accept its transfers."""
        balances = {
            team: sharing.QuotaBalance(
                entry.level, entry.asked, entry.needed, entry.overdraft
            )
            for team, entry in update.balances.items()
        }
        self._ledger.apply_balances(
            update.member, update.number, balances, update.address
        )
        entry = update.transfers.get(self._member)
        if entry is None:
            return
        sent_at = self._update_times.find(entry.heard)
        if sent_at is not None:
            self._ledger.accept_transfer(_decode_transfer(entry), sent_at)

    def has_share_to_delegate(self) -> bool:
        """Return whether a rate share is not delegated to a hub yet."""
        return (
            self._links.find_quota_hub() is not None
            and self._ledger.shares.find_usable_share() > 0
        )

    def create_delegation(self) -> messages.DelegationEntry | None:
        """Return the delegation of this daemon's share to its hub, if any."""
        hub = self._links.find_quota_hub()
        if hub is None:
            return None
        delegation = self._ledger.shares.delegate(hub.member, hub.number)
        if delegation is None:
            return None
        return messages.DelegationEntry(
            delegation.receiver,
            delegation.heard,
            delegation.part,
            # Rounded inwards: two daemons must not use a share at once.
            math.ceil(delegation.starts_s * _MS),
            math.floor(delegation.ends_s * _MS),
        )

    def apply_subscriber_digest(
        self, digest: messages.Digest, reported_at: float | None
    ) -> None:
        """Process a delegation by a daemon of this zone, and its read offset.

        Args:
            digest: The daemon's digest.
            reported_at: When the report was sent that the delegation names,
                in trio's time; None if it names none of the last ones.
        """
        self._roster.note_read_end(digest.instance, digest.members_end)
        shares = self._ledger.shares
        shares.end_former_delegations(digest.instance, digest.member)
        entry = digest.delegation
        if (
            entry is None
            or reported_at is None
            or entry.receiver != self._member
        ):
            return
        delegation = refill_shares.ShareDelegation(
            entry.receiver,
            entry.heard,
            entry.part,
            entry.starts_ms / _MS,
            entry.ends_ms / _MS,
        )
        shares.accept_delegation(
            digest.instance, digest.member, delegation, reported_at
        )

    def lacks_shares(self) -> bool:
        """Return whether most of the zone's rate shares have not arrived yet.

        That is so briefly after a common start or the loss of the last hub.
        """
        expected = self._roster.find_zone_share(self._zone)
        has_most = (
            self._ledger.shares.find_usable_share()
            >= _MIN_ZONE_FRACTION * expected
        )
        now = trio.current_time()
        if self._links.is_mesh() or has_most:
            self._lacking_since = math.inf
            return False
        self._lacking_since = min(self._lacking_since, now)
        # The shares still missing by then belong to daemons that are down.
        return now - self._lacking_since < _DELEGATED_WITHIN_S

    def find_members_end(self) -> int:
        """Return the offset up to which this daemon's share is up to date.

        A new announcement reduces the share. While an earlier, larger
        delegation is valid, the announcement does not count as applied, so
        that the new daemon does not use its share too early.
        """
        if not self._ledger.shares.has_larger_delegation():
            self._members_end = max(0, self._members.end)
        return self._members_end

    def find_zone_end(self, zone: str) -> int:
        """Return the least `find_members_end` of a zone's listed daemons."""
        return self._roster.find_zone_end(zone, self.find_members_end())

    async def answer(
        self,
        request: messages.QuotaRequest,
        reply: Callable[[messages.QuotaReply], None],
    ) -> None:
        """Decide on another daemon's request and reply.

        The verdict is `PASSED`, so that the sender asks another hub, while this
        daemon's catalog does not list the team or rate shares are missing here.
        """
        teams = self._store.table.catalog.teams
        team = next((one for one in teams if one.name == request.team), None)
        passed = messages.QuotaReply(request.number, _Verdict.PASSED)
        if team is None or self._ledger.shares.find_usable_share() <= 0:
            reply(passed)
            return
        admission = terms.AdmissionRequest(
            request.units, request.reserve, request.is_late
        )
        # The hub that redirected a request has already counted its demand.
        verdict = self._ledger.try_spend(
            team, admission, is_again=request.is_redirected
        )
        match verdict:
            case terms.Refused() if self.lacks_shares():
                reply(passed)
                return
            case terms.HeldElsewhere() if request.is_redirected:
                verdict = terms.Refused()
            case terms.HeldElsewhere(holder=holder) if holder:
                redirected = _Verdict.REDIRECTED
                reply(
                    messages.QuotaReply(
                        request.number, redirected, holder=holder
                    )
                )
                return
            case terms.HeldElsewhere():
                reply(messages.QuotaReply(request.number, _Verdict.WAITING))
        decision = await self._gate.settle(
            team, admission, verdict, quota_client.HUB_WAIT_S
        )
        reply(self._create_reply(request.number, decision))

    def _create_reply(
        self, number: int, decision: terms.AdmissionDecision
    ) -> messages.QuotaReply:
        is_granted = decision.is_admitted
        status = decision.units
        return messages.QuotaReply(
            number,
            _Verdict.GRANTED if is_granted else _Verdict.REFUSED,
            decision.retry_s,
            member=self._member,
            there=round(status.there),
            owed=round(status.owed),
            part=round(status.part, 3),
            asked=round(status.asked),
        )

    def forget(self, member: str) -> None:
        """Drop the balances of a daemon that has ended."""
        self._ledger.forget(member)

    def forget_all(self) -> None:
        """Drop all balances, as the fleet has become large or small."""
        self._ledger.forget_all()

    def _list_balances(self) -> dict[str, messages.BalanceEntry]:
        return {
            team: messages.BalanceEntry(
                math.floor(balance.level),
                round(balance.asked),
                round(balance.needed),
                math.floor(balance.overdraft),
            )
            for team, balance in self._ledger.list_balances().items()
        }


def _encode_transfer(
    transfer: quota_ledger.QuotaTransfer,
) -> messages.TransferEntry:
    lots = {
        team: [
            # Rounded down: a transfer must not extend a unit's lifetime.
            messages.LotEntry(units, math.floor(life_s * _MS))
            for units, life_s in found
        ]
        for team, found in transfer.lots.items()
    }
    return messages.TransferEntry(transfer.heard, lots)


def _decode_transfer(
    entry: messages.TransferEntry,
) -> quota_ledger.QuotaTransfer:
    lots = {
        team: [(lot.units, lot.life_ms / _MS) for lot in found]
        for team, found in entry.lots.items()
    }
    return quota_ledger.QuotaTransfer(entry.heard, lots)
