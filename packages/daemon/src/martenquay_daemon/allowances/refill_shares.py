"""Know which part of each team's rate this daemon may mint, and when.

Each instance has a part of all rates. In a large fleet that is less than one
request takes, so a daemon lends its part to one that many lend to: for a short
time, which is counted so that no delay makes it longer. While it is lent, its
owner mints nothing. So at any moment each part is at one daemon at the most,
whatever messages are lost or late and whoever is cut off, killed or frozen.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = [
    "DELEGATION_S",
    "ShareDelegation",
    "RefillShares",
    "RateShare",
    "Span",
]

# A part is lent for so long and lent again twice a second. It has to outlast
# the report that the loan counts from (up to 0.8 s old) and one digest that is
# lost. For as long nobody mints the parts that a lost daemon had borrowed.
DELEGATION_S = 1.8
# No unit lives longer, so nobody mints for a time that is longer ago.
_KEPT_S = 10.0


@dataclasses.dataclass(frozen=True)
class RateShare:
    """The part of an instance.

    Attributes:
        part: Of each team's rate; those of all instances add up to 1.
        since: Since when it is this daemon's, in trio's time.
    """

    part: float
    since: float


@dataclasses.dataclass(frozen=True)
class ShareDelegation:
    """A part that its owner does not use for some time.

    Attributes:
        receiver: The daemon that may use it, by its process.
        heard: The number of the receiver's last report that the owner had
            when it lent; the loan's end counts from when that was sent.
        part: Of each team's rate.
        starts_s: From when on, counted from when it was lent.
        ends_s: Until when, counted likewise.
    """

    receiver: str
    heard: int
    part: float
    starts_s: float
    ends_s: float


@dataclasses.dataclass(frozen=True)
class Span:
    """A time with one part.

    Attributes:
        start: In trio's time.
        end: In trio's time.
        part: Of each team's rate.
    """

    start: float
    end: float
    part: float


@dataclasses.dataclass
class _Lent:
    receiver: str = ""
    part: float = 0.0
    # When the receiver's time begins, after the time of the one before it.
    starts_at: float = -math.inf
    until: float = -math.inf


@dataclasses.dataclass
class _Borrowed:
    """What one instance has lent to this daemon.

    Attributes:
        member: The instance's process that has lent it.
        span: From when to when.
        held_since: Since when nobody else has had it for a whole window.
    """

    member: str
    span: Span
    held_since: float


class RefillShares:
    """What this daemon may mint: its own part if not lent, and borrowed ones.

    Attributes:
        window_s: The time over which teams' units are counted; may change.
    """

    def __init__(
        self,
        find_own: Callable[[], RateShare],
        window_s: float,
        find_sole_since: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        """Begin at the start of the process.

        Args:
            find_own: Returns this instance's part.
            window_s: The time over which teams' units are counted.
            find_sole_since: Returns since when nobody uses a loan of the
                process before this one any more, in trio's time; infinity
                while that is not known.
        """
        self.window_s = window_s
        self._find_own = find_own
        self._find_sole_since = find_sole_since
        self._started_at = trio.current_time()
        self._at = self._started_at
        self._own = 0.0
        # Until then the process before may have lent what is now this one's.
        self._own_from = self._started_at + DELEGATION_S
        self._lent = _Lent()
        self._larger_until = -math.inf
        self._borrowed: dict[str, _Borrowed] = {}
        self._former: dict[str, set[str]] = {}
        self._spans: collections.deque[Span] = collections.deque()

    def advance(self) -> float:
        """Count the time up to now; return now."""
        now = trio.current_time()
        if now <= self._at:
            return now
        own = self._find_own_span(now)
        if not self._borrowed:
            if own.start < own.end:
                self._append(own)
        else:
            lent = [one.span for one in self._borrowed.values()]
            for span in _flatten([own, *lent], self._at, now):
                self._append(span)
        self._at = now
        while self._spans and self._spans[0].end < now - _KEPT_S:
            self._spans.popleft()
        return now

    def list_spans(self, since: float) -> Iterator[Span]:
        """Return what may be minted for the time after `since`."""
        found = []
        for span in reversed(self._spans):
            if span.end <= since:
                break
            start = max(span.start, since)
            found.append(Span(start, span.end, span.part))
        return reversed(found)

    def find_usable_share(self) -> float:
        """Return the part that may be minted now."""
        now = trio.current_time()
        return self._find_own_now(now) + sum(
            one.span.part for one in self._list_active(now)
        )

    def find_overdraft_shares(self) -> tuple[float, float]:
        """Return the parts on which units may be owed.

        Returns:
            The part that nobody else can have owed on within the window, and
            the part on which this daemon's instance may have before it
            started.
        """
        now = trio.current_time()
        oldest = now - self.window_s
        # Whom it was lent to may have owed on it.
        own = self._find_own_now(now) if self._lent.until <= oldest else 0.0
        held = sum(
            one.span.part
            for one in self._list_active(now)
            if one.held_since <= oldest
        )
        if self._started_at <= oldest:
            return held + own, 0.0
        return held, own

    def delegate(self, receiver: str, heard: int) -> ShareDelegation | None:
        """Lend this instance's part, for a while from now.

        Args:
            receiver: The process that may use it.
            heard: The number of that one's last report.
        """
        now = self.advance()
        own = self._get_own()
        if own.part <= 0 or now < max(own.since, self._own_from):
            return None
        last = self._lent
        starts_at = last.starts_at
        if last.receiver != receiver:
            # What the one before may use is not to be used twice.
            starts_at = max(now, last.until)
        if own.part < last.part:
            self._larger_until = last.until
        self._lent = _Lent(receiver, own.part, starts_at, now + DELEGATION_S)
        starts_s = max(0.0, starts_at - now)
        return ShareDelegation(
            receiver, heard, own.part, starts_s, DELEGATION_S
        )

    def has_larger_delegation(self) -> bool:
        """Tell whether a loan is still good that was larger than the part."""
        return trio.current_time() < self._larger_until

    def accept_delegation(
        self,
        instance: str,
        member: str,
        loan: ShareDelegation,
        reported_at: float,
    ) -> None:
        """Take another instance's part for a while.

        Args:
            instance: Whose part it is.
            member: The process that lent it.
            loan: What it said.
            reported_at: When the report that the loan names was sent, in
                trio's time; the loan was made after that.
        """
        if member in self._former.get(instance, ()):
            # Sent before that process ended, and late.
            return
        now = self.advance()
        start = now + loan.starts_s
        end = reported_at + loan.ends_s
        if end <= start:
            return
        known = self._borrowed.get(instance)
        if known is None:
            held_since = start
        else:
            # Only who has had it through a whole window may owe on it, so in
            # a shorter gap nobody else has.
            is_short = start - known.span.end < self.window_s
            held_since = known.held_since if is_short else start
            if known.span.part == loan.part and start <= known.span.end:
                start = known.span.start
                end = max(end, known.span.end)
        span = Span(start, end, loan.part)
        self._borrowed[instance] = _Borrowed(member, span, held_since)

    def end_former_delegations(self, instance: str, member: str) -> None:
        """End what an earlier process of an instance had lent.

        Its next one may use the part itself, or lend it to somebody else.
        """
        known = self._borrowed.get(instance)
        if known is None or known.member == member:
            return
        self._former.setdefault(instance, set()).add(known.member)
        now = self.advance()
        if known.span.end > now:
            known.span = dataclasses.replace(known.span, end=now)
        known.member = member

    def count_lenders(self) -> int:
        """Return how many instances lend to this daemon now."""
        return sum(1 for _ in self._list_active(trio.current_time()))

    def _get_own(self) -> RateShare:
        own = self._find_own()
        if own.part > 0:
            # Before the log has told of other daemons, it is not known
            # whether any may have borrowed.
            self._own_from = min(self._own_from, self._find_sole_since())
        return own

    def _find_own_now(self, now: float) -> float:
        own = self._get_own()
        is_here = now >= max(self._lent.until, self._own_from, own.since)
        return own.part if is_here else 0.0

    def _list_active(self, now: float) -> Iterator[_Borrowed]:
        return (
            one
            for one in self._borrowed.values()
            if one.span.start <= now < one.span.end
        )

    def _find_own_span(self, now: float) -> Span:
        """Return for when the own part may be minted since the last time."""
        own = self._get_own()
        # While the part grew or fell, others may have had the difference.
        kept = min(self._own, own.part) if self._own > 0 else own.part
        self._own = own.part
        start = max(self._at, self._lent.until, self._own_from, own.since)
        return Span(start, now, kept)

    def _append(self, span: Span) -> None:
        if self._spans and self._spans[-1].end == span.start:
            last = self._spans[-1]
            if math.isclose(last.part, span.part):
                self._spans[-1] = Span(last.start, span.end, last.part)
                return
        if span.part > 0:
            self._spans.append(span)


def _flatten(sources: list[Span], start: float, end: float) -> Iterator[Span]:
    """Return spans one after the other whose parts are sums."""
    cut = [
        Span(max(start, one.start), min(end, one.end), one.part)
        for one in sources
    ]
    cut = [one for one in cut if one.start < one.end and one.part > 0]
    edges = sorted({start, end, *(e for s in cut for e in (s.start, s.end))})
    for left, right in itertools.pairwise(edges):
        part = sum(
            one.part for one in cut if one.start <= left and one.end >= right
        )
        yield Span(left, right, part)
