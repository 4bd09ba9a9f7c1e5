"""Build daemons that share allowances, with simulated links and log."""

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
    "DaemonMessage",
    "LocalQuota",
    "build_ledger",
    "build_refill_shares",
    "find_bound",
]

# In tokens per second and tokens.
TEAM = builders.build_team(rate=46_000.0, burst=46_000.0)
BOUNDS = terms.ToleranceBounds(8.0, 0.1, 72_000.0)
# As in `allowances.gate`.
_WAIT_S = 0.2


def find_bound() -> float:
    """Return the most units that may be spent in any window."""
    allowance = TEAM.rate * BOUNDS.window_s + TEAM.burst
    return allowance * (1 + BOUNDS.overrun) + BOUNDS.slack


def build_refill_shares(share: float = 1.0) -> refill_shares.RefillShares:
    """Return the refill shares of a daemon whose own share is constant."""
    own = refill_shares.RateShare(share, -math.inf)
    return refill_shares.RefillShares(lambda: own, BOUNDS.window_s)


def build_ledger(
    share: float = 1.0, bounds: terms.ToleranceBounds = BOUNDS
) -> quota_ledger.QuotaLedger:
    """Return the ledger of one daemon with a constant share."""
    return quota_ledger.create_quota_ledger(
        bounds, build_refill_shares(share), lambda: None
    )


class LocalQuota:
    """Implements `gate.QuotaHolders` for a daemon that holds its own quota."""

    def holds_quota_here(self) -> bool:
        """Return True."""
        return True

    async def ask(
        self, team: str, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return None: there is no quota hub."""
        del team, request
        return None

    async def ask_address(
        self, address: str, team: str, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return None: no other daemon is reachable."""
        del address, team, request
        return None


@dataclasses.dataclass(frozen=True)
class _Announcement:
    instance: str
    is_counted: bool


@dataclasses.dataclass
class FleetLog:
    """The simulated log of the platform.

    Attributes:
        announcements: The instances' announcements, the oldest first.
    """

    announcements: list[_Announcement] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class DaemonMessage:
    """One daemon's message to the others.

    Attributes:
        instance: The sender's instance.
        member: The sender's process.
        number: Counts the sender's messages.
        members_end: The offset up to which it has read the announcements.
        balances: Its balances by team.
        transfers: Its quota transfers, by the receiver's process.
    """

    instance: str
    member: str
    number: int
    members_end: int
    balances: dict[str, sharing.QuotaBalance]
    transfers: dict[str, quota_ledger.QuotaTransfer]


@dataclasses.dataclass(frozen=True)
class _WaitingRequest:
    units: float
    missing: float
    deadline: float


class FleetDaemon:
    """A simulated daemon with a quota ledger and a roster.

    Attributes:
        instance: Its instance.
        member: Its process.
        is_message_urgent: Its next message is to be sent early.
    """

    def __init__(self, instance: str, process: int, log: FleetLog) -> None:
        self.instance = instance
        self.member = f"{instance}.{process}"
        self.is_message_urgent = False
        self._number = 0
        self._received: dict[str, int] = {}
        self._log = log
        self._end = 0
        self._has_announced = False
        self._has_announced_counted = False
        self._roster = roster.Roster(instance)
        self._sent = send_times.SendTimes()
        self._waiting: list[_WaitingRequest] = []
        shares = refill_shares.RefillShares(
            lambda: refill_shares.RateShare(
                self._roster.find_own_share(), self._roster.share_since
            ),
            BOUNDS.window_s,
        )
        self._ledger = quota_ledger.create_quota_ledger(
            BOUNDS, shares, self._request_early_message
        )
        self._ledger.refill([TEAM])

    def _request_early_message(self) -> None:
        self.is_message_urgent = True

    def read_log(self) -> None:
        """Read new announcements, and announce this daemon if it is due."""
        found = self._log.announcements
        for offset in range(self._end, len(found)):
            announced = found[offset]
            self._roster.note_listed(
                announced.instance, offset, is_counted=announced.is_counted
            )
        self._end = len(found)
        is_counted = self._roster.counted.is_set()
        if not self._has_announced or (
            is_counted and not self._has_announced_counted
        ):
            self._has_announced = True
            self._has_announced_counted = is_counted
            found.append(_Announcement(self.instance, is_counted))

    def write_log(self) -> None:
        """Do nothing: a daemon of a small fleet stores nothing else."""

    def ask(self, units: float) -> bool:
        """Request quota for the team; return whether it is admitted at once."""
        match self._ledger.try_spend(TEAM, terms.AdmissionRequest(units)):
            case terms.Admitted():
                return True
            case terms.HeldElsewhere(missing=missing):
                self._ledger.note_shortage(TEAM, missing)
                deadline = trio.current_time() + _WAIT_S
                self._waiting.append(_WaitingRequest(units, missing, deadline))
        return False

    def admit_waiting(self) -> list[float]:
        """Retry waiting requests; return the units of those now admitted."""
        admitted = []
        for waiting in list(self._waiting):
            verdict = self._ledger.try_spend(
                TEAM, terms.AdmissionRequest(waiting.units), is_again=True
            )
            is_admitted = isinstance(verdict, terms.Admitted)
            if is_admitted:
                admitted.append(waiting.units)
            if is_admitted or trio.current_time() >= waiting.deadline:
                self._ledger.note_shortage(TEAM, -waiting.missing)
                self._waiting.remove(waiting)
        return admitted

    def create_message(self) -> DaemonMessage:
        """Return the next message to the other daemons."""
        self._ledger.refill([TEAM])
        self.is_message_urgent = False
        self._number += 1
        self._sent.note(self._number)
        transfers = self._ledger.create_transfers([TEAM])
        return DaemonMessage(
            self.instance,
            self.member,
            self._number,
            self._end,
            self._ledger.list_balances(),
            transfers,
        )

    def apply_message(self, message: DaemonMessage) -> None:
        """Process another daemon's message, unless a newer one came first."""
        if message.number <= self._received.get(message.member, 0):
            return
        self._received[message.member] = message.number
        self._roster.note_read_end(message.instance, message.members_end)
        self._ledger.apply_balances(
            message.member, message.number, message.balances
        )
        transfer = message.transfers.get(self.member)
        sent_at = (
            self._sent.find(transfer.heard) if transfer is not None else None
        )
        if transfer is not None and sent_at is not None:
            self._ledger.accept_transfer(transfer, sent_at)
