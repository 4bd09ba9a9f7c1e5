"""Build daemons that share allowances, without links or a log of their own."""

from __future__ import annotations

import dataclasses
import math

import trio

from martenquay_daemon.allowances import (
    quota_ledger,
    refill_shares,
    sharing,
    terms,
)
from martenquay_daemon.fleet import roster, send_times
from tests import serving_builders as builders

__all__ = [
    "BOUNDS",
    "TEAM",
    "FleetDaemon",
    "FleetLog",
    "News",
    "OwnKeeper",
    "build_escrow",
    "build_rights",
    "find_bound",
]

# One team of a small site, in tokens a second and tokens.
TEAM = builders.build_team(rate=46_000.0, burst=46_000.0)
BOUNDS = terms.ToleranceBounds(8.0, 0.1, 72_000.0)
# A request waits so long for units of other daemons.
_WAIT_S = 0.2


def find_bound() -> float:
    """Return the units that are tolerated in any window."""
    allowance = TEAM.rate * BOUNDS.window_s + TEAM.burst
    return allowance * (1 + BOUNDS.overrun) + BOUNDS.slack


def build_rights(part: float = 1.0) -> refill_shares.RefillShares:
    """Return what a daemon may mint that always had a part of the rate."""
    own = refill_shares.RateShare(part, -math.inf)
    return refill_shares.RefillShares(lambda: own, BOUNDS.window_s)


def build_escrow(
    part: float = 1.0, bounds: terms.ToleranceBounds = BOUNDS
) -> quota_ledger.QuotaLedger:
    """Return the units of one daemon with a part of the rate."""
    return quota_ledger.create_quota_ledger(
        bounds, build_rights(part), lambda: None
    )


class OwnKeeper:
    """Implement `gate.QuotaHolders` for a daemon that keeps its own units."""

    def holds_quota_here(self) -> bool:
        """Tell that it does."""
        return True

    async def ask(
        self, team: str, wish: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return nothing: nobody else keeps any."""
        del team, wish
        return None

    async def ask_address(
        self, address: str, team: str, wish: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return nothing: nobody else is reached."""
        del address, team, wish
        return None


@dataclasses.dataclass(frozen=True)
class _Announcement:
    instance: str
    is_counted: bool


@dataclasses.dataclass
class FleetLog:
    """What daemons find in the platform's log.

    Attributes:
        announcements: Of instances, in their order.
    """

    announcements: list[_Announcement] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class News:
    """What one daemon tells the others.

    Attributes:
        instance: Its instance.
        member: The process that tells it.
        number: Counts its news.
        members_end: Up to where it has read the announcements.
        holdings: Its units by team.
        gifts: Units that it hands to others, by member.
    """

    instance: str
    member: str
    number: int
    members_end: int
    holdings: dict[str, sharing.QuotaBalance]
    gifts: dict[str, quota_ledger.QuotaTransfer]


@dataclasses.dataclass(frozen=True)
class _Waiting:
    units: float
    missing: float
    until: float


class FleetDaemon:
    """One daemon's allowances and how it hears of others'.

    Attributes:
        instance: Its instance.
        member: Its process.
        is_hurried: It has news that cannot wait.
    """

    def __init__(self, instance: str, process: int, log: FleetLog) -> None:
        self.instance = instance
        self.member = f"{instance}.{process}"
        self.is_hurried = False
        self._number = 0
        self._heard: dict[str, int] = {}
        self._log = log
        self._end = 0
        self._has_announced = False
        self._has_told = False
        self._roster = roster.Roster(instance)
        self._told = send_times.SendTimes()
        self._waiting: list[_Waiting] = []
        mint_rights = refill_shares.RefillShares(
            lambda: refill_shares.RateShare(
                self._roster.find_own_share(), self._roster.share_since
            ),
            BOUNDS.window_s,
        )
        self._units = quota_ledger.create_quota_ledger(
            BOUNDS, mint_rights, self._hurry
        )
        self._units.refill([TEAM])

    def _hurry(self) -> None:
        self.is_hurried = True

    def read_log(self) -> None:
        """Read the log at the start, and what is new in it later."""
        found = self._log.announcements
        for offset in range(self._end, len(found)):
            one = found[offset]
            self._roster.note_listed(
                one.instance, offset, is_counted=one.is_counted
            )
        self._end = len(found)
        is_counted = self._roster.counted.is_set()
        if not self._has_announced or (is_counted and not self._has_told):
            self._has_announced = True
            self._has_told = is_counted
            found.append(_Announcement(self.instance, is_counted))

    def write_log(self) -> None:
        """Write what lasts besides: nothing."""

    def ask(self, units: float) -> bool:
        """Ask for units for the team; tell whether they may be spent."""
        match self._units.try_spend(TEAM, terms.AdmissionRequest(units)):
            case terms.Admitted():
                return True
            case terms.HeldElsewhere(missing=missing):
                self._units.note_shortage(TEAM, missing)
                until = trio.current_time() + _WAIT_S
                self._waiting.append(_Waiting(units, missing, until))
        return False

    def take_late(self) -> list[float]:
        """Return the units of requests that were let in after a wait."""
        admitted = []
        for one in list(self._waiting):
            verdict = self._units.try_spend(
                TEAM, terms.AdmissionRequest(one.units), is_again=True
            )
            is_admitted = isinstance(verdict, terms.Admitted)
            if is_admitted:
                admitted.append(one.units)
            if is_admitted or trio.current_time() >= one.until:
                self._units.note_shortage(TEAM, -one.missing)
                self._waiting.remove(one)
        return admitted

    def tell(self) -> News:
        """Return news for the others."""
        self._units.refill([TEAM])
        self.is_hurried = False
        self._number += 1
        self._told.note(self._number)
        gifts = self._units.create_transfers([TEAM])
        return News(
            self.instance,
            self.member,
            self._number,
            self._end,
            self._units.list_holdings(),
            gifts,
        )

    def hear(self, news: News) -> None:
        """Take another daemon's news; older ones than known are dropped."""
        if news.number <= self._heard.get(news.member, 0):
            return
        self._heard[news.member] = news.number
        self._roster.note_read_end(news.instance, news.members_end)
        self._units.apply_balances(news.member, news.number, news.holdings)
        gift = news.gifts.get(self.member)
        told_at = self._told.find(gift.heard) if gift is not None else None
        if gift is not None and told_at is not None:
            self._units.accept_transfer(gift, told_at)
