"""Spend, refill and transfer the teams' quota at one daemon."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.allowances import (
    peer_balances,
    quota_bucket,
    retry_schedule,
    sharing,
    team_account,
    terms,
    waiting,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from martenquay_core.serving import catalog
    from martenquay_daemon.allowances import refill_shares

__all__ = ["QuotaLedger", "QuotaTransfer", "create_quota_ledger"]

# While quota is scarce, late requests leave this part of the capacity to
# requests that can still meet their deadline.
_ON_TIME_RESERVE_RATIO = 0.5
# While a team asks for more than it is entitled to, requests beyond the
# entitlement may use this part of the overdraft of all daemons, and less by the
# second figure for each step of lower priority. Of the overdraft of the
# deciding daemon they leave the third figure more: what others hold comes too
# late for entitled requests here.
_BEYOND_OVERDRAFT_RATIO = 0.7
_BEYOND_STEP_RATIO = 0.1
_BEYOND_OWN_MARGIN_RATIO = 0.2
# While a team stays within its entitlement, a request waits if what it lacks is
# refilled by all daemons within this time.
_REFILL_WAIT_S = 0.25
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
        self._accounts: dict[str, team_account.TeamAccount] = {}
        self._peers = peer_balances.PeerBalances()

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
        if is_again:
            # It waited because it is entitled, here or where it came from.
            return self._decide(team, account, request, is_again=True)
        account.record_demand(
            trio.current_time(),
            request.units,
            self._peers.find_demand(team.name),
        )
        if self._find_claim(account, request) is terms.Claim.NONE and (
            self._is_kept_for_entitled(team, account, request)
        ):
            return terms.Refused(is_beyond=True)
        return self._decide(team, account, request)

    def schedule_retry(
        self, team: catalog.Team, units: float, *, is_beyond: bool = False
    ) -> float:
        """Return after how many seconds a refused caller should retry.

        Args:
            team: The team whose quota is short.
            units: What the request costs.
            is_beyond: Whether it is beyond the team's entitlement.
        """
        account = self._refill(team)
        usable = self.shares.find_usable_share()
        rate = account.policy.rate * usable
        supply = retry_schedule.QuotaSupply(
            account.bucket.level,
            rate,
            rate - team.rate * usable,
            self.bounds.window_s,
        )
        return account.retries.schedule(
            trio.current_time(),
            units,
            supply,
            is_beyond=is_beyond,
        )

    def start_waiting(
        self, team: catalog.Team, request: terms.AdmissionRequest
    ) -> None:
        """Count a request that waits for transfers, and ask for them."""
        self._refill(team).waiting.add(request)
        self._notify_soon()

    def stop_waiting(
        self, team: catalog.Team, request: terms.AdmissionRequest
    ) -> None:
        """Stop counting a request that has waited."""
        self._refill(team).waiting.remove(request)

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
            account.retries.promised,
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
                lots = account.bucket.withdraw(now, units)
                self._peers.note_transferred(member, team.name, units)
                number = self._peers.find_last_number(member)
                transfer = transfers.setdefault(
                    member, QuotaTransfer(number, {})
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
        if not self._peers.apply(member, number, balances, address):
            return
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
            overdraft = self._find_max_overdraft(account)
            if account.create_balance(now, overdraft).needed > 0:
                # Another part may have been lost.
                self._notify_soon()
        self.quota_received.set()
        self.quota_received = trio.Event()

    def forget(self, member: str) -> None:
        """Drop the balances of a daemon that has left the fleet."""
        self._peers.forget(member)

    def forget_all(self) -> None:
        """Drop the balances of all other daemons."""
        self._peers.forget_all()

    def _decide(
        self,
        team: catalog.Team,
        account: team_account.TeamAccount,
        request: terms.AdmissionRequest,
        *,
        is_again: bool = False,
    ) -> terms.Verdict:
        bucket = account.bucket
        units = request.units
        if request.is_late and self._is_kept_for_on_time(account, units):
            return terms.Refused()
        overdraft = waiting.find_overdraft_limit(
            request, self._find_max_overdraft(account)
        )
        # Any positive level admits a request, and the overdraft covers the
        # rest of it; otherwise small requests would drain every refill and
        # large ones would starve.
        is_over = account.entitlement.is_over(team)
        has_credit = request.reserve == 0 or bucket.level > 0 or is_over
        missing = units - bucket.level - overdraft
        if has_credit and missing <= 0:
            bucket.spend(units)
            self._notify_if_low(team, account)
            return terms.Admitted()
        if not has_credit:
            missing = max(missing, 1.0 - bucket.level)
        refilled = 0.0
        if not is_over and self._can_wait_for_refill(team):
            refilled = _REFILL_WAIT_S * account.policy.rate
        if self._peers.is_available(team.name, missing - refilled):
            # A waiting request is not redirected, so it takes nothing there.
            holder = (
                "" if is_again else self._peers.choose_holder(team.name, units)
            )
            return terms.HeldElsewhere(missing, holder)
        return terms.Refused()

    def _find_claim(
        self, account: team_account.TeamAccount, request: terms.AdmissionRequest
    ) -> terms.Claim:
        """Return why a request comes before others of a greedy team."""
        now = trio.current_time()
        if request.is_returning and account.retries.try_redeem(
            now, request.units
        ):
            return terms.Claim.PROMISED
        if account.entitlement.try_take(
            request.units, is_first=not request.is_returning
        ):
            return terms.Claim.ENTITLED
        return terms.Claim.NONE

    def _can_wait_for_refill(self, team: catalog.Team) -> bool:
        """Return whether units that this and other daemons refill come here."""
        has_share = self.shares.find_usable_share() > 0
        return has_share and bool(self._peers.list_recent(team.name))

    def _is_kept_for_entitled(
        self,
        team: catalog.Team,
        account: team_account.TeamAccount,
        request: terms.AdmissionRequest,
    ) -> bool:
        """Return whether a request would use quota kept for entitled ones.

        While a team asks for more than it is entitled to, requests beyond the
        entitlement leave part of what all daemons may spend, the more, the
        less urgent they are. Large ones leave least, so they are refused first.
        """
        if not account.entitlement.is_over(team):
            return False
        steps = request.reserve + request.is_late
        ratio = _BEYOND_OVERDRAFT_RATIO - _BEYOND_STEP_RATIO * steps
        others = self._peers.list_recent(team.name).values()
        own_overdraft = self._find_max_overdraft(account)
        left = account.bucket.level - request.units - account.retries.promised
        if left < -(ratio - _BEYOND_OWN_MARGIN_RATIO) * own_overdraft:
            return True
        left += sum(one.level for one in others)
        overdraft = own_overdraft + sum(one.overdraft for one in others)
        return left < -ratio * overdraft

    def _is_kept_for_on_time(
        self, account: team_account.TeamAccount, units: float
    ) -> bool:
        """Return whether a late request would use quota kept for others."""
        now = trio.current_time()
        refill_rate = account.policy.rate * self.shares.find_usable_share()
        if account.find_demand(now) <= refill_rate:
            return False
        capacity = self._find_capacity(account)
        return account.bucket.level - units < _ON_TIME_RESERVE_RATIO * capacity

    def _find_max_overdraft(self, account: team_account.TeamAccount) -> float:
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

    def _notify_if_low(
        self, team: catalog.Team, account: team_account.TeamAccount
    ) -> None:
        capacity = self._find_capacity(account)
        is_low = account.bucket.level < _LOW_LEVEL_RATIO * capacity
        if is_low and self._peers.is_available(team.name, capacity):
            self._notify_soon()

    def _find_capacity(self, account: team_account.TeamAccount) -> float:
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
        return self._peers.has_shortage(team)

    def _find_transfers(
        self, team: catalog.Team, account: team_account.TeamAccount
    ) -> dict[str, float]:
        own = account.create_balance(
            trio.current_time(), self._find_max_overdraft(account)
        )
        others = self._peers.list_recent(team.name)
        rate = account.policy.rate
        transfers = sharing.find_transfers(own, others, rate)
        if not transfers:
            transfers = sharing.find_scarcity_transfers(
                own, others, account.refilled, rate
            )
        account.refilled = 0.0
        return transfers

    def _refill(self, team: catalog.Team) -> team_account.TeamAccount:
        now = self.shares.advance()
        account = self._accounts.get(team.name)
        if account is None:
            policy = self._create_policy(team)
            account = team_account.create_account(policy, self._started_at, now)
            self._accounts[team.name] = account
        elif account.policy.team is not team or account.policy.bounds is not (
            self.bounds
        ):
            account.apply_policy(now, self._create_policy(team))
        account.bucket.expire(now)
        refilled = self._add_refill(account, now)
        account.refilled += refilled
        account.retries.note_refilled(now, refilled)
        account.refilled_at = now
        return account

    def _add_refill(
        self, account: team_account.TeamAccount, now: float
    ) -> float:
        """Refill an account up to now; return the units added."""
        refilled = 0.0
        for span in self.shares.list_spans(account.refilled_at):
            rate = account.policy.rate * span.share
            account.bucket.add_refill(now, span.start, span.end, rate)
            refilled += rate * (span.end - span.start)
        return refilled

    def _create_policy(self, team: catalog.Team) -> team_account.RefillPolicy:
        bounds = self.bounds
        rate = bounds.find_refill_rate(team)
        return team_account.RefillPolicy(
            team, bounds, rate, bounds.find_unit_life(team)
        )


def create_quota_ledger(
    bounds: terms.ToleranceBounds,
    shares: refill_shares.RefillShares,
    notify_soon: Callable[[], None],
) -> QuotaLedger:
    """Return a ledger without quota."""
    return QuotaLedger(bounds, shares, notify_soon)
