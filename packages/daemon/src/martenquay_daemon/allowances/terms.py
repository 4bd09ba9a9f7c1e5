"""Define requests for quota, their outcomes and the tolerated excess."""

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

# Spent units reach a runner up to this much later, which can move them into
# another window.
_DELIVERY_DELAY_S = 0.25
# Part of the slack that may be overdrawn, for requests larger than the units
# that are available.
_OVERDRAFT_RATIO = 0.9
# Ratio of the refill rate to the team's own rate. A higher ratio shortens the
# lifetime of units, and with it the bursts that the quota covers and the time
# for transfers (0.1 to 0.3 s), but serves teams that always ask for more.
_STEADY_RATE_RATIO = 1.05
_MAX_UNIT_LIFE_S = 4.0
_MIN_UNIT_LIFE_S = 0.4


@dataclasses.dataclass(frozen=True)
class ToleranceBounds:
    """How much more than its allowance a team may get.

    Attributes:
        window_s: The time over which a team's units are counted.
        overrun: Tolerated excess in the window, as a ratio of the allowance.
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
        """Return the units per second that all daemons together refill.

        Units spent in a window were refilled in it or one lifetime before it,
        or are overdraft.
        """
        span_s = self.window_s + self.find_unit_life(team) + _DELIVERY_DELAY_S
        return self._find_refill_limit(team) / span_s

    def find_max_overdraft(self) -> float:
        """Return the units that all daemons together may overdraw."""
        return _OVERDRAFT_RATIO * self.slack

    def _find_refill_limit(self, team: catalog.Team) -> float:
        allowance = team.rate * self.window_s + team.burst
        tolerated = allowance * (1 + self.overrun) + self.slack
        return tolerated - self.find_max_overdraft()


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """What one request asks of its team's allowance.

    Attributes:
        units: The quota that it costs.
        reserve: Its distance from the highest priority; the larger, the more
            quota it leaves to other requests.
        is_late: Whether it is a caller's retry that can no longer meet its
            deadline.
        max_wait_s: How long it may wait for refill shares to arrive.
        is_resuming: Whether it resumes a stream that its caller has a part
            of; it then waits for quota before new requests get any.
    """

    units: float
    reserve: int = 0
    is_late: bool = False
    max_wait_s: float = 0.6
    is_resuming: bool = False


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The quota is spent."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """Neither this daemon nor the others hold enough quota."""


@dataclasses.dataclass(frozen=True)
class HeldElsewhere:
    """Other daemons probably hold the missing quota.

    Attributes:
        missing: Units that this daemon lacks.
        holder: The address of a daemon that can admit the request alone; empty
            if there is none.
    """

    missing: float
    holder: str = ""


Verdict = Admitted | Refused | HeldElsewhere


@dataclasses.dataclass(frozen=True)
class QuotaStatus:
    """A team's quota at one daemon, for the log.

    Attributes:
        there: Units that may be spent.
        owed: Units that are overdrawn.
        part: Share of the team's refill rate that the daemon uses.
        asked: Units per second that callers request.
    """

    there: float = 0.0
    owed: float = 0.0
    part: float = 0.0
    asked: float = 0.0


@dataclasses.dataclass(frozen=True)
class AdmissionDecision:
    """What became of an admission request.

    Attributes:
        retry_s: 0 if the quota is spent; else the delay until a retry.
        units: The quota figures after the decision.
        kept_at: The daemon that decided, if it was another one.
    """

    retry_s: float
    units: QuotaStatus = QuotaStatus()
    kept_at: str = ""

    @property
    def is_admitted(self) -> bool:
        """Whether the request is admitted."""
        return self.retry_s <= 0
