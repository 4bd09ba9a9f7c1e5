"""Hold what one daemon knows of a team's spending, its own and others'."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_daemon.allowances import window

__all__ = ["Account", "Past", "Spending", "settle"]

# The time over which a daemon's rate of spending is measured; reports may
# come milliseconds apart.
_RATE_MEMORY_S = 2.0


@dataclasses.dataclass
class Spending:
    """What one daemon, or those of a zone, have spent for one team.

    Attributes:
        total: Units since the source began to count.
        daemons: How many have spent that.
        assumed: Units taken as spent since it was heard.
        rate: Units a second, lately.
        heard_at: In trio's time.
    """

    total: float = 0.0
    daemons: int = 1
    assumed: float = 0.0
    rate: float = 0.0
    heard_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class Past:
    """Sums from before this daemon started.

    Attributes:
        sums: Units spent in the window that ended when they were written, by
            team.
        written_at: In trio's time; may lie before this daemon's start.
        period_s: How long spending may have gone on unwritten.
    """

    sums: dict[str, float]
    written_at: float
    period_s: float


@dataclasses.dataclass
class Account:
    """One team's spending as this daemon sees it.

    Attributes:
        limit: Units that may be spent in the window.
        used: What was spent in it, by all.
        started_at: When the account was opened, in trio's time.
        filled_at: When it was last brought up to date.
        size: Of the bucket, in units.
        level: What is in it; less than 0 after large requests.
        part: Of the refill that is this daemon's to spend now.
        own: What this daemon has spent in the same time.
        grant: What this daemon may still spend until it hears of others.
        granted_at: When that was reckoned.
        restarted_at: When sums from before a common restart were taken.
        is_begun: This daemon has had its first part after a common restart.
        is_guessed: Nothing is known of the time before the account.
        is_reckoned: It is known only from sums that were written before.
        assumed_each: Units assumed of each daemon that was never heard.
        others: What other sources have told, by source.
    """

    limit: float
    used: window.SlidingWindow
    started_at: float
    filled_at: float
    size: float
    own: window.SlidingWindow
    level: float = 0.0
    part: float = 1.0
    grant: float = 0.0
    granted_at: float = -math.inf
    restarted_at: float = -math.inf
    is_begun: bool = True
    is_guessed: bool = True
    is_reckoned: bool = False
    assumed_each: float = 0.0
    others: dict[str, Spending] = dataclasses.field(default_factory=dict)

    def find_news_age(self, now: float) -> float:
        """Return the seconds since the one heard longest ago was heard."""
        return max(
            (now - one.heard_at for one in self.others.values()), default=0.0
        )

    def charge(self, now: float, units: float) -> None:
        """Note units spent, here or elsewhere."""
        self.used.add(now, units)
        self.level -= units

    def spend(self, now: float, units: float) -> None:
        """Note units spent here."""
        self.charge(now, units)
        self.own.add(now, units)
        self.grant -= units

    def renew_grant(self, now: float, daemons: int) -> None:
        """Reckon this daemon's part of the room that is left.

        It is what it lately spent of the whole, and an even part at least. A
        request may overdraw it; that is taken from the next.
        """
        self.granted_at = now
        self.own.slide(now)
        share = 1 / daemons
        if self.used.total > 0:
            share = max(share, min(1.0, self.own.total / self.used.total))
        room = max(0.0, self.limit - self.used.total)
        self.grant = min(0.0, self.grant) + share * room


def settle(account: Account, known: Spending, total: float, now: float) -> None:
    """Put what a source has spent in the place of what was assumed."""
    spent = total - known.total
    difference = spent - known.assumed
    if difference:
        account.charge(now, difference)
    elapsed_s = now - known.heard_at
    kept = math.exp(-elapsed_s / _RATE_MEMORY_S)
    known.rate = kept * known.rate + max(0.0, spent) / _RATE_MEMORY_S
    known.total = total
    known.assumed = 0.0
    known.heard_at = now
