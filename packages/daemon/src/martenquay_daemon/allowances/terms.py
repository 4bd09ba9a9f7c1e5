"""Define what a ledger of allowances is told and what it tells."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import catalog

__all__ = [
    "Admitted",
    "AdmissionDecision",
    "HeldElsewhere",
    "Refused",
    "ToleranceBounds",
    "QuotaStatus",
    "Verdict",
    "AdmissionRequest",
]

# Units reach a runner so much later than they are spent here, at the most but
# for connections that take several tries; a window may seem longer by that.
_DELIVERY_DELAY_S = 0.25
# Of the slack, this part may be owed, for requests larger than what is there.
_OVERDRAFT_RATIO = 0.9
# How long a minted unit may be spent follows from the steady rate, which is so
# many times the team's own; what is tolerated beyond that may be spent at once.
# A longer life is for arrivals in clumps and for the way to another daemon (0.1
# to 0.3 s), a higher rate for teams that always ask for more than they may.
_STEADY_RATE_RATIO = 1.05
_MAX_UNIT_LIFE_S = 4.0
_MIN_UNIT_LIFE_S = 0.4


@dataclasses.dataclass(frozen=True)
class ToleranceBounds:
    """How much more than its allowance a team may get.

    Attributes:
        window_s: The time over which its units are counted.
        overrun: Tolerated in it, as a share of the allowance.
        slack: Units tolerated beyond that.
    """

    window_s: float
    overrun: float
    slack: float

    def find_unit_life(self, team: catalog.Team) -> float:
        """Return for how many seconds a unit may be spent."""
        steady_s = self._find_refill_limit(team) / (
            _STEADY_RATE_RATIO * team.rate
        )
        life_s = steady_s - self.window_s - _DELIVERY_DELAY_S
        return min(_MAX_UNIT_LIFE_S, max(_MIN_UNIT_LIFE_S, life_s))

    def find_refill_rate(self, team: catalog.Team) -> float:
        """Return the units a second that all daemons together may mint.

        What is spent in a window was minted in it or one lifetime before it,
        or is owed.
        """
        span_s = self.window_s + self.find_unit_life(team) + _DELIVERY_DELAY_S
        return self._find_refill_limit(team) / span_s

    def find_max_overdraft(self) -> float:
        """Return what all daemons together may spend before it is minted."""
        return _OVERDRAFT_RATIO * self.slack

    def _find_refill_limit(self, team: catalog.Team) -> float:
        allowance = team.rate * self.window_s + team.burst
        tolerated = allowance * (1 + self.overrun) + self.slack
        return tolerated - self.find_max_overdraft()


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """What a request asks of its team's allowance.

    Attributes:
        units: What it costs.
        reserve: Steps of urgency to leave room for; 0 for the most urgent.
        is_late: Its caller has tried before, and its answer cannot be on time
            any more.
        max_wait_s: How long it may wait where nothing is known of units yet.
    """

    units: float
    reserve: int = 0
    is_late: bool = False
    max_wait_s: float = 0.6


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The units are spent."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The units are not there, here or elsewhere."""


@dataclasses.dataclass(frozen=True)
class HeldElsewhere:
    """Other daemons likely have what is missing here.

    Attributes:
        missing: Units that this daemon lacks.
        holder: The address of one that has all that the request takes; empty
            if none has.
    """

    missing: float
    holder: str = ""


Verdict = Admitted | Refused | HeldElsewhere


@dataclasses.dataclass(frozen=True)
class QuotaStatus:
    """A team's units at this daemon, for the log.

    Attributes:
        there: Units that may be spent.
        owed: Units that were spent before they were there.
        part: Of the team's rate that this daemon mints.
        asked: Units a second that callers ask for.
    """

    there: float = 0.0
    owed: float = 0.0
    part: float = 0.0
    asked: float = 0.0


@dataclasses.dataclass(frozen=True)
class AdmissionDecision:
    """What became of a request's wish.

    Attributes:
        retry_s: 0 if the units are spent; else when its caller should come
            back.
        units: What decided it.
        kept_at: The daemon that decided, if it was another one.
    """

    retry_s: float
    units: QuotaStatus = QuotaStatus()
    kept_at: str = ""

    @property
    def is_admitted(self) -> bool:
        """Whether the request may go on."""
        return self.retry_s <= 0
