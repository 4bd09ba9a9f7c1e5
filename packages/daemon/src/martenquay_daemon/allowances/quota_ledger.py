"""Keep each team's allowance by units that exist once.

Each part of a team's rate is minted by one daemon at a time (`rights`), and
all parts add up to no more than the rate. A unit may be spent for a short time
after it was minted and then ends, wherever it is. A daemon that has more than
it is asked for hands units to others: it takes them out of its own first, and a
unit keeps its end. So all that is spent within a window was minted in it or one
lifetime before it, whatever daemons believe of each other: messages that are
late or lost, cuts, kills and freezes can only lose units.

Estimates decide how units are shared out, never how many there are. When every
daemon took what all had spent from what the others told, two sides of a cut or
a join took each other for slower than they were, and a greedy team got up to
12% more than is tolerated on 15 of 52 days with trouble.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.allowances import quota_bucket, sharing, terms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from martenquay_core.serving import catalog
    from martenquay_daemon.allowances import refill_shares

__all__ = ["QuotaLedger", "QuotaTransfer", "create_quota_ledger"]

# Over this time the demand at a daemon is measured.
_DEMAND_DECAY_S = 1.0
# Plain calls, which cost next to nothing, may use up the whole of what may be
# owed; each step of less urgency leaves this part of it and of the units.
_RESERVE_STEP_RATIO = 0.1
_MAX_RESERVE_RATIO = 0.3
# A caller that is told to come back sooner only meets the same refusal.
_MIN_RETRY_S = 0.1
# Promises to more refused callers than come back within this time are not
# worth telling apart.
_MAX_RETRY_S = 4.0
# What a refused caller is told while it is not known what comes here: a part
# is lent or counted again within this time.
_DEFAULT_RETRY_S = 0.5
# What was told longer ago is no ground for gifts: its receiver is cut off.
_BALANCE_MAX_AGE_S = 1.2
# A request that cannot be on time any more leaves this part of the units for
# those that can.
_ON_TIME_RESERVE_RATIO = 0.5
# Below this part of its part of the units, a daemon tells the others soon.
_LOW_LEVEL_RATIO = 0.3


@dataclasses.dataclass(frozen=True)
class QuotaTransfer:
    """Units for one daemon.

    Attributes:
        heard: The number of the receiver's last message that the giver had
            when it gave; lifetimes count from when that one was sent.
        parcels: Units and how much longer they may be spent, in seconds, by
            team.
    """

    heard: int
    parcels: dict[str, list[tuple[float, float]]]


@dataclasses.dataclass
class _Peer:
    """What another daemon has told.

    Attributes:
        heard: The number of its last message.
        heard_at: In trio's time.
        address: Where it can be asked.
        holdings: By team.
        given: Units given to it since, by team.
        taken: Units that requests were sent to it for since, by team.
    """

    heard: int
    received_at: float
    address: str
    balances: dict[str, sharing.QuotaBalance]
    transferred: dict[str, float] = dataclasses.field(default_factory=dict)
    redirected: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class _RefillPolicy:
    """What a team's rate and the bounds come to.

    Attributes:
        team: It was reckoned for.
        bounds: It was reckoned from.
        rate: Units a second that all daemons together mint.
        life_s: How long a unit may be spent.
    """

    team: catalog.Team
    bounds: terms.ToleranceBounds
    rate: float
    life_s: float


@dataclasses.dataclass
class _Account:
    """One team's units at this daemon.

    Attributes:
        pace: How units are minted.
        pile: What may be spent here.
        minted_at: Up to when units are minted, in trio's time.
        asked: Units a second that callers asked for, lately.
        asked_at: When that was last brought up to date.
        needed: Units that requests which wait here lack.
        minted: Units that were minted since some were given away.
        promised: Units that refused callers were told to come back for.
    """

    policy: _RefillPolicy
    bucket: quota_bucket.QuotaBucket
    refilled_at: float
    asked: float = 0.0
    demand_at: float = 0.0
    needed: float = 0.0
    refilled: float = 0.0
    promised: float = 0.0

    def find_demand(self, now: float) -> float:
        """Return the units a second that callers ask for."""
        kept = math.exp((self.demand_at - now) / _DEMAND_DECAY_S)
        return kept * self.asked

    def create_balance(
        self, now: float, overdraft: float
    ) -> sharing.QuotaBalance:
        """Return what there is, for others and for reckoning with them."""
        asked = self.find_demand(now)
        return sharing.QuotaBalance(
            self.bucket.level, asked, self.needed, overdraft
        )


class QuotaLedger:
    """The teams' units at one daemon.

    Attributes:
        bounds: What is tolerated; may be replaced.
        rights: What this daemon may mint.
        news: Set when units have come from others; then another one is made.
    """

    def __init__(
        self,
        bounds: terms.ToleranceBounds,
        shares: refill_shares.RefillShares,
        notify_soon: Callable[[], None],
    ) -> None:
        """Begin without units.

        Args:
            bounds: What is tolerated.
            shares: What this daemon may mint.
            notify_soon: Has this daemon's units told to others soon.
        """
        self.bounds = bounds
        self.rights = shares
        self.quota_received = trio.Event()
        self._notify_soon = notify_soon
        self._started_at = trio.current_time()
        self._accounts: dict[str, _Account] = {}
        self._peers: dict[str, _Peer] = {}

    def try_spend(
        self,
        team: catalog.Team,
        request: terms.AdmissionRequest,
        *,
        is_again: bool = False,
    ) -> terms.Verdict:
        """Spend units if they are there.

        Args:
            team: Who spends.
            request: What for.
            is_again: The request has waited for units.
        """
        account = self._refill(team)
        if not is_again:
            self._record_demand(account, request.units)
        return self._decide(team, account, request)

    def schedule_retry(self, team: catalog.Team, units: float) -> float:
        """Return when a caller that is refused should come back, in seconds.

        Callers that are refused together are called back one after the
        other; all at once they would mostly be refused again.
        """
        account = self._refill(team)
        account.promised += units
        rate = account.policy.rate * self.rights.find_usable_share()
        if rate <= 0:
            return _DEFAULT_RETRY_S
        wait_s = (account.promised - account.bucket.level) / rate
        return min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s))

    def note_shortage(self, team: catalog.Team, units: float) -> None:
        """Note that a request waits for units; less than 0 if no more."""
        account = self._refill(team)
        account.needed = max(0.0, account.needed + units)
        if units > 0:
            self._notify_soon()

    def refill(self, teams: Iterable[catalog.Team]) -> None:
        """Bring the units of all teams up to now."""
        for team in teams:
            if team.rate > 0:
                self._refill(team)

    def describe(self, team: str) -> terms.QuotaStatus:
        """Return what decides on a team's next request, for the log."""
        account = self._accounts.get(team)
        if account is None:
            return terms.QuotaStatus()
        return terms.QuotaStatus(
            account.bucket.total,
            account.bucket.debt,
            self.rights.find_usable_share(),
            account.find_demand(trio.current_time()),
        )

    def list_holdings(self) -> dict[str, sharing.QuotaBalance]:
        """Return what this daemon has, by team."""
        now = trio.current_time()
        return {
            team: account.create_balance(now, self._find_max_overdraft(account))
            for team, account in self._accounts.items()
        }

    def create_transfers(
        self, teams: Iterable[catalog.Team]
    ) -> dict[str, QuotaTransfer]:
        """Take out what others lack more; return it by receiver."""
        transfers: dict[str, QuotaTransfer] = {}
        now = trio.current_time()
        for team in teams:
            if team.rate <= 0:
                continue
            account = self._refill(team)
            for member, units in self._find_transfers(team, account).items():
                peer = self._peers[member]
                parcels = account.bucket.withdraw(now, units)
                peer.transferred[team.name] = (
                    peer.transferred.get(team.name, 0.0) + units
                )
                transfer = transfers.setdefault(
                    member, QuotaTransfer(peer.heard, {})
                )
                transfer.parcels[team.name] = [
                    (lot.units, lot.expires_at - now) for lot in parcels
                ]
        return transfers

    def apply_balances(
        self,
        member: str,
        number: int,
        balances: dict[str, sharing.QuotaBalance],
        address: str = "",
    ) -> None:
        """Take what another daemon has told of its units."""
        known = self._peers.get(member)
        if known is not None and number <= known.heard:
            return
        self._peers[member] = _Peer(
            number, trio.current_time(), address, balances
        )
        if any(self._can_transfer(team) for team in balances):
            self._notify_soon()

    def accept_transfer(self, transfer: QuotaTransfer, sent_at: float) -> None:
        """Take units that another daemon has given.

        Args:
            transfer: The units.
            sent_at: When the message was sent that the gift answers, in
                trio's time. The gift was made later, so units do not live
                longer by their way, however long that took.
        """
        now = trio.current_time()
        for team, parcels in transfer.parcels.items():
            account = self._accounts.get(team)
            if account is None:
                continue
            account.bucket.expire(now)
            for units, life_s in parcels:
                account.bucket.add(
                    now, quota_bucket.QuotaLot(units, sent_at + life_s)
                )
        self.quota_received.set()
        self.quota_received = trio.Event()

    def forget(self, member: str) -> None:
        """Drop a daemon that is gone for good."""
        self._peers.pop(member, None)

    def forget_all(self) -> None:
        """Drop all others; those who come next are new."""
        self._peers.clear()

    def _decide(
        self,
        team: catalog.Team,
        account: _Account,
        request: terms.AdmissionRequest,
    ) -> terms.Verdict:
        bucket = account.bucket
        units = request.units
        if request.is_late and self._is_kept_for_on_time(account, units):
            return terms.Refused()
        kept = min(_MAX_RESERVE_RATIO, _RESERVE_STEP_RATIO * request.reserve)
        overdraft = (1 - kept) * self._find_max_overdraft(account)
        # Whether a request passes hardly depends on its size, or the large
        # ones would starve while small ones use up what comes.
        has_credit = request.reserve == 0 or bucket.level > 0
        missing = units - bucket.level - overdraft
        if has_credit and missing <= 0:
            bucket.spend(units)
            self._notify_if_low(team, account)
            return terms.Admitted()
        missing = max(missing, 1.0 - bucket.level)
        if self._is_held_elsewhere(team, missing):
            return terms.HeldElsewhere(
                missing, self._choose_holder(team, units)
            )
        return terms.Refused()

    def _is_kept_for_on_time(self, account: _Account, units: float) -> bool:
        """Tell whether a request would take units from those on time."""
        now = trio.current_time()
        refill_rate = account.policy.rate * self.rights.find_usable_share()
        if account.find_demand(now) <= refill_rate:
            return False
        capacity = self._find_capacity(account)
        return account.bucket.level - units < _ON_TIME_RESERVE_RATIO * capacity

    def _choose_holder(self, team: catalog.Team, units: float) -> str:
        """Return where the request can be let in, or nothing.

        Asking there takes a few ms. Units that are handed over take 0.1 s and
        more, and those that wait for them meanwhile take them from others.
        """
        found = ""
        most = 0.0
        for member, one in self._list_peer_balances(team).items():
            peer = self._peers[member]
            level = one.level - peer.redirected.get(team.name, 0.0)
            is_enough = level > 0 and level + one.overdraft >= units
            if peer.address and is_enough and level > most:
                found, most = member, level
        if not found:
            return ""
        peer = self._peers[found]
        peer.redirected[team.name] = peer.redirected.get(team.name, 0.0) + units
        return peer.address

    def _find_max_overdraft(self, account: _Account) -> float:
        """Return what this daemon may owe.

        The process before this one may have owed as much when it ended. Until
        that has left the window this one owes no more than it has let end
        unspent, which is as good as paying it.
        """
        most = self.bounds.find_max_overdraft()
        held, fresh = self.rights.find_overdraft_shares()
        return most * held + min(most * fresh, account.bucket.expired_units)

    def _is_held_elsewhere(self, team: catalog.Team, missing: float) -> bool:
        """Tell whether others have what is missing here."""
        available = 0.0
        for one in self._list_peer_balances(team).values():
            if one.needed <= 0:
                available += one.spendable
        return available >= missing

    def _notify_if_low(self, team: catalog.Team, account: _Account) -> None:
        capacity = self._find_capacity(account)
        is_low = account.bucket.level < _LOW_LEVEL_RATIO * capacity
        if is_low and self._is_held_elsewhere(team, capacity):
            self._notify_soon()

    def _find_capacity(self, account: _Account) -> float:
        """Return the units that this daemon's part may come to."""
        capacity = account.policy.rate * account.policy.life_s
        return capacity * self.rights.find_usable_share()

    def _can_transfer(self, team: str) -> bool:
        """Tell whether another daemon waits for units that are here."""
        account = self._accounts.get(team)
        if account is None:
            return False
        if account.bucket.level + self._find_max_overdraft(account) <= 0:
            return False
        return any(
            peer.balances[team].needed > peer.transferred.get(team, 0.0)
            for peer in self._peers.values()
            if team in peer.balances
        )

    def _find_transfers(
        self, team: catalog.Team, account: _Account
    ) -> dict[str, float]:
        own = account.create_balance(
            trio.current_time(), self._find_max_overdraft(account)
        )
        others = self._list_peer_balances(team)
        rate = account.policy.rate
        transfers = sharing.find_transfers(own, others, rate)
        if not transfers:
            transfers = sharing.find_scarcity_transfers(
                own, others, account.refilled, rate
            )
        account.refilled = 0.0
        return transfers

    def _list_peer_balances(
        self, team: catalog.Team
    ) -> dict[str, sharing.QuotaBalance]:
        """Return what others have, with what was given to them since."""
        oldest = trio.current_time() - _BALANCE_MAX_AGE_S
        found = {}
        for member, peer in self._peers.items():
            balance = peer.balances.get(team.name)
            if balance is None or peer.received_at < oldest:
                continue
            transferred = peer.transferred.get(team.name, 0.0)
            found[member] = sharing.QuotaBalance(
                balance.level + transferred,
                balance.asked,
                max(0.0, balance.needed - transferred),
                balance.overdraft,
            )
        return found

    def _refill(self, team: catalog.Team) -> _Account:
        now = self.rights.advance()
        account = self._accounts.get(team.name)
        if account is None:
            policy = self._create_policy(team)
            account = _Account(
                policy,
                quota_bucket.QuotaBucket(policy.life_s),
                self._started_at,
            )
            self._accounts[team.name] = account
        elif account.policy.team is not team or account.policy.bounds is not (
            self.bounds
        ):
            self._apply_policy(account, self._create_policy(team))
        account.bucket.expire(now)
        refilled = self._add_refill(account, now)
        account.refilled += refilled
        account.promised = max(0.0, account.promised - refilled)
        account.refilled_at = now
        return account

    def _add_refill(self, account: _Account, now: float) -> float:
        """Mint what has come since the last time; return how much."""
        refilled = 0.0
        for span in self.rights.list_spans(account.refilled_at):
            rate = account.policy.rate * span.part
            account.bucket.add_refill(now, span.start, span.end, rate)
            refilled += rate * (span.end - span.start)
        return refilled

    def _create_policy(self, team: catalog.Team) -> _RefillPolicy:
        bounds = self.bounds
        rate = bounds.find_refill_rate(team)
        return _RefillPolicy(team, bounds, rate, bounds.find_unit_life(team))

    def _apply_policy(self, account: _Account, policy: _RefillPolicy) -> None:
        """Go on by another rate or other bounds."""
        if not math.isclose(account.policy.life_s, policy.life_s):
            account.bucket = account.bucket.copy_with_life(
                trio.current_time(), policy.life_s
            )
        account.policy = policy

    def _record_demand(self, account: _Account, units: float) -> None:
        now = trio.current_time()
        account.asked = account.find_demand(now) + units / _DEMAND_DECAY_S
        account.demand_at = now


def create_quota_ledger(
    bounds: terms.ToleranceBounds,
    shares: refill_shares.RefillShares,
    notify_soon: Callable[[], None],
) -> QuotaLedger:
    """Return a ledger without units."""
    return QuotaLedger(bounds, shares, notify_soon)
