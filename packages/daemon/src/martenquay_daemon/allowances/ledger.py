"""Share each team's allowance among all daemons without asking anyone.

Every daemon keeps the team's whole allowance and takes from it what the
others say they have spent. A daemon that is not heard from is assumed to
spend what it lately did, and never less than an even part of the rate; so
both sides of a cut together stay inside the rate, and nobody has to answer
before a request may go on.

Two bounds hold together. The sum of the last seconds stays inside what the
platform's operators tolerate; a team that asks for more than its allowance
gets all of it, and only what is beyond is refused. A bucket keeps it from
spending that sum at once, which would slow everybody else's requests down.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.allowances import accounts, terms, window

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from martenquay_core.serving import catalog

__all__ = [
    "AllowanceLedger",
    "create_ledger",
]

# After this part of the time in which a daemon counts as silent, it is
# assumed to have gone on spending since it was heard. What it then tells
# takes the place of what was assumed, so a false alarm costs nothing.
_SILENT_PART = 0.5
# The bucket: a quarter more than the rate fills the window in 6 s.
_BUCKET_RATE = 1.25
_BUCKET_BURST = 1.5
# If nobody says that it is known who else there is, it is taken as known so
# long after the start: reading it in the log takes 20 to 60 ms.
_LISTED_S = 0.3
# For one window after a common restart this part of the limit is kept back: the
# sums that were written and what is assumed of the time after are not exact,
# and the hunts were up to 0.6% over the bound.
_RESTART_RESERVE = 0.06
# What a common restart takes, in seconds, from the last moment in which daemons
# still served to the reading of the sums.
_RESTART_S = 2.0
# The part of the window that each step of urgency leaves to the more urgent.
_RESERVE = 0.02
_MOST_RESERVE = 0.15
# A daemon's part of the room that is left is reckoned anew when others are
# heard, but not more often than they are in a small fleet; without news after
# the second time.
_GRANT_S = 0.2
_LONGEST_GRANT_S = 1.0
# A caller that is told to come back sooner only meets the same refusal.
_LEAST_WAIT_S = 0.1
# Above this part of a full window, spending is told at once.
_HIGH_TOTAL = 0.6
# After this long a daemon's own sum is as good as any other's.
_GUESS_S = 8.0


class AllowanceLedger:
    """The teams' allowances as this daemon sees them.

    Attributes:
        bounds: What is tolerated; may be replaced.
    """

    def __init__(
        self, bounds: terms.ToleranceBounds, fleet: terms.FleetFacts
    ) -> None:
        self.bounds = bounds
        self._fleet = fleet
        self._accounts: dict[str, accounts.Account] = {}
        self._own: dict[str, float] = {}
        self._past = accounts.Past({}, -math.inf, 0.0)
        self._listed_at = trio.current_time() + _LISTED_S

    def take(self, team: catalog.Team, units: float, reserve: int = 0) -> float:
        """Spend units; return 0, or the seconds until there may be room.

        Whether a request passes does not depend on its size, or the large
        ones would starve while small ones keep the allowance used up.

        Args:
            team: Who spends.
            units: What the request costs.
            reserve: Steps of urgency to leave room for; 0 for the most
                urgent.
        """
        if team.rate <= 0:
            return 0.0
        now = trio.current_time()
        account = self._refill(team)
        limit = account.limit
        kept = min(_MOST_RESERVE, _RESERVE * reserve)
        excess = account.used.total - (1 - kept) * limit
        if excess >= 0:
            wait_s = account.used.find_wait(now, excess)
            return max(wait_s, _LEAST_WAIT_S)
        missing = kept * _BUCKET_BURST * team.burst - account.level
        if missing >= 0:
            # While few others are heard, little of the refill is this
            # daemon's. Callers that were told the time of the whole refill
            # came back after a restart to be refused a second time.
            refill = _BUCKET_RATE * team.rate * account.part
            return max(missing / refill, _LEAST_WAIT_S)
        if account.grant <= 0:
            return _GRANT_S
        account.spend(now, units)
        self._own[team.name] = self._own.get(team.name, 0.0) + units
        if account.used.total > _HIGH_TOTAL * limit:
            self._fleet.hurry()
        return 0.0

    def has_room(self, team: catalog.Team, reserve: int = 0) -> bool:
        """Tell whether the window leaves room for a request."""
        account = self._refill(team)
        kept = min(_MOST_RESERVE, _RESERVE * reserve)
        return account.used.total < (1 - kept) * account.limit

    def note_spent(self, team: catalog.Team, units: float) -> None:
        """Count units that were spent here on another ground."""
        if team.rate <= 0:
            return
        self._refill(team).spend(trio.current_time(), units)
        self._own[team.name] = self._own.get(team.name, 0.0) + units

    def refill(self, teams: Iterable[catalog.Team]) -> None:
        """Bring the accounts of all teams up to now."""
        for team in teams:
            if team.rate > 0:
                self._refill(team)

    def give_back(self, team: catalog.Team, units: float) -> None:
        """Return units of a request that did not run."""
        account = self._accounts.get(team.name)
        if account is None or team.rate <= 0:
            return
        account.spend(trio.current_time(), -units)
        self._own[team.name] -= units

    def find_used(self, team: str) -> float:
        """Return what a team has spent in the window."""
        return self.describe(team).used

    def describe(self, team: str) -> terms.Standing:
        """Return what decides on a team's next request, for the log."""
        account = self._accounts.get(team)
        if account is None:
            return terms.Standing()
        return terms.Standing(
            account.used.total,
            account.limit,
            account.level,
            account.grant,
            account.find_news_age(trio.current_time()),
        )

    def list_own(self) -> dict[str, float]:
        """Return what this daemon has spent since it started, by team."""
        return self._own

    def list_known(self) -> dict[str, float]:
        """Return the sums of what this daemon has itself seen or been told."""
        return {
            team: round(account.used.total, 1)
            for team, account in self._accounts.items()
            if not account.is_guessed and not account.is_reckoned
        }

    def list_used(self) -> dict[str, float]:
        """Return the sums that are more than a new daemon's guess."""
        return {
            team: round(account.used.total, 1)
            for team, account in self._accounts.items()
            if not account.is_guessed
        }

    def note_used(self, sums: Mapping[str, float]) -> None:
        """Take what another daemon knows in place of what is not known here.

        That goes for sums that were read in the log as well. A daemon that
        restarts alone reads what was written seconds ago, while the others
        spent on; one went by that and spent 0.7 of 2.4 million units when
        nothing was left.
        """
        for team, units in sums.items():
            account = self._accounts.get(team)
            if account is None:
                continue
            if account.is_guessed or account.is_reckoned:
                self._replace_guess(account, trio.current_time(), units)

    def note_past(
        self, sums: Mapping[str, float], age_s: float, period_s: float
    ) -> None:
        """Take sums that were written before all daemons started anew.

        Args:
            sums: Units spent in the window that ended when they were
                written, by team.
            age_s: Since they were written.
            period_s: How long spending may have gone on unwritten.
        """
        self._past = accounts.Past(
            dict(sums), trio.current_time() - age_s, period_s
        )
        for team, account in self._accounts.items():
            if account.is_guessed and team in self._past.sums:
                self._fill_from_past(account, team)

    def note_spending(
        self,
        source: str,
        totals: Mapping[str, float],
        daemons: int = 1,
        *,
        is_new: bool = False,
    ) -> None:
        """Take what others have spent.

        Args:
            source: Who tells it: a daemon, or a zone's hub.
            totals: Units by team, since the source began to count.
            daemons: How many have spent that.
            is_new: It began to count a moment ago.
        """
        now = trio.current_time()
        for team, account in self._accounts.items():
            total = totals.get(team, 0.0)
            known = account.others.get(source)
            if known is None:
                # What was spent before this daemon knew of it is over, but
                # for a source that started with this daemon: without its
                # part a greedy team got 1% more than is tolerated.
                known = accounts.Spending(total, heard_at=now)
                account.others[source] = known
                if is_new:
                    excess = total - daemons * account.assumed_each
                    account.charge(now, max(0.0, excess))
            else:
                accounts.settle(account, known, total, now)
            known.daemons = daemons
            is_old = now - account.granted_at >= _GRANT_S
            if is_old and account.is_begun:
                account.renew_grant(now, max(1, self._fleet.count_daemons()))

    def forget_source(self, source: str) -> None:
        """Drop a source that is gone for good."""
        for account in self._accounts.values():
            account.others.pop(source, None)

    def forget_sources(self) -> None:
        """Drop all sources; those who come next are new."""
        for account in self._accounts.values():
            account.others.clear()

    def _refill(self, team: catalog.Team) -> accounts.Account:
        now = trio.current_time()
        account = self._accounts.get(team.name)
        if account is None:
            account = self._open(team, now)
        elapsed_s = now - account.filled_at
        account.filled_at = now
        account.used.slide(now)
        daemons = max(1, self._fleet.count_daemons())
        absent = self._count_absent(account, now, daemons)
        # What is absent daemons' part of the bucket is not this one's to
        # spend; the others all reckon like this.
        account.part = max(1, daemons - absent) / daemons
        account.size = _BUCKET_BURST * team.burst
        filled = _BUCKET_RATE * team.rate * elapsed_s * account.part
        level = account.level + filled
        account.level = max(-account.size, min(account.size, level))
        if now - account.started_at > _GUESS_S:
            account.is_guessed = False
            account.is_reckoned = False
        unheard = self._assume(team, account, now, elapsed_s)
        if unheard:
            # Only the window keeps the bound. A bucket that was charged for
            # daemons that have not spent anything would refuse everybody
            # while a large fleet starts.
            account.used.add(now, unheard)
        account.limit = self._find_limit(account, team, now)
        self._begin(account, now)
        is_old = now - account.granted_at >= _LONGEST_GRANT_S
        if is_old and account.is_begun:
            account.renew_grant(now, daemons)
        return account

    def _find_limit(
        self, account: accounts.Account, team: catalog.Team, now: float
    ) -> float:
        """Return what may be spent, less while the past is only reckoned."""
        limit = self.bounds.find_limit(team)
        if now - account.restarted_at < self.bounds.window_s:
            limit *= 1 - _RESTART_RESERVE
        return limit

    def _count_absent(
        self, account: accounts.Account, now: float, daemons: int
    ) -> int:
        """Return how many daemons are not heard now, or were never."""
        heard = sum(known.daemons for known in account.others.values())
        silent = sum(
            known.daemons
            for known in account.others.values()
            if self._is_silent(known, now)
        )
        return max(0, daemons - 1 - heard) + silent

    def _is_silent(self, known: accounts.Spending, now: float) -> bool:
        limit_s = _SILENT_PART * self._fleet.find_silence()
        return now - known.heard_at > limit_s

    def _open(self, team: catalog.Team, now: float) -> accounts.Account:
        """Open an account whose window counts as full.

        A daemon that starts anew has forgotten what it spent a moment ago.
        Until it hears from others it lets in what leaves the window, which
        is more than the team's rate.
        """
        used = window.SlidingWindow(self.bounds.window_s)
        limit = self.bounds.find_limit(team)
        used.fill_evenly(now, limit)
        account = accounts.Account(
            limit,
            used,
            started_at=now,
            filled_at=now,
            size=_BUCKET_BURST * team.burst,
            own=window.SlidingWindow(self.bounds.window_s),
        )
        self._accounts[team.name] = account
        if team.name in self._past.sums:
            self._fill_from_past(account, team.name)
        return account

    def _fill_from_past(self, account: accounts.Account, team: str) -> None:
        """Take what was written, and the most for the time after it."""
        now = trio.current_time()
        past = self._past
        age_s = max(0.0, now - past.written_at)
        # Sums that are older than a restart takes were not written for long
        # before it: the log was away, or nobody had the lease.
        unwritten_s = max(
            min(age_s, past.period_s), age_s - past.period_s - _RESTART_S
        )
        most = account.limit / self.bounds.window_s
        account.used.fill_evenly(past.written_at, past.sums[team])
        account.used.add(past.written_at + unwritten_s, most * unwritten_s)
        account.used.slide(now)
        account.is_guessed = False
        account.is_reckoned = True
        account.restarted_at = now
        # How many share it is known a moment later; one alone would take all.
        account.is_begun = False
        self._begin(account, now)

    def _begin(self, account: accounts.Account, now: float) -> None:
        """Give a daemon that starts with all others its first part."""
        if account.is_begun:
            return
        # Waiting the whole time refuses all that comes in the first 0.3 s
        # after a common restart, when callers that waited come at once.
        if now < self._listed_at and not self._fleet.is_listed():
            return
        account.is_begun = True
        daemons = max(1, self._fleet.count_daemons())
        # Most teams' buckets are full. What others take from this one is
        # charged when they are heard; until then the grant keeps this daemon
        # to its part. With a part of the bucket as well, 140 to 230 requests
        # were refused in the first 0.5 s, while half of the limit was free.
        account.level = account.size
        account.renew_grant(now, daemons)

    def _replace_guess(
        self, account: accounts.Account, now: float, units: float
    ) -> None:
        # The other may not have heard yet what was spent here since the start.
        units += account.own.total
        account.used.fill_evenly(now, units)
        account.is_guessed = False
        account.is_reckoned = False
        account.renew_grant(now, max(1, self._fleet.count_daemons()))

    def _assume(
        self,
        team: catalog.Team,
        account: accounts.Account,
        now: float,
        elapsed_s: float,
    ) -> float:
        """Return what others likely spent since they were last heard."""
        daemons = max(1, self._fleet.count_daemons())
        # Each side of a cut may spend what it does not assume of the other;
        # with even parts of all that may be spent, the sum is no more.
        most = self.bounds.find_limit(team) / self.bounds.window_s
        even = most / daemons
        # Daemons that were announced and never heard may be across a cut.
        heard = sum(known.daemons for known in account.others.values())
        unheard = max(0, daemons - 1 - heard)
        units = unheard * even * elapsed_s
        account.assumed_each += even * elapsed_s
        for known in account.others.values():
            # Also between two reports: a greedy team spends much in that time.
            rate = known.rate
            if self._is_silent(known, now):
                rate = max(rate, even * known.daemons)
            likely = min(most, rate) * (now - known.heard_at)
            units += max(0.0, likely - known.assumed)
            known.assumed = max(known.assumed, likely)
        return units


def create_ledger(
    bounds: terms.ToleranceBounds, fleet: terms.FleetFacts
) -> AllowanceLedger:
    """Return a ledger without accounts."""
    return AllowanceLedger(bounds, fleet)
