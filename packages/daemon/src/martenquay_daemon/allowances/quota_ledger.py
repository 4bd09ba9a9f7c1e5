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
_DEMAND_MEMORY_S = 1.0
# Plain calls, which cost next to nothing, may use up the whole of what may be
# owed; each step of less urgency leaves this part of it and of the units.
_RESERVE = 0.1
_MOST_RESERVE = 0.3
# A caller that is told to come back sooner only meets the same refusal.
_LEAST_WAIT_S = 0.1
# Promises to more refused callers than come back within this time are not
# worth telling apart.
_LONGEST_WAIT_S = 4.0
# What a refused caller is told while it is not known what comes here: a part
# is lent or counted again within this time.
_UNKNOWN_WAIT_S = 0.5
# What was told longer ago is no ground for gifts: its receiver is cut off.
_FRESH_S = 1.2
# A request that cannot be on time any more leaves this part of the units for
# those that can.
_LATE_PART = 0.5
# Below this part of its part of the units, a daemon tells the others soon.
_LOW = 0.3


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
class _Other:
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
    heard_at: float
    address: str
    holdings: dict[str, sharing.QuotaBalance]
    given: dict[str, float] = dataclasses.field(default_factory=dict)
    taken: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class _Pace:
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

    pace: _Pace
    pile: quota_bucket.QuotaBucket
    minted_at: float
    asked: float = 0.0
    asked_at: float = 0.0
    needed: float = 0.0
    minted: float = 0.0
    promised: float = 0.0

    def find_asked(self, now: float) -> float:
        """Return the units a second that callers ask for."""
        kept = math.exp((self.asked_at - now) / _DEMAND_MEMORY_S)
        return kept * self.asked

    def hold(self, now: float, overdraft: float) -> sharing.QuotaBalance:
        """Return what there is, for others and for reckoning with them."""
        asked = self.find_asked(now)
        return sharing.QuotaBalance(
            self.pile.level, asked, self.needed, overdraft
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
        mint_rights: refill_shares.RefillShares,
        notify_soon: Callable[[], None],
    ) -> None:
        """Begin without units.

        Args:
            bounds: What is tolerated.
            mint_rights: What this daemon may mint.
            notify_soon: Has this daemon's units told to others soon.
        """
        self.bounds = bounds
        self.rights = mint_rights
        self.news = trio.Event()
        self._hurry = notify_soon
        self._started_at = trio.current_time()
        self._accounts: dict[str, _Account] = {}
        self._others: dict[str, _Other] = {}

    def try_spend(
        self,
        team: catalog.Team,
        wish: terms.AdmissionRequest,
        *,
        is_again: bool = False,
    ) -> terms.Verdict:
        """Spend units if they are there.

        Args:
            team: Who spends.
            wish: What for.
            is_again: The request has waited for units.
        """
        account = self._refill(team)
        if not is_again:
            self._note_asked(account, wish.units)
        return self._decide(team, account, wish)

    def refuse(self, team: catalog.Team, units: float) -> float:
        """Return when a caller that is refused should come back, in seconds.

        Callers that are refused together are called back one after the
        other; all at once they would mostly be refused again.
        """
        account = self._refill(team)
        account.promised += units
        rate = account.pace.rate * self.rights.find_usable_share()
        if rate <= 0:
            return _UNKNOWN_WAIT_S
        wait_s = (account.promised - account.pile.level) / rate
        return min(_LONGEST_WAIT_S, max(_LEAST_WAIT_S, wait_s))

    def note_shortage(self, team: catalog.Team, units: float) -> None:
        """Note that a request waits for units; less than 0 if no more."""
        account = self._refill(team)
        account.needed = max(0.0, account.needed + units)
        if units > 0:
            self._hurry()

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
            account.pile.total,
            account.pile.debt,
            self.rights.find_usable_share(),
            account.find_asked(trio.current_time()),
        )

    def list_holdings(self) -> dict[str, sharing.QuotaBalance]:
        """Return what this daemon has, by team."""
        now = trio.current_time()
        return {
            team: account.hold(now, self._find_most_owed(account))
            for team, account in self._accounts.items()
        }

    def create_transfers(
        self, teams: Iterable[catalog.Team]
    ) -> dict[str, QuotaTransfer]:
        """Take out what others lack more; return it by receiver."""
        gifts: dict[str, QuotaTransfer] = {}
        now = trio.current_time()
        for team in teams:
            if team.rate <= 0:
                continue
            account = self._refill(team)
            for member, units in self._find_gifts(team, account).items():
                other = self._others[member]
                parcels = account.pile.take_away(now, units)
                other.given[team.name] = other.given.get(team.name, 0.0) + units
                gift = gifts.setdefault(member, QuotaTransfer(other.heard, {}))
                gift.parcels[team.name] = [
                    (parcel.units, parcel.ends_at - now) for parcel in parcels
                ]
        return gifts

    def apply_balances(
        self,
        member: str,
        number: int,
        holdings: dict[str, sharing.QuotaBalance],
        address: str = "",
    ) -> None:
        """Take what another daemon has told of its units."""
        known = self._others.get(member)
        if known is not None and number <= known.heard:
            return
        self._others[member] = _Other(
            number, trio.current_time(), address, holdings
        )
        if any(self._is_to_give(team) for team in holdings):
            self._hurry()

    def accept_transfer(self, gift: QuotaTransfer, told_at: float) -> None:
        """Take units that another daemon has given.

        Args:
            gift: The units.
            told_at: When the message was sent that the gift answers, in
                trio's time. The gift was made later, so units do not live
                longer by their way, however long that took.
        """
        now = trio.current_time()
        for team, parcels in gift.parcels.items():
            account = self._accounts.get(team)
            if account is None:
                continue
            account.pile.expire(now)
            for units, life_s in parcels:
                account.pile.add(
                    now, quota_bucket.QuotaLot(units, told_at + life_s)
                )
        self.news.set()
        self.news = trio.Event()

    def forget(self, member: str) -> None:
        """Drop a daemon that is gone for good."""
        self._others.pop(member, None)

    def forget_all(self) -> None:
        """Drop all others; those who come next are new."""
        self._others.clear()

    def _decide(
        self,
        team: catalog.Team,
        account: _Account,
        wish: terms.AdmissionRequest,
    ) -> terms.Verdict:
        pile = account.pile
        units = wish.units
        if wish.is_late and self._is_short(account, units):
            return terms.Refused()
        kept = min(_MOST_RESERVE, _RESERVE * wish.reserve)
        owed = (1 - kept) * self._find_most_owed(account)
        # Whether a request passes hardly depends on its size, or the large
        # ones would starve while small ones use up what comes.
        has_some = wish.reserve == 0 or pile.level > 0
        missing = units - pile.level - owed
        if has_some and missing <= 0:
            pile.spend(units)
            self._note_low(team, account)
            return terms.Admitted()
        missing = max(missing, 1.0 - pile.level)
        if self._is_elsewhere(team, missing):
            return terms.HeldElsewhere(missing, self._find_holder(team, units))
        return terms.Refused()

    def _is_short(self, account: _Account, units: float) -> bool:
        """Tell whether a request would take units from those on time."""
        now = trio.current_time()
        comes = account.pace.rate * self.rights.find_usable_share()
        if account.find_asked(now) <= comes:
            return False
        full = self._find_full(account)
        return account.pile.level - units < _LATE_PART * full

    def _find_holder(self, team: catalog.Team, units: float) -> str:
        """Return where the request can be let in, or nothing.

        Asking there takes a few ms. Units that are handed over take 0.1 s and
        more, and those that wait for them meanwhile take them from others.
        """
        found = ""
        most = 0.0
        for member, one in self._list_others(team).items():
            other = self._others[member]
            level = one.level - other.taken.get(team.name, 0.0)
            is_enough = level > 0 and level + one.overdraft >= units
            if other.address and is_enough and level > most:
                found, most = member, level
        if not found:
            return ""
        other = self._others[found]
        other.taken[team.name] = other.taken.get(team.name, 0.0) + units
        return other.address

    def _find_most_owed(self, account: _Account) -> float:
        """Return what this daemon may owe.

        The process before this one may have owed as much when it ended. Until
        that has left the window this one owes no more than it has let end
        unspent, which is as good as paying it.
        """
        most = self.bounds.find_max_overdraft()
        held, fresh = self.rights.find_overdraft_shares()
        return most * held + min(most * fresh, account.pile.unspent)

    def _is_elsewhere(self, team: catalog.Team, missing: float) -> bool:
        """Tell whether others have what is missing here."""
        there = 0.0
        for one in self._list_others(team).values():
            if one.needed <= 0:
                there += one.spendable
        return there >= missing

    def _note_low(self, team: catalog.Team, account: _Account) -> None:
        full = self._find_full(account)
        is_low = account.pile.level < _LOW * full
        if is_low and self._is_elsewhere(team, full):
            self._hurry()

    def _find_full(self, account: _Account) -> float:
        """Return the units that this daemon's part may come to."""
        full = account.pace.rate * account.pace.life_s
        return full * self.rights.find_usable_share()

    def _is_to_give(self, team: str) -> bool:
        """Tell whether another daemon waits for units that are here."""
        account = self._accounts.get(team)
        if account is None:
            return False
        if account.pile.level + self._find_most_owed(account) <= 0:
            return False
        return any(
            other.holdings[team].needed > other.given.get(team, 0.0)
            for other in self._others.values()
            if team in other.holdings
        )

    def _find_gifts(
        self, team: catalog.Team, account: _Account
    ) -> dict[str, float]:
        own = account.hold(trio.current_time(), self._find_most_owed(account))
        others = self._list_others(team)
        rate = account.pace.rate
        gifts = sharing.find_transfers(own, others, rate)
        if not gifts:
            gifts = sharing.find_scarcity_transfers(
                own, others, account.minted, rate
            )
        account.minted = 0.0
        return gifts

    def _list_others(
        self, team: catalog.Team
    ) -> dict[str, sharing.QuotaBalance]:
        """Return what others have, with what was given to them since."""
        oldest = trio.current_time() - _FRESH_S
        found = {}
        for member, other in self._others.items():
            holding = other.holdings.get(team.name)
            if holding is None or other.heard_at < oldest:
                continue
            given = other.given.get(team.name, 0.0)
            found[member] = sharing.QuotaBalance(
                holding.level + given,
                holding.asked,
                max(0.0, holding.needed - given),
                holding.overdraft,
            )
        return found

    def _refill(self, team: catalog.Team) -> _Account:
        now = self.rights.advance()
        account = self._accounts.get(team.name)
        if account is None:
            pace = self._find_pace(team)
            account = _Account(
                pace, quota_bucket.QuotaBucket(pace.life_s), self._started_at
            )
            self._accounts[team.name] = account
        elif account.pace.team is not team or account.pace.bounds is not (
            self.bounds
        ):
            self._change_pace(account, self._find_pace(team))
        account.pile.expire(now)
        minted = self._mint(account, now)
        account.minted += minted
        account.promised = max(0.0, account.promised - minted)
        account.minted_at = now
        return account

    def _mint(self, account: _Account, now: float) -> float:
        """Mint what has come since the last time; return how much."""
        minted = 0.0
        for span in self.rights.list_spans(account.minted_at):
            rate = account.pace.rate * span.part
            account.pile.mint(now, span.start, span.end, rate)
            minted += rate * (span.end - span.start)
        return minted

    def _find_pace(self, team: catalog.Team) -> _Pace:
        bounds = self.bounds
        rate = bounds.find_refill_rate(team)
        return _Pace(team, bounds, rate, bounds.find_life(team))

    def _change_pace(self, account: _Account, pace: _Pace) -> None:
        """Go on by another rate or other bounds."""
        if not math.isclose(account.pace.life_s, pace.life_s):
            account.pile = account.pile.change_life(
                trio.current_time(), pace.life_s
            )
        account.pace = pace

    def _note_asked(self, account: _Account, units: float) -> None:
        now = trio.current_time()
        account.asked = account.find_asked(now) + units / _DEMAND_MEMORY_S
        account.asked_at = now


def create_quota_ledger(
    bounds: terms.ToleranceBounds,
    mint_rights: refill_shares.RefillShares,
    notify_soon: Callable[[], None],
) -> QuotaLedger:
    """Return a ledger without units."""
    return QuotaLedger(bounds, mint_rights, notify_soon)
