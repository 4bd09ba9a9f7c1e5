"""Tell other daemons of the units kept here, and take in theirs."""

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
# Some of a zone's daemons may be gone, or lend to another hub.
_MOST_PARTS = 0.8
# The others lend within this time of a common start, or of a keeper's loss.
_LENT_WITHIN_S = 2.5


class QuotaExchange:
    """What this daemon tells and hears of teams' units."""

    def __init__(
        self,
        member: str,
        zone: str,
        store: catalog_store.CatalogStore,
        units: quota_ledger.QuotaLedger,
        decider: gate.AllowanceGate,
        listed: roster.Roster,
        members: keyed_follower.KeyedFollower,
        fleet_links: links.FleetLinks,
    ) -> None:
        self._member = member
        self._zone = zone
        self._store = store
        self._units = units
        self._gate = decider
        self._roster = listed
        self._members = members
        self._links = fleet_links
        self._number = 0
        self._told = send_times.SendTimes()
        self._told_end = 0
        self._lacking_since = math.inf

    def create_note(self) -> messages.QuotaUpdate:
        """Return what to tell others that keep units."""
        self._number += 1
        self._told.note(self._number)
        teams = self._store.table.catalog.teams
        self._units.refill(teams)
        gifts = self._units.create_transfers(teams)
        return messages.QuotaUpdate(
            self._member,
            self._links.address,
            self._number,
            self._list_pools(),
            {member: _tell_gift(gift) for member, gift in gifts.items()},
        )

    def apply_update(self, note: messages.QuotaUpdate) -> None:
        """Take what another daemon says of its units and hands over."""
        holdings = {
            team: sharing.QuotaBalance(
                line.level, line.asked, line.needed, line.overdraft
            )
            for team, line in note.pools.items()
        }
        self._units.apply_balances(
            note.member, note.number, holdings, note.address
        )
        line = note.gifts.get(self._member)
        if line is None:
            return
        told_at = self._told.find(line.heard)
        if told_at is not None:
            self._units.accept_transfer(_read_gift(line), told_at)

    def has_share_to_delegate(self) -> bool:
        """Tell whether there is a part that no hub has yet."""
        return (
            self._links.find_quota_hub() is not None
            and self._units.shares.find_usable_share() > 0
        )

    def create_delegation(self) -> messages.DelegationEntry | None:
        """Return the loan of this daemon's part, if a hub is to use it."""
        keeper = self._links.find_quota_hub()
        if keeper is None:
            return None
        loan = self._units.shares.delegate(keeper.member, keeper.number)
        if loan is None:
            return None
        return messages.DelegationEntry(
            loan.receiver,
            loan.heard,
            loan.part,
            # Rounded so that no time is lent twice.
            math.ceil(loan.starts_s * _MS),
            math.floor(loan.ends_s * _MS),
        )

    def apply_subscriber_digest(
        self, digest: messages.Digest, reported_at: float | None
    ) -> None:
        """Take what a daemon of this zone lends, and how far it has read.

        Args:
            digest: What it tells.
            reported_at: When the report was sent that its loan names, in
                trio's time; None if it names none of the last ones.
        """
        self._roster.note_read_end(digest.instance, digest.members_end)
        mint_rights = self._units.shares
        mint_rights.end_former_delegations(digest.instance, digest.member)
        line = digest.loan
        if line is None or reported_at is None or line.receiver != self._member:
            return
        loan = refill_shares.ShareDelegation(
            line.receiver,
            line.heard,
            line.part,
            line.starts_ms / _MS,
            line.ends_ms / _MS,
        )
        mint_rights.accept_delegation(
            digest.instance, digest.member, loan, reported_at
        )

    def lacks_shares(self) -> bool:
        """Tell whether this daemon has yet to be lent most of its zone's parts.

        So it is for a second after all have started, and after the keeper
        before this one was lost.
        """
        expected = self._roster.find_zone_share(self._zone)
        has_most = (
            self._units.shares.find_usable_share() >= _MOST_PARTS * expected
        )
        now = trio.current_time()
        if self._links.is_mesh() or has_most:
            self._lacking_since = math.inf
            return False
        self._lacking_since = min(self._lacking_since, now)
        # Those that have not lent by then are gone for longer.
        return now - self._lacking_since < _LENT_WITHIN_S

    def find_members_end(self) -> int:
        """Return how far this daemon goes by who announced themselves.

        What it lent while fewer were listed was more than its part is now; a
        new daemon has to wait until that is over.
        """
        if not self._units.shares.has_larger_delegation():
            self._told_end = max(0, self._members.end)
        return self._told_end

    def find_zone_end(self, zone: str) -> int:
        """Return how far all daemons of a zone go by announcements."""
        return self._roster.find_zone_end(zone, self.find_members_end())

    async def answer(
        self,
        want: messages.QuotaRequest,
        reply: Callable[[messages.QuotaReply], None],
    ) -> None:
        """Decide on a request of another daemon and reply.

        A team that operators have added may not be known here yet.
        """
        teams = self._store.table.catalog.teams
        team = next((one for one in teams if one.name == want.team), None)
        passed = messages.QuotaReply(want.number, _Verdict.PASSED)
        if team is None or self._units.shares.find_usable_share() <= 0:
            reply(passed)
            return
        wish = terms.AdmissionRequest(want.units, want.reserve, want.is_late)
        # Demand is counted where callers come from, not where units are.
        verdict = self._units.try_spend(team, wish, is_again=want.is_redirected)
        match verdict:
            case terms.Refused() if self.lacks_shares():
                reply(passed)
                return
            case terms.HeldElsewhere() if want.is_redirected:
                verdict = terms.Refused()
            case terms.HeldElsewhere(holder=holder) if holder:
                redirected = _Verdict.REDIRECTED
                reply(
                    messages.QuotaReply(want.number, redirected, holder=holder)
                )
                return
            case terms.HeldElsewhere():
                reply(messages.QuotaReply(want.number, _Verdict.WAITING))
        answer = await self._gate.settle(
            team, wish, verdict, quota_client.HUB_WAIT_S
        )
        reply(self._describe(want.number, answer))

    def _describe(
        self, number: int, answer: terms.AdmissionDecision
    ) -> messages.QuotaReply:
        is_granted = answer.is_admitted
        units = answer.units
        return messages.QuotaReply(
            number,
            _Verdict.GRANTED if is_granted else _Verdict.REFUSED,
            answer.retry_s,
            member=self._member,
            there=round(units.there),
            owed=round(units.owed),
            part=round(units.part, 3),
            asked=round(units.asked),
        )

    def forget(self, member: str) -> None:
        """Drop a daemon that is gone for good."""
        self._units.forget(member)

    def forget_all(self) -> None:
        """Drop what others told: it came in another way."""
        self._units.forget_all()

    def _list_pools(self) -> dict[str, messages.BalanceEntry]:
        return {
            team: messages.BalanceEntry(
                math.floor(one.level),
                round(one.asked),
                round(one.needed),
                math.floor(one.overdraft),
            )
            for team, one in self._units.list_balances().items()
        }


def _tell_gift(gift: quota_ledger.QuotaTransfer) -> messages.TransferEntry:
    lots = {
        team: [
            # Rounded down: no unit may live longer by its way.
            messages.LotEntry(units, math.floor(life_s * _MS))
            for units, life_s in found
        ]
        for team, found in gift.lots.items()
    }
    return messages.TransferEntry(gift.heard, lots)


def _read_gift(line: messages.TransferEntry) -> quota_ledger.QuotaTransfer:
    lots = {
        team: [(one.units, one.life_ms / _MS) for one in found]
        for team, found in line.lots.items()
    }
    return quota_ledger.QuotaTransfer(line.heard, lots)
