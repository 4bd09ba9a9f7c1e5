"""Track which share of the refill rates this daemon may use, and when."""

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
    "RateShare",
    "RefillShares",
    "ShareDelegation",
    "ShareSpan",
]

# Longer than the age of the report that a delegation counts from plus one lost
# digest, so that a renewal arrives in time. Shares that were delegated to a
# failed daemon stay unused for up to this long.
DELEGATION_S = 1.8
# Longer than any unit lives: older spans refill nothing.
_HISTORY_S = 10.0


@dataclasses.dataclass(frozen=True)
class RateShare:
    """An instance's share of the refill rates.

    Attributes:
        share: Ratio of each team's rate; all instances' shares add up to 1.
        since: Since when this instance has the share, in trio's time.
    """

    share: float
    since: float


@dataclasses.dataclass(frozen=True)
class ShareDelegation:
    """An instance's share that another daemon may use for a limited time.

    Attributes:
        receiver: The process that may use it.
        heard: The number of the receiver's last report that the owner had
            processed; for the receiver, `ends_s` counts from when it sent
            that report.
        part: The share, as a ratio of each team's rate.
        starts_s: When it begins, in seconds after it was delegated.
        ends_s: When it ends, in seconds after it was delegated.
    """

    receiver: str
    heard: int
    part: float
    starts_s: float
    ends_s: float


@dataclasses.dataclass(frozen=True)
class ShareSpan:
    """A time span in which one share could be used.

    Attributes:
        start: In trio's time.
        end: In trio's time.
        share: Ratio of each team's rate.
    """

    start: float
    end: float
    share: float


@dataclasses.dataclass
class _Delegated:
    """This instance's last delegation.

    Attributes:
        receiver: The process that may use the share.
        share: Ratio of each team's rate.
        starts_at: When it begins, in trio's time; not before the delegation to
            the previous receiver ends.
        until: When it ends, in trio's time.
    """

    receiver: str = ""
    share: float = 0.0
    starts_at: float = -math.inf
    until: float = -math.inf


@dataclasses.dataclass
class _Received:
    """A share that another instance has delegated to this daemon.

    Attributes:
        member: The instance's process that delegated it.
        span: When it may be used.
        held_since: Since when no other daemon can have overdrawn on it.
    """

    member: str
    span: ShareSpan
    held_since: float


class RefillShares:
    """The refill shares of this daemon: its own and those delegated to it.

    In a large fleet an instance's share refills less quota than one request
    costs, so instances delegate their shares to a quota hub for a limited time.
    At any time each share is used by at most one daemon, also when messages are
    lost or late and daemons are partitioned, killed or paused.

    Attributes:
        window_s: The time over which a team's units are counted; may change.
    """

    def __init__(
        self,
        read_share: Callable[[], RateShare],
        window_s: float,
        find_sole_since: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        """Create the shares without delegations.

        The own share is unusable until any delegation by this instance's former
        process has ended.

        Args:
            read_share: Returns this instance's share.
            window_s: The time over which a team's units are counted.
            find_sole_since: Returns since when no hub uses a delegation by
                this instance's former process, in trio's time; infinity while
                unknown.
        """
        self.window_s = window_s
        self._read_share = read_share
        self._find_sole_since = find_sole_since
        self._started_at = trio.current_time()
        self._advanced_at = self._started_at
        self._last_share = 0.0
        # Until then a delegation by the former process may be in use.
        self._usable_from = self._started_at + DELEGATION_S
        self._delegated = _Delegated()
        self._larger_until = -math.inf
        self._received: dict[str, _Received] = {}
        self._former_members: dict[str, set[str]] = {}
        self._spans: collections.deque[ShareSpan] = collections.deque()

    def advance(self) -> float:
        """Record the usable shares up to now; return now."""
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
        """Return the usable shares after `since`, the earliest first."""
        found = []
        for span in reversed(self._spans):
            if span.end <= since:
                break
            start = max(span.start, since)
            found.append(ShareSpan(start, span.end, span.share))
        return reversed(found)

    def find_usable_share(self) -> float:
        """Return the share that this daemon may use now."""
        now = trio.current_time()
        return self._find_own_usable_share(now) + sum(
            received.span.share for received in self._list_usable(now)
        )

    def find_overdraft_shares(self) -> tuple[float, float]:
        """Return the shares on which quota may be overdrawn.

        Returns:
            The share on which no other daemon can have overdrawn within the
            window, and the share on which this instance's former process may
            have.
        """
        now = trio.current_time()
        window_start = now - self.window_s
        # The receiver of an earlier delegation may have overdrawn on the share.
        own = (
            self._find_own_usable_share(now)
            if self._delegated.until <= window_start
            else 0.0
        )
        held = sum(
            received.span.share
            for received in self._list_usable(now)
            if received.held_since <= window_start
        )
        if self._started_at <= window_start:
            return held + own, 0.0
        return held, own

    def delegate(self, receiver: str, heard: int) -> ShareDelegation | None:
        """Delegate this instance's share for a limited time from now.

        Args:
            receiver: The process that may use it.
            heard: The number of the receiver's last report.

        Returns:
            The delegation; None if this instance has no share yet.
        """
        now = self.advance()
        own = self._read_own_share()
        if own.share <= 0 or now < max(own.since, self._usable_from):
            return None
        last = self._delegated
        starts_at = last.starts_at
        if last.receiver != receiver:
            # Otherwise both receivers would use the share until then.
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
        """Return whether a delegation of a larger share is still valid."""
        return trio.current_time() < self._larger_until

    def accept_delegation(
        self,
        instance: str,
        member: str,
        delegation: ShareDelegation,
        reported_at: float,
    ) -> None:
        """Use another instance's share for a limited time.

        Args:
            instance: The instance whose share it is.
            member: Its process that delegated the share.
            delegation: The delegation.
            reported_at: When this daemon sent the report that the delegation
                names in `heard`, in trio's time. The delegation was created
                later, so counting from this time never extends it.
        """
        if member in self._former_members.get(instance, ()):
            # A late message of an ended process; the new one may use the share.
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
            # A daemon may overdraw only on a share that it held for a whole
            # window, so none can have done so in a shorter gap.
            is_short = start - known.span.end < self.window_s
            held_since = known.held_since if is_short else start
            if known.span.share == delegation.part and start <= known.span.end:
                start = known.span.start
                end = max(end, known.span.end)
        span = ShareSpan(start, end, delegation.part)
        self._received[instance] = _Received(member, span, held_since)

    def end_former_delegations(self, instance: str, member: str) -> None:
        """End delegations by an instance's processes other than `member`.

        The new process may use the share or delegate it to another daemon.
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
        """Return how many instances delegate their share to this daemon."""
        return sum(1 for _ in self._list_usable(trio.current_time()))

    def _read_own_share(self) -> RateShare:
        own = self._read_share()
        if own.share > 0:
            # Without a share this daemon has not read which others exist, so
            # `find_sole_since` cannot rule out a delegation to one of them.
            self._usable_from = min(self._usable_from, self._find_sole_since())
        return own

    def _find_own_usable_share(self, now: float) -> float:
        own = self._read_own_share()
        is_usable = now >= max(
            self._delegated.until, self._usable_from, own.since
        )
        return own.share if is_usable else 0.0

    def _list_usable(self, now: float) -> Iterator[_Received]:
        return (
            received
            for received in self._received.values()
            if received.span.start <= now < received.span.end
        )

    def _find_own_span(self, now: float) -> ShareSpan:
        """Return when the own share was usable since the last `advance`."""
        own = self._read_own_share()
        # While the share changed, other instances may have used the difference.
        share = (
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
        return ShareSpan(start, now, share)

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
    """Yield consecutive spans with the sum of the shares in each."""
    clipped = [
        ShareSpan(max(start, span.start), min(end, span.end), span.share)
        for span in sources
    ]
    clipped = [
        span for span in clipped if span.start < span.end and span.share > 0
    ]
    edges = sorted(
        {start, end, *(e for s in clipped for e in (s.start, s.end))}
    )
    for left, right in itertools.pairwise(edges):
        share = sum(
            span.share
            for span in clipped
            if span.start <= left and span.end >= right
        )
        yield ShareSpan(left, right, share)
