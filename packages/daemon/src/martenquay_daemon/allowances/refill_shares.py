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
    "ShareSpan",
]

# A part is lent for so long and lent again twice a second. It has to outlast
# the report that the loan counts from (up to 0.8 s old) and one digest that is
# lost. For as long nobody mints the parts that a lost daemon had borrowed.
DELEGATION_S = 1.8
# No unit lives longer, so nobody mints for a time that is longer ago.
_HISTORY_S = 10.0


@dataclasses.dataclass(frozen=True)
class RateShare:
    """The part of an instance.

    Attributes:
        part: Of each team's rate; those of all instances add up to 1.
        since: Since when it is this daemon's, in trio's time.
    """

    share: float
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
class ShareSpan:
    """A time with one part.

    Attributes:
        start: In trio's time.
        end: In trio's time.
        part: Of each team's rate.
    """

    start: float
    end: float
    share: float


@dataclasses.dataclass
class _Delegated:
    receiver: str = ""
    share: float = 0.0
    # When the receiver's time begins, after the time of the one before it.
    starts_at: float = -math.inf
    until: float = -math.inf


@dataclasses.dataclass
class _Received:
    """What one instance has lent to this daemon.

    Attributes:
        member: The instance's process that has lent it.
        span: From when to when.
        held_since: Since when nobody else has had it for a whole window.
    """

    member: str
    span: ShareSpan
    held_since: float


class RefillShares:
    """What this daemon may mint: its own part if not lent, and borrowed ones.

    Attributes:
        window_s: The time over which teams' units are counted; may change.
    """

    def __init__(
        self,
        read_share: Callable[[], RateShare],
        window_s: float,
        find_sole_since: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        """Begin at the start of the process.

        Args:
            read_share: Returns this instance's part.
            window_s: The time over which teams' units are counted.
            find_sole_since: Returns since when nobody uses a loan of the
                process before this one any more, in trio's time; infinity
                while that is not known.
        """
        self.window_s = window_s
        self._read_share = read_share
        self._find_sole_since = find_sole_since
        self._started_at = trio.current_time()
        self._advanced_at = self._started_at
        self._last_share = 0.0
        # Until then the process before may have lent what is now this one's.
        self._usable_from = self._started_at + DELEGATION_S
        self._delegated = _Delegated()
        self._larger_until = -math.inf
        self._received: dict[str, _Received] = {}
        self._former_members: dict[str, set[str]] = {}
        self._spans: collections.deque[ShareSpan] = collections.deque()

    def advance(self) -> float:
        """Count the time up to now; return now."""
        now = trio.current_time()
        if now <= self._advanced_at:
            return now
        own = self._find_own_span(now)
        if not self._received:
            if own.start < own.end:
                self._append_span(own)
        else:
            received = [one.span for one in self._received.values()]
            for span in _sum_spans([own, *received], self._advanced_at, now):
                self._append_span(span)
        self._advanced_at = now
        while self._spans and self._spans[0].end < now - _HISTORY_S:
            self._spans.popleft()
        return now

    def list_spans(self, since: float) -> Iterator[ShareSpan]:
        """Return what may be minted for the time after `since`."""
        found = []
        for span in reversed(self._spans):
            if span.end <= since:
                break
            start = max(span.start, since)
            found.append(ShareSpan(start, span.end, span.share))
        return reversed(found)

    def find_usable_share(self) -> float:
        """Return the part that may be minted now."""
        now = trio.current_time()
        return self._find_own_usable_share(now) + sum(
            one.span.share for one in self._list_usable(now)
        )

    def find_overdraft_shares(self) -> tuple[float, float]:
        """Return the parts on which units may be owed.

        Returns:
            The part that nobody else can have owed on within the window, and
            the part on which this daemon's instance may have before it
            started.
        """
        now = trio.current_time()
        window_start = now - self.window_s
        # Whom it was lent to may have owed on it.
        own = (
            self._find_own_usable_share(now)
            if self._delegated.until <= window_start
            else 0.0
        )
        held = sum(
            one.span.share
            for one in self._list_usable(now)
            if one.held_since <= window_start
        )
        if self._started_at <= window_start:
            return held + own, 0.0
        return held, own

    def delegate(self, receiver: str, heard: int) -> ShareDelegation | None:
        """Lend this instance's part, for a while from now.

        Args:
            receiver: The process that may use it.
            heard: The number of that one's last report.
        """
        now = self.advance()
        own = self._read_own_share()
        if own.share <= 0 or now < max(own.since, self._usable_from):
            return None
        last = self._delegated
        starts_at = last.starts_at
        if last.receiver != receiver:
            # What the one before may use is not to be used twice.
            starts_at = max(now, last.until)
        if own.share < last.share:
            self._larger_until = last.until
        self._delegated = _Delegated(
            receiver, own.share, starts_at, now + DELEGATION_S
        )
        starts_s = max(0.0, starts_at - now)
        return ShareDelegation(
            receiver, heard, own.share, starts_s, DELEGATION_S
        )

    def has_larger_delegation(self) -> bool:
        """Tell whether a loan is still good that was larger than the part."""
        return trio.current_time() < self._larger_until

    def accept_delegation(
        self,
        instance: str,
        member: str,
        delegation: ShareDelegation,
        reported_at: float,
    ) -> None:
        """Take another instance's part for a while.

        Args:
            instance: Whose part it is.
            member: The process that lent it.
            delegation: What it said.
            reported_at: When the report that the loan names was sent, in
                trio's time; the loan was made after that.
        """
        if member in self._former_members.get(instance, ()):
            # Sent before that process ended, and late.
            return
        now = self.advance()
        start = now + delegation.starts_s
        end = reported_at + delegation.ends_s
        if end <= start:
            return
        known = self._received.get(instance)
        if known is None:
            held_since = start
        else:
            # Only who has had it through a whole window may owe on it, so in
            # a shorter gap nobody else has.
            is_short = start - known.span.end < self.window_s
            held_since = known.held_since if is_short else start
            if known.span.share == delegation.part and start <= known.span.end:
                start = known.span.start
                end = max(end, known.span.end)
        span = ShareSpan(start, end, delegation.part)
        self._received[instance] = _Received(member, span, held_since)

    def end_former_delegations(self, instance: str, member: str) -> None:
        """End what an earlier process of an instance had lent.

        Its next one may use the part itself, or lend it to somebody else.
        """
        known = self._received.get(instance)
        if known is None or known.member == member:
            return
        self._former_members.setdefault(instance, set()).add(known.member)
        now = self.advance()
        if known.span.end > now:
            known.span = dataclasses.replace(known.span, end=now)
        known.member = member

    def count_delegators(self) -> int:
        """Return how many instances lend to this daemon now."""
        return sum(1 for _ in self._list_usable(trio.current_time()))

    def _read_own_share(self) -> RateShare:
        own = self._read_share()
        if own.share > 0:
            # Before the log has told of other daemons, it is not known
            # whether any may have borrowed.
            self._usable_from = min(self._usable_from, self._find_sole_since())
        return own

    def _find_own_usable_share(self, now: float) -> float:
        own = self._read_own_share()
        is_here = now >= max(
            self._delegated.until, self._usable_from, own.since
        )
        return own.share if is_here else 0.0

    def _list_usable(self, now: float) -> Iterator[_Received]:
        return (
            one
            for one in self._received.values()
            if one.span.start <= now < one.span.end
        )

    def _find_own_span(self, now: float) -> ShareSpan:
        """Return for when the own part may be minted since the last time."""
        own = self._read_own_share()
        # While the part grew or fell, others may have had the difference.
        kept = (
            min(self._last_share, own.share)
            if self._last_share > 0
            else own.share
        )
        self._last_share = own.share
        start = max(
            self._advanced_at,
            self._delegated.until,
            self._usable_from,
            own.since,
        )
        return ShareSpan(start, now, kept)

    def _append_span(self, span: ShareSpan) -> None:
        if self._spans and self._spans[-1].end == span.start:
            last = self._spans[-1]
            if math.isclose(last.share, span.share):
                self._spans[-1] = ShareSpan(last.start, span.end, last.share)
                return
        if span.share > 0:
            self._spans.append(span)


def _sum_spans(
    sources: list[ShareSpan], start: float, end: float
) -> Iterator[ShareSpan]:
    """Return spans one after the other whose parts are sums."""
    clipped = [
        ShareSpan(max(start, one.start), min(end, one.end), one.share)
        for one in sources
    ]
    clipped = [one for one in clipped if one.start < one.end and one.share > 0]
    edges = sorted(
        {start, end, *(e for s in clipped for e in (s.start, s.end))}
    )
    for left, right in itertools.pairwise(edges):
        share = sum(
            one.share
            for one in clipped
            if one.start <= left and one.end >= right
        )
        yield ShareSpan(left, right, share)
