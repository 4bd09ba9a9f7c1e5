"""Define what a ledger of allowances is told and what it tells."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import catalog

__all__ = ["FleetFacts", "Standing", "ToleranceBounds"]

# The parts of the tolerated overrun and slack that are given away. The rest
# is for what daemons spend at the same moment without knowing of each other,
# and for the last request, which may be larger than the room for it.
_USED_OVERRUN = 0.5
_USED_SLACK = 0.3


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

    def find_limit(self, team: catalog.Team) -> float:
        """Return the units that a team may spend in the window."""
        allowance = team.rate * self.window_s + team.burst
        overrun = _USED_OVERRUN * self.overrun * allowance
        return allowance + overrun + _USED_SLACK * self.slack


@dataclasses.dataclass(frozen=True)
class FleetFacts:
    """What a ledger asks of the fleet.

    Attributes:
        count_daemons: Returns how many daemons share the allowances.
        find_silence: Returns after how many seconds a daemon is silent.
        hurry: Has this daemon's spending told soon.
        is_listed: Tells whether it is known who else there is.
    """

    count_daemons: Callable[[], int]
    find_silence: Callable[[], float]
    hurry: Callable[[], None]
    is_listed: Callable[[], bool] = lambda: False


@dataclasses.dataclass(frozen=True)
class Standing:
    """A team's account as far as it decides on the next request.

    Attributes:
        used: Units spent in the window, by all daemons.
        limit: What may be spent in it.
        level: What is in the bucket.
        grant: What this daemon may spend until it hears of others.
        news_age_s: Since the daemon that was heard longest ago was heard.
    """

    used: float = 0.0
    limit: float = 0.0
    level: float = 0.0
    grant: float = 0.0
    news_age_s: float = 0.0
