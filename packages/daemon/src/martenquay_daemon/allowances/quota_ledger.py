"""Spend, refill and transfer the teams' quota at one daemon."""

from __future__ import annotations

import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.allowances import quota_bucket, sharing, terms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from martenquay_core.serving import catalog
    from martenquay_daemon.allowances import refill_shares

__all__ = ["QuotaLedger", "QuotaTransfer", "create_quota_ledger"]

# Time constant of the moving average of demand.
_DEMAND_DECAY_S = 1.0
# Per step of lower priority, this part of the overdraft is kept for requests of
# higher priority.
_RESERVE_STEP_RATIO = 0.1
_MAX_RESERVE_RATIO = 0.3
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 4.0
# Retry delay while this daemon has no refill share.
_DEFAULT_RETRY_S = 0.5
# Older balances are ignored: their daemon may be unreachable, and units that
# are transferred to it would be lost.
_BALANCE_MAX_AGE_S = 1.2
# While quota is scarce, late requests leave this part of the capacity to
# requests that can still meet their deadline.
_ON_TIME_RESERVE_RATIO = 0.5
# Below this part of its capacity, a daemon sends its balance early.
_LOW_LEVEL_RATIO = 0.3


@dataclasses.dataclass(frozen=True)
class QuotaTransfer:
    """Quota that one daemon sends to another.

    Attributes:
        heard: The number of the receiver's last message that the sender had
            processed; the receiver counts the remaining lifetimes from when
            it sent that message.
        lots: Units and their remaining lifetime in seconds, by team.
    """

    heard: int
    lots: dict[str, list[tuple[float, float]]]


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


@dataclasses.dataclass(frozen=True)
class _RefillPolicy:
    """A team's refill rate and unit lifetime.

    Attributes:
        team: The team that the policy was computed for.
        bounds: The bounds that it was computed from.
        rate: Units per second that all daemons together refill.
        life_s: How long a unit may be spent.
    """

    team: catalog.Team
    bounds: terms.ToleranceBounds
    rate: float
    life_s: float


@dataclasses.dataclass
class _Account:
    """One team's quota at this daemon.

    Attributes:
        policy: The refill rate and unit lifetime.
        bucket: The units that may be spent here.
        refilled_at: The time up to which the bucket is refilled.
        demand: Moving average of the units requested per second.
        demand_at: When the average was last updated.
        shortage: Units that waiting requests lack.
        set_aside: Units that new requests leave to waiting resumed streams.
        refilled: Units refilled since transfers were last computed.
        promised: Units that refused callers are expected to retry for, less
            what was refilled since.
    """

    policy: _RefillPolicy
    bucket: quota_bucket.QuotaBucket
    refilled_at: float
    demand: float = 0.0
    demand_at: float = 0.0
    shortage: float = 0.0
    set_aside: float = 0.0
    refilled: float = 0.0
    promised: float = 0.0

    def find_demand(self, now: float) -> float:
        """Return the units per second that callers request."""
        decay = math.exp((self.demand_at - now) / _DEMAND_DECAY_S)
        return decay * self.demand

    def create_balance(
        self, now: float, overdraft: float
    ) -> sharing.QuotaBalance:
        """Return the team's balance at this daemon."""
        demand = self.find_demand(now)
        return sharing.QuotaBalance(
            self.bucket.level, demand, self.shortage, overdraft
        )


class QuotaLedger:
    """The teams' quota at one daemon.

    Every unit is held by exactly one daemon and expires a fixed time after it
    was refilled, also when it is transferred. What is spent within a window was
    therefore refilled in it or one lifetime before, or is overdraft, however
    late or incomplete the balances are that daemons know of each other. Lost
    messages, partitions and kills can lose units but never duplicate them.

    Attributes:
        bounds: The tolerated excess over the allowances; may be replaced.
        shares: The shares of the refill rates that this daemon may use.
        quota_received: Set when a transfer has arrived, then replaced by a
            new event.
    """

    def __init__(
        self,
        bounds: terms.ToleranceBounds,
        shares: refill_shares.RefillShares,
        notify_soon: Callable[[], None],
    ) -> None:
        """Create a ledger without quota.

        Args:
            bounds: The tolerated excess over the allowances.
            shares: The shares of the refill rates that this daemon may use.
            notify_soon: Called to send this daemon's balances early.
        """
        self.bounds = bounds
        self.shares = shares
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
        """Spend quota if enough is held here.

        Args:
            team: The team whose quota is spent.
            request: What the request asks for.
            is_again: Whether the request is already counted as demand.
        """
        account = self._refill(team)
        if not is_again:
            self._record_demand(account, request.units)
        return self._decide(team, account, request)

    def schedule_retry(self, team: catalog.Team, units: float) -> float:
        """Return after how many seconds a refused caller should retry.

        Delays grow with the units promised to earlier callers; with equal
        delays they would retry together and mostly be refused again.
        """
        account = self._refill(team)
        account.promised += units
        rate = account.policy.rate * self.shares.find_usable_share()
        if rate <= 0:
            return _DEFAULT_RETRY_S
        wait_s = (account.promised - account.bucket.level) / rate
        return min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s))

    def note_shortage(self, team: catalog.Team, units: float) -> None:
        """Add to the units that waiting requests lack.

        Args:
            team: The team whose quota is short.
            units: The units; negative when a request stops waiting.
        """
        account = self._refill(team)
        account.shortage = max(0.0, account.shortage + units)
        if units > 0:
            self._notify_soon()

    @contextlib.contextmanager
    def set_aside(self, team: catalog.Team, units: float) -> Iterator[None]:
        """Have new requests leave quota to a resumed stream that waits.

        Args:
            team: The team whose quota is short.
            units: The units that the stream costs; more than the team ever
                has are not set aside.
        """
        account = self._refill(team)
        policy = account.policy
        most = policy.rate * policy.life_s + self.bounds.find_max_overdraft()
        if units > most:
            units = 0.0
        self.note_shortage(team, units)
        account.set_aside += units
        try:
            yield
        finally:
            account = self._refill(team)
            account.set_aside = max(0.0, account.set_aside - units)
            self.note_shortage(team, -units)

    def refill(self, teams: Iterable[catalog.Team]) -> None:
        """Refill the quota of all teams up to now."""
        for team in teams:
            if team.rate > 0:
                self._refill(team)

    def describe(self, team: str) -> terms.QuotaStatus:
        """Return a team's quota figures for the log."""
        account = self._accounts.get(team)
        if account is None:
            return terms.QuotaStatus()
        return terms.QuotaStatus(
            account.bucket.total,
            account.bucket.debt,
            self.shares.find_usable_share(),
            account.find_demand(trio.current_time()),
        )

    def list_balances(self) -> dict[str, sharing.QuotaBalance]:
        """Return this daemon's balances by team."""
        now = trio.current_time()
        return {
            team: account.create_balance(now, self._find_max_overdraft(account))
            for team, account in self._accounts.items()
        }

    def create_transfers(
        self, teams: Iterable[catalog.Team]
    ) -> dict[str, QuotaTransfer]:
        """Withdraw quota that other daemons need more; return it by daemon."""
        transfers: dict[str, QuotaTransfer] = {}
        now = trio.current_time()
        for team in teams:
            if team.rate <= 0:
                continue
            account = self._refill(team)
            for member, units in self._find_transfers(team, account).items():
                peer = self._peers[member]
                lots = account.bucket.withdraw(now, units)
                peer.transferred[team.name] = (
                    peer.transferred.get(team.name, 0.0) + units
                )
                transfer = transfers.setdefault(
                    member, QuotaTransfer(peer.last_number, {})
                )
                transfer.lots[team.name] = [
                    (lot.units, lot.expires_at - now) for lot in lots
                ]
        return transfers

    def apply_balances(
        self,
        member: str,
        number: int,
        balances: dict[str, sharing.QuotaBalance],
        address: str = "",
    ) -> None:
        """Record another daemon's balances; older messages are ignored."""
        known = self._peers.get(member)
        if known is not None and number <= known.last_number:
            return
        self._peers[member] = _Peer(
            number, trio.current_time(), address, balances
        )
        if any(self._can_transfer(team) for team in balances):
            self._notify_soon()

    def accept_transfer(self, transfer: QuotaTransfer, sent_at: float) -> None:
        """Add quota that another daemon has sent.

        Args:
            transfer: The quota.
            sent_at: When this daemon sent the message that the transfer names
                in `heard`, in trio's time. The transfer was created later, so
                counting from this time never extends a unit's lifetime.
        """
        now = trio.current_time()
        for team, lots in transfer.lots.items():
            account = self._accounts.get(team)
            if account is None:
                continue
            account.bucket.expire(now)
            for units, life_s in lots:
                account.bucket.add(
                    now, quota_bucket.QuotaLot(units, sent_at + life_s)
                )
        self.quota_received.set()
        self.quota_received = trio.Event()

    def forget(self, member: str) -> None:
        """Drop the balances of a daemon that has left the fleet."""
        self._peers.pop(member, None)

    def forget_all(self) -> None:
        """Drop the balances of all other daemons."""
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
        reserved = min(
            _MAX_RESERVE_RATIO, _RESERVE_STEP_RATIO * request.reserve
        )
        overdraft = (1 - reserved) * self._find_max_overdraft(account)
        # Any positive level admits a request, and the overdraft covers the
        # rest of it; otherwise small requests would drain every refill and
        # large ones would starve.
        level = bucket.level
        if not request.is_resuming:
            level -= account.set_aside
        has_credit = request.reserve == 0 or level > 0
        missing = units - level - overdraft
        if has_credit and missing <= 0:
            bucket.spend(units)
            self._notify_if_low(team, account)
            return terms.Admitted()
        missing = max(missing, 1.0 - level)
        if self._is_held_elsewhere(team, missing):
            return terms.HeldElsewhere(
                missing, self._choose_holder(team, units)
            )
        return terms.Refused()

    def _is_kept_for_on_time(self, account: _Account, units: float) -> bool:
        """Return whether a late request would use quota kept for others."""
        now = trio.current_time()
        refill_rate = account.policy.rate * self.shares.find_usable_share()
        if account.find_demand(now) <= refill_rate:
            return False
        capacity = self._find_capacity(account)
        return account.bucket.level - units < _ON_TIME_RESERVE_RATIO * capacity

    def _choose_holder(self, team: catalog.Team, units: float) -> str:
        """Return the address of a daemon that can admit a request, or "".

        Redirecting the request is faster than waiting for a transfer, which
        other waiting requests could use up first.
        """
        chosen = ""
        max_level = 0.0
        for member, balance in self._list_peer_balances(team).items():
            peer = self._peers[member]
            level = balance.level - peer.redirected.get(team.name, 0.0)
            is_enough = level > 0 and level + balance.overdraft >= units
            if peer.address and is_enough and level > max_level:
                chosen, max_level = member, level
        if not chosen:
            return ""
        peer = self._peers[chosen]
        peer.redirected[team.name] = peer.redirected.get(team.name, 0.0) + units
        return peer.address

    def _find_max_overdraft(self, account: _Account) -> float:
        """Return how far below 0 this daemon's level may go, in units.

        On a share that this instance's former process may have overdrawn
        within the window, the overdraft is limited to the units that have
        expired unspent, which make up for it.
        """
        max_overdraft = self.bounds.find_max_overdraft()
        held, fresh = self.shares.find_overdraft_shares()
        return max_overdraft * held + min(
            max_overdraft * fresh, account.bucket.expired_units
        )

    def _is_held_elsewhere(self, team: catalog.Team, missing: float) -> bool:
        """Return whether other daemons hold the missing units."""
        available = 0.0
        for balance in self._list_peer_balances(team).values():
            if balance.needed <= 0:
                available += balance.spendable
        return available >= missing

    def _notify_if_low(self, team: catalog.Team, account: _Account) -> None:
        capacity = self._find_capacity(account)
        is_low = account.bucket.level < _LOW_LEVEL_RATIO * capacity
        if is_low and self._is_held_elsewhere(team, capacity):
            self._notify_soon()

    def _find_capacity(self, account: _Account) -> float:
        """Return the most units that this daemon's share can refill."""
        capacity = account.policy.rate * account.policy.life_s
        return capacity * self.shares.find_usable_share()

    def _can_transfer(self, team: str) -> bool:
        """Return whether another daemon lacks quota that is held here."""
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
        """Return other daemons' recent balances, with transfers since then."""
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
        now = self.shares.advance()
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
        """Refill an account up to now; return the units added."""
        refilled = 0.0
        for span in self.shares.list_spans(account.refilled_at):
            rate = account.policy.rate * span.share
            account.bucket.add_refill(now, span.start, span.end, rate)
            refilled += rate * (span.end - span.start)
        return refilled

    def _create_policy(self, team: catalog.Team) -> _RefillPolicy:
        bounds = self.bounds
        rate = bounds.find_refill_rate(team)
        return _RefillPolicy(team, bounds, rate, bounds.find_unit_life(team))

    def _apply_policy(self, account: _Account, policy: _RefillPolicy) -> None:
        """Change an account's refill rate and unit lifetime."""
        if not math.isclose(account.policy.life_s, policy.life_s):
            account.bucket = account.bucket.copy_with_life(
                trio.current_time(), policy.life_s
            )
        account.policy = policy

    def _record_demand(self, account: _Account, units: float) -> None:
        now = trio.current_time()
        account.demand = account.find_demand(now) + units / _DEMAND_DECAY_S
        account.demand_at = now


def create_quota_ledger(
    bounds: terms.ToleranceBounds,
    shares: refill_shares.RefillShares,
    notify_soon: Callable[[], None],
) -> QuotaLedger:
    """Return a ledger without quota."""
    return QuotaLedger(bounds, shares, notify_soon)
