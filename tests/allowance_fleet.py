"""Build daemons that share allowances, without links or a log of their own."""

from __future__ import annotations

import dataclasses

import trio

from martenquay_daemon.allowances import ledger, terms
from tests import serving_builders as builders

__all__ = ["BOUNDS", "TEAM", "FleetDaemon", "FleetLog", "News", "find_bound"]

# One team of a small site, in tokens a second and tokens.
TEAM = builders.build_team(rate=46_000.0, burst=46_000.0)
BOUNDS = terms.ToleranceBounds(8.0, 0.1, 72_000.0)
_SILENT_S = 1.2
_FIRST_NEWS = 10


def find_bound() -> float:
    """Return the units that are tolerated in any window."""
    allowance = TEAM.rate * BOUNDS.window_s + TEAM.burst
    return allowance * (1 + BOUNDS.overrun) + BOUNDS.slack


@dataclasses.dataclass
class FleetLog:
    """What daemons find in the platform's log.

    Attributes:
        listed: The instances that have announced themselves.
        sums: Units spent, as they were last written.
        sums_at: When that was, in trio's time.
    """

    listed: list[str] = dataclasses.field(default_factory=list)
    sums: dict[str, float] = dataclasses.field(default_factory=dict)
    sums_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class News:
    """What one daemon tells the others.

    Attributes:
        member: The process that tells it.
        number: Counts its news.
        spent: Units by team since it started.
        used: Units by team that it knows of.
    """

    member: str
    number: int
    spent: dict[str, float]
    used: dict[str, float]


class FleetDaemon:
    """One daemon's allowances and how it hears of others'.

    Attributes:
        instance: Its instance.
        member: Its process.
    """

    def __init__(self, instance: str, process: int, log: FleetLog) -> None:
        self.instance = instance
        self.member = f"{instance}.{process}"
        self._number = 0
        self._heard: dict[str, int] = {}
        self._listed: set[str] = {instance}
        self._log = log
        facts = terms.FleetFacts(
            lambda: len(self._listed), lambda: _SILENT_S, lambda: None
        )
        self._ledger = ledger.create_ledger(BOUNDS, facts)
        self._ledger.refill([TEAM])

    def read_log(self) -> None:
        """Read the log at the start, and what is new in it later."""
        if self.instance not in self._log.listed:
            self._log.listed.append(self.instance)
        is_first = len(self._listed) == 1
        self._listed |= set(self._log.listed)
        if is_first and self._log.sums:
            age_s = trio.current_time() - self._log.sums_at
            self._ledger.note_past(self._log.sums, age_s, 1.0)

    def write_log(self) -> None:
        """Write the sums, as the daemon whose duty that is."""
        self._log.sums = dict(self._ledger.list_used())
        self._log.sums_at = trio.current_time()

    def ask(self, units: float) -> bool:
        """Ask for units for the team; tell whether they may be spent."""
        return self._ledger.take(TEAM, units) == 0.0

    def tell(self) -> News:
        """Return news for the others."""
        self._ledger.refill([TEAM])
        self._number += 1
        return News(
            self.member,
            self._number,
            dict(self._ledger.list_own()),
            self._ledger.list_known(),
        )

    def hear(self, news: News) -> None:
        """Take another daemon's news; older ones than known are dropped."""
        if news.number <= self._heard.get(news.member, 0):
            return
        self._heard[news.member] = news.number
        self._ledger.note_used(news.used)
        is_new = news.number <= _FIRST_NEWS
        self._ledger.note_spending(news.member, news.spent, is_new=is_new)
