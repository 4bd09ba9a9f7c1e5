"""Decide which contents are sent to no runner any more.

A crash ends all that runs at a runner, and one content of it may be at fault.
The one at fault crashes the next runner as well; what merely ran beside it is
answered there. So a content collects strikes until it is answered once, and is
quarantined after three that came one after the other, or after four of which
some came at the same time.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["MOST_ROUNDS", "CrashRecord", "CrashTable"]

# Streams that did no harm were seen to end with two runners in 0.7 s, for they
# were sent on to the one that crashed next. Of 278 that ran on runners which
# crashed in series, one ended with three.
MOST_ROUNDS = 3
# A request that comes to several daemons at once crashes as many runners a
# round; three such rounds would be too many. Runners that end at the same
# moment for a reason of their own are one round, which is no verdict.
_MOST_RUNNERS = 4
_LEAST_ROUNDS = 2
# How long a content is kept out, doubled with each crash after that: a trial
# costs callers a runner for its boot and all that runs there.
_HOLD_S = 3600.0
_LONGEST_HOLD_S = 86_400.0
# Without a crash for so long a content is forgotten.
_FORGET_S = 2 * _LONGEST_HOLD_S
# Each takes 620 bytes of memory, so all 2.5 MB. A runner that ends leaves as
# many as it has slots: this holds the ends of the last 30 runners of 128 slots.
_MOST_CONTENTS = 4096


@dataclasses.dataclass(frozen=True)
class CrashRecord:
    """A runner that ended under a content.

    Attributes:
        content: The content's digest.
        number: One more than the latest known when the request was sent, so
            that runners which end at the same moment, as with a zone or a
            host, are told from those that end one after the other.
        runner: The runner that ended.
    """

    content: str
    number: int
    runner: str


@dataclasses.dataclass
class _Record:
    strikes: set[CrashRecord]
    struck_at: float

    def count_rounds(self) -> int:
        """Return how many came one after the other."""
        return len({strike.number for strike in self.strikes})

    def is_verdict(self) -> bool:
        """Tell whether the content itself is at fault."""
        rounds = self.count_rounds()
        is_wide = len(self.strikes) >= _MOST_RUNNERS
        return rounds >= MOST_ROUNDS or (rounds >= _LEAST_ROUNDS and is_wide)


class CrashTable:
    """Count strikes by content.

    Attributes:
        on_dropped: Told the strikes that are forgotten for their age or for
            want of room.
    """

    def __init__(
        self,
        read_clock: Callable[[], float],
        most_contents: int = _MOST_CONTENTS,
    ) -> None:
        self.on_dropped: Callable[[list[CrashRecord]], None] = _ignore
        self._read_clock = read_clock
        self._most_contents = most_contents
        # The one struck last stands last.
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many contents have strikes."""
        return len(self._records)

    def has(self, strike: CrashRecord) -> bool:
        """Tell whether a strike is known."""
        record = self._records.get(strike.content)
        return record is not None and strike in record.strikes

    def count(self, content: str) -> int:
        """Return the strikes of a content."""
        record = self._records.get(content)
        return len(record.strikes) if record else 0

    def find_latest(self, content: str) -> int:
        """Return the highest number of a content's strikes; 0 for none."""
        record = self._records.get(content)
        if record is None:
            return 0
        return max(strike.number for strike in record.strikes)

    def find_hold(self, content: str) -> float | None:
        """Return for how long a content is kept out; None if it is not."""
        record = self._records.get(content)
        if record is None or not record.is_verdict():
            return None
        doublings = max(0, record.count_rounds() - MOST_ROUNDS)
        hold_s = min(_HOLD_S * 2**doublings, _LONGEST_HOLD_S)
        left_s = record.struck_at + hold_s - self._read_clock()
        return left_s if left_s > 0 else None

    def add(self, strike: CrashRecord) -> bool:
        """Take a strike; tell whether it is news."""
        record = self._records.get(strike.content)
        if record is None:
            record = _Record(set(), 0.0)
            self._records[strike.content] = record
        if strike in record.strikes:
            return False
        record.strikes.add(strike)
        record.struck_at = self._read_clock()
        self._records.move_to_end(strike.content)
        self._forget_old()
        return True

    def take_back(self, strike: CrashRecord) -> None:
        """Drop one strike."""
        record = self._records.get(strike.content)
        if record is None:
            return
        record.strikes.discard(strike)
        if not record.strikes:
            del self._records[strike.content]

    def clear(self, content: str) -> list[CrashRecord]:
        """Drop a content, which was answered; return its strikes."""
        record = self._records.pop(content, None)
        found = record.strikes if record else ()
        return sorted(found, key=lambda one: (one.number, one.runner))

    def replace_all(self, strikes: Iterable[CrashRecord]) -> None:
        """Take the strikes that there are; others are gone."""
        wanted = set(strikes)
        known = {
            strike
            for record in self._records.values()
            for strike in record.strikes
        }
        for strike in known - wanted:
            self.take_back(strike)
        for strike in sorted(wanted - known, key=lambda one: one.number):
            self.add(strike)

    def _forget_old(self) -> None:
        oldest = self._read_clock() - _FORGET_S
        dropped: list[CrashRecord] = []
        while self._records:
            content, record = next(iter(self._records.items()))
            if record.struck_at >= oldest:
                break
            dropped += self.clear(content)
        while len(self._records) > self._most_contents:
            dropped += self.clear(self._choose_least())
        if dropped:
            self.on_dropped(dropped)

    def _choose_least(self) -> str:
        """Return the content whose loss costs the fewest runners."""
        for content, record in self._records.items():
            if not record.is_verdict():
                return content
        return next(iter(self._records))


def _ignore(strikes: list[CrashRecord]) -> None:
    del strikes
