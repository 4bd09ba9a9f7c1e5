"""Hold the lease under which one daemon acts for all.

The lease is a topic of the platform's log. Each record is appended on the
condition that the topic still ends where the writer knows it to end, so of
two daemons that want the lease only one gets it. The fence is the place of
the record by which it was taken, so it rises with each change of holder. The
holder counts its time from before it sent the record, everybody else from
when they read it, or from when the holder told them what is left of it.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.util import rendezvous
from martenquay_daemon.duties import lease_topic
from martenquay_daemon.fleet import messages

if TYPE_CHECKING:
    from martenquay_core.serving import ports
    from martenquay_daemon.fleet import view

__all__ = ["Lease", "LeaseTerms", "create_lease"]

_LOG = logs.create_log("lease")
_POLL_S = 0.2
# Candidates try one after the other, so that the log is asked once.
_TURN_S = 0.15
# Before it looks into the log, each waits so long for each one before it.
_LOOK_S = 0.1
_MOST_TURNS = 30
_START_SPREAD_S = 1.0
_STEPS = 1000
_WATCH_S = 0.5
_MS = 1000
_Kind = lease_topic.RecordKind


@dataclasses.dataclass(frozen=True)
class LeaseTerms:
    """Times of a lease.

    Attributes:
        length_s: For which the holder may act after it wrote a record.
        renew_s: Between two records of the holder.
        margin_s: The holder stops this long before, and a successor waits
            this much longer, for clocks that run apart and late timers.
    """

    length_s: float
    renew_s: float
    margin_s: float


class Lease:
    """One daemon's side of the lease.

    Attributes:
        fence: The fence while it is held here, else 0.
    """

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        member: str,
        instance: str,
        terms: LeaseTerms,
        fleet: view.FleetView,
    ) -> None:
        self.fence = 0
        self._name = topic
        self._member = member
        self._instance = instance
        self._terms = terms
        self._view = fleet
        self._topic = lease_topic.LeaseTopic(log, topic, member, instance)
        self._valid_until = -math.inf
        # The topic's end that belongs to that time.
        self._valid_end = 0
        self._told_by = ""
        self._told_free_at = -math.inf
        self._started_at = trio.current_time()
        self._is_stopping = False

    def is_held(self, needed_s: float = 0.0) -> bool:
        """Tell whether this daemon may act for so long from now on."""
        now = trio.current_time()
        return self.fence > 0 and now + needed_s < self._valid_until

    def is_next(self) -> bool:
        """Tell whether nobody is known to hold it and this daemon is first."""
        is_free = not self.fence and self._told_free_at <= trio.current_time()
        return is_free and not self._is_stopping and self._find_rank() == 0

    def create_status(self) -> messages.LeaseStatus | None:
        """Return what to tell candidates; None if it is not held here."""
        if not self.is_held():
            return None
        left_s = self._valid_until - trio.current_time()
        return messages.LeaseStatus(
            self.fence, self._valid_end, int(left_s * _MS)
        )

    def apply_status(
        self,
        member: str,
        news: messages.LeaseStatus | None,
        *,
        is_leaving: bool,
    ) -> None:
        """Take what another daemon tells of the lease."""
        if news is None:
            if member == self._told_by and is_leaving:
                # It has released the lease, or is about to.
                self._told_free_at = -math.inf
                self._topic.is_told = False
            return
        if self.fence or news.end < self._topic.end:
            return
        if news.end > self._topic.end or self._topic.is_told:
            self._topic.skip_to(news.end, news.fence)
        # A slow way of the news only makes this later than it need be.
        left_s = news.left_ms / _MS + 2 * self._terms.margin_s
        self._told_by = member
        self._told_free_at = trio.current_time() + left_s

    async def run(self) -> None:
        """Take, keep and lose the lease until cancelled."""
        # Daemons that start together do not know of each other yet.
        score = rendezvous.score_candidate(self._name, self._instance)
        await trio.sleep(score % _STEPS / _STEPS * _START_SPREAD_S)
        while True:
            if self.fence:
                await self._keep()
            else:
                await self._wait_for_turn()

    async def release(self) -> None:
        """Give the lease up before a planned stop."""
        self._is_stopping = True
        if not self.is_held():
            return
        fence = self.fence
        self._lose("given up for a planned stop")
        await self._topic.append(_Kind.RELEASED, fence)

    async def _keep(self) -> None:
        """Renew once and wait until it is time for the next."""
        started = trio.current_time()
        if started >= self._valid_until:
            self._lose("it ran out before it could be renewed")
            return
        if not await self._topic.append(_Kind.RENEWED, self.fence):
            await self._topic.read()
            last = self._topic.last
            if last is not None and last.member != self._member:
                self._lose(f"{last.member} has it")
            await trio.sleep(_POLL_S)
        self._extend()
        await trio.sleep_until(started + self._terms.renew_s)

    async def _wait_for_turn(self) -> None:
        if self._is_stopping:
            await trio.sleep(_WATCH_S)
            return
        told_left_s = self._told_free_at - trio.current_time()
        if told_left_s > 0:
            await trio.sleep(min(told_left_s, _WATCH_S))
            return
        # Most daemons hear of the new holder before their turn to look.
        await trio.sleep(min(self._find_rank(), _MOST_TURNS) * _LOOK_S)
        if self._told_free_at > trio.current_time():
            return
        # What a holder has told is as good as reading it: if the topic has
        # grown since, the record that takes the lease is not written.
        if not self._topic.is_told and not await self._topic.read():
            await trio.sleep(_WATCH_S)
            return
        now = trio.current_time()
        free_at = self._find_free()
        if now < free_at:
            await trio.sleep(min(free_at - now, _WATCH_S))
            return
        await trio.sleep(self._find_rank() * _TURN_S)
        if self._told_free_at <= trio.current_time():
            await self._take()

    async def _take(self) -> None:
        told_by = self._told_by
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
        self._extend()
        _LOG.write(
            f"Taken with fence {self.fence}.",
            fence=self.fence,
            told_by=told_by,
        )

    def _extend(self) -> None:
        """Count the lease from the sending of the last record, if it is ours.

        The record may be one whose answer was lost and that was done late;
        then an earlier time than that of the last call counts.
        """
        last = self._topic.last
        if self.fence and last is not None and last.member == self._member:
            sent_at = self._topic.find_sent(last.number)
            self._valid_until = (
                sent_at + self._terms.length_s - self._terms.margin_s
            )
            self._valid_end = self._topic.end

    def _lose(self, reason: str) -> None:
        _LOG.write(f"Fence {self.fence} ends: {reason}.", fence=self.fence)
        self.fence = 0
        self._valid_until = -math.inf

    def _find_free(self) -> float:
        """Return when the lease can be taken, in trio's time."""
        topic = self._topic
        wait_s = self._terms.length_s + self._terms.margin_s
        if topic.end == 0:
            return -math.inf
        # This instance may have held it just before it started anew.
        own_free = self._started_at + wait_s
        if topic.is_told:
            return max(own_free, self._told_free_at)
        if topic.last is not None and topic.last.kind is _Kind.RELEASED:
            return own_free
        return max(own_free, topic.changed_at + wait_s)

    def _find_rank(self) -> int:
        """Return this daemon's place among those that may want the lease."""
        if not self._view.is_candidate:
            return _MOST_TURNS
        key = f"{self._name} {self._topic.end}"
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

    It is renewed three times in its length; a sixth of it is kept as margin.
    """
    terms = LeaseTerms(length_s, length_s / 3, length_s / 6)
    return Lease(log, topic, member, instance, terms, fleet)
