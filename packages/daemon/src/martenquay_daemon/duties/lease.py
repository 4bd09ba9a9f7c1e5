"""Acquire and renew the lease that lets one daemon act for the fleet.

The lease is a topic of the platform's log. A record is appended only if the
topic still ends where the writer last saw it, so only one of several candidates
succeeds. The fencing token ("fence") is derived from the offset of the record
that acquired the lease, so it grows with each holder. The holder counts the
lease from before it sent the record; other daemons count it from when they
read the record, or from the remaining time that the holder gossips.

The platform needs holders to be told apart by time as well: within a lease's
length, its calls may not come from one holder, another and the first again. So
a daemon that another one has succeeded also waits until its own last calls are
older than that, however the lease became free.
"""

from __future__ import annotations

import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.serving import positions
from martenquay_core.util import rendezvous
from martenquay_daemon.duties import lease_topic
from martenquay_daemon.fleet import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

    from martenquay_core.serving import ports
    from martenquay_daemon.fleet import view

__all__ = ["Lease", "LeaseTiming", "create_lease"]

_LOG = logs.create_log("lease")
_RETRY_DELAY_S = 0.2
# Delay per rank between candidates, so that they don't all append at once.
_ACQUIRE_STAGGER_S = 0.15
# Delay per rank before a candidate reads the log, so that most hear of the new
# holder by gossip instead.
_READ_STAGGER_S = 0.1
_MAX_RANK = 30
_START_JITTER_S = 1.0
_JITTER_STEPS = 1000
_CHECK_INTERVAL_S = 0.5
_MS_PER_S = 1000
_Kind = lease_topic.RecordKind


@dataclasses.dataclass(frozen=True)
class LeaseTiming:
    """Times of a lease.

    Attributes:
        length_s: Validity of a record, from when the holder sent it.
        renew_s: Interval between two renewals.
        margin_s: The holder stops this much earlier and a successor waits this
            much longer, to allow for clock drift and late timers.
    """

    length_s: float
    renew_s: float
    margin_s: float


class Lease:
    """One daemon's view of the lease.

    Attributes:
        fence: The fencing token while the lease is held here, else 0.
        acquired_at: When the lease was last acquired here, in trio's time.
    """

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        member: str,
        instance: str,
        timing: LeaseTiming,
        fleet: view.FleetView,
    ) -> None:
        self.fence = 0
        self.acquired_at = -math.inf
        self._topic_name = topic
        self._member = member
        self._instance = instance
        self._timing = timing
        self._view = fleet
        self._topic = lease_topic.LeaseTopic(log, topic, member, instance)
        self._valid_until = -math.inf
        # Offset of the topic's end when `_valid_until` was last extended.
        self._valid_end_offset = 0
        # Fence and end of the last lease that was held here.
        self._former_fence = 0
        self._former_until = -math.inf
        self._gossiped_by = ""
        self._gossiped_free_at = -math.inf
        self._started_at = trio.current_time()
        self._is_stopping = False
        self._calls_under_way = 0
        self._last_call_ended = trio.Event()

    @property
    def era(self) -> int:
        """Era of the log as far as the lease's topic was read."""
        return positions.find_era(self._topic.end)

    @property
    def era_since(self) -> float:
        """Since when the era is known here, in trio's time.

        Minus infinity for a log that was never restored.
        """
        return self._topic.era_since

    def is_held(self, needed_s: float = 0.0) -> bool:
        """Return whether the lease is held here for at least `needed_s`."""
        now = trio.current_time()
        return self.fence > 0 and now + needed_s < self._valid_until

    def is_next(self) -> bool:
        """Return whether the lease seems free and this daemon ranks first."""
        is_free = (
            not self.fence and self._gossiped_free_at <= trio.current_time()
        )
        return is_free and not self._is_stopping and self._find_rank() == 0

    def create_status(self) -> messages.LeaseStatus | None:
        """Return the status to gossip; None if the lease is not held here."""
        if not self.is_held():
            return None
        left_s = self._valid_until - trio.current_time()
        return messages.LeaseStatus(
            self.fence, self._valid_end_offset, int(left_s * _MS_PER_S)
        )

    def apply_status(
        self,
        member: str,
        status: messages.LeaseStatus | None,
        *,
        is_leaving: bool,
    ) -> None:
        """Process the lease status that another daemon gossips."""
        if status is None:
            if member == self._gossiped_by and is_leaving:
                # A draining holder releases the lease, so candidates need not
                # wait for it to expire.
                self._gossiped_free_at = -math.inf
                self._topic.is_end_gossiped = False
            return
        if self.fence or status.end < self._topic.end:
            return
        if status.end > self._topic.end or self._topic.is_end_gossiped:
            self._topic.skip_to(status.end, status.fence)
        # Slow gossip only makes this time later than necessary.
        left_s = status.left_ms / _MS_PER_S + 2 * self._timing.margin_s
        self._gossiped_by = member
        self._gossiped_free_at = trio.current_time() + left_s

    async def run(self) -> None:
        """Acquire the lease and renew it while held, until cancelled."""
        # Daemons that start together don't know each other's rank yet; without
        # jitter all would append at once.
        score = rendezvous.score_candidate(self._topic_name, self._instance)
        await trio.sleep(
            score % _JITTER_STEPS / _JITTER_STEPS * _START_JITTER_S
        )
        while True:
            if self.fence:
                await self._renew()
            else:
                await self._wait_to_acquire()

    @contextlib.contextmanager
    def track_call(self) -> Iterator[None]:
        """Track a call that the lease permits until it has ended."""
        self._calls_under_way += 1
        try:
            yield
        finally:
            self._calls_under_way -= 1
            if not self._calls_under_way:
                self._last_call_ended.set()
                self._last_call_ended = trio.Event()

    async def release(self) -> None:
        """Release the lease before a planned stop.

        Waits for the duties' calls under way, which their time-out bounds.
        """
        self._is_stopping = True
        if not self.is_held():
            return
        fence = self.fence
        self._drop("given up for a planned stop")
        # A successor acts at once; a call that arrives after its first one
        # would have the lower fence.
        if self._calls_under_way:
            await self._last_call_ended.wait()
        await self._topic.append(_Kind.RELEASED, fence)

    async def _renew(self) -> None:
        """Renew the lease once and wait until the next renewal is due."""
        started = trio.current_time()
        if started >= self._valid_until:
            self._drop("it expired before it could be renewed")
            return
        if not await self._topic.append(_Kind.RENEWED, self.fence):
            await self._topic.read()
            last = self._topic.last
            if last is not None and last.member != self._member:
                self._drop(f"{last.member} holds it")
            await trio.sleep(_RETRY_DELAY_S)
        self._extend_validity()
        await trio.sleep_until(started + self._timing.renew_s)

    async def _wait_to_acquire(self) -> None:
        if self._is_stopping:
            await trio.sleep(_CHECK_INTERVAL_S)
            return
        gossiped_left_s = self._gossiped_free_at - trio.current_time()
        if gossiped_left_s > 0:
            await trio.sleep(min(gossiped_left_s, _CHECK_INTERVAL_S))
            return
        # Most candidates hear of a new holder by gossip during this delay and
        # need not read the log.
        await trio.sleep(min(self._find_rank(), _MAX_RANK) * _READ_STAGGER_S)
        if self._gossiped_free_at > trio.current_time():
            return
        # A gossiped end replaces a read: if the topic has grown since, the
        # conditional append fails.
        if not self._topic.is_end_gossiped and not await self._topic.read():
            await trio.sleep(_CHECK_INTERVAL_S)
            return
        now = trio.current_time()
        free_at = self._find_free_at()
        if now < free_at:
            await trio.sleep(min(free_at - now, _CHECK_INTERVAL_S))
            return
        await trio.sleep(self._find_rank() * _ACQUIRE_STAGGER_S)
        if self._gossiped_free_at <= trio.current_time():
            await self._try_acquire()
            if not self.fence:
                # The log may refuse calls as fast as they come.
                await trio.sleep(_RETRY_DELAY_S)

    async def _try_acquire(self) -> None:
        gossiped_by = self._gossiped_by
        if not await self._topic.append(_Kind.TAKEN, 0):
            await self._topic.read()
        last = self._topic.last
        if (
            last is None
            or last.kind is not _Kind.TAKEN
            or last.member != self._member
        ):
            return
        self.fence = self._topic.fence
        self.acquired_at = trio.current_time()
        self._extend_validity()
        _LOG.write(
            f"Lease acquired with fence {self.fence}.",
            fence=self.fence,
            told_by=gossiped_by,
            since_own_s=self._find_since_own_s(),
        )

    def _extend_validity(self) -> None:
        """Count the validity from when the last record was sent, if it is ours.

        The last record may be an earlier call's, whose answer was lost and
        which took effect late; then that call's send time counts.
        """
        last = self._topic.last
        if self.fence and last is not None and last.member == self._member:
            sent_at = self._topic.find_sent_at(last.number)
            self._valid_until = (
                sent_at + self._timing.length_s - self._timing.margin_s
            )
            self._valid_end_offset = self._topic.end

    def _drop(self, reason: str) -> None:
        _LOG.write(
            f"Lease with fence {self.fence} ended: {reason}.", fence=self.fence
        )
        self._former_fence = self.fence
        self._former_until = self._valid_until
        self.fence = 0
        self._valid_until = -math.inf

    def _find_free_at(self) -> float:
        """Return when the lease may be acquired, in trio's time."""
        topic = self._topic
        wait_s = self._timing.length_s + self._timing.margin_s
        if topic.end == 0:
            return -math.inf
        # An earlier process of this instance may have held the lease.
        own_free_at = self._started_at + wait_s
        if topic.fence != self._former_fence:
            # Another daemon has acted after this one's last calls.
            own_free_at = max(own_free_at, self._former_until + wait_s)
        if topic.is_end_gossiped:
            return max(own_free_at, self._gossiped_free_at)
        if topic.last is not None and topic.last.kind is _Kind.RELEASED:
            return own_free_at
        return max(own_free_at, topic.changed_at + wait_s)

    def _find_since_own_s(self) -> float | None:
        """Return the time since the last lease held here; None if none was."""
        if not self._former_fence:
            return None
        return round(trio.current_time() - self._former_until, 3)

    def _find_rank(self) -> int:
        """Return this daemon's rank among the candidates for the lease."""
        if not self._view.is_candidate:
            return _MAX_RANK
        key = f"{self._topic_name} {self._topic.end}"
        ranked = rendezvous.rank_candidates(
            key, [*self._view.list_candidates(), self._instance]
        )
        return ranked.index(self._instance)


def create_lease(
    log: ports.LogPort,
    topic: str,
    member: str,
    instance: str,
    length_s: float,
    fleet: view.FleetView,
) -> Lease:
    """Return a lease that is not held yet.

    It is renewed three times per length; a sixth of the length is the margin.
    """
    timing = LeaseTiming(length_s, length_s / 3, length_s / 6)
    return Lease(log, topic, member, instance, timing, fleet)
