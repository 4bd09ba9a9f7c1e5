"""Let requests in: the urgent first, teams by weight within an urgency.

Order within an urgency is start-time fair queueing: each request gets a tag
that grows with its cost over its team's weight, and the lowest goes next.
A request that cannot wait in the bounded queue is refused at once, with the
time that the queue needs to drain at its measured rate.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core import results
from martenquay_core.config import objects

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Admission", "Ask", "Permit", "PoolCapacity"]

# The part of a pool's capacity that requests which are not urgent may fill.
_INTERACTIVE_FILL = 0.9
# Room kept free of requests that may wait: so many times what the others
# have used lately, for they come in bursts.
_RESERVE = 4.0
_LATELY_S = 10.0
_RATE_DECAY = 0.9
_MIN_RETRY_S = 1.0
_MAX_RETRY_S = 60.0
_BUCKET_S = 4.0


@dataclasses.dataclass(frozen=True)
class PoolCapacity:
    """What this daemon may use of a pool.

    Attributes:
        running: The most requests running at once.
        queue: The most requests waiting.
        even: This daemon's even part of the pool's slots; requests that may
            wait never fill more.
    """

    running: int
    queue: int
    even: float


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request to be let in.

    Attributes:
        team: The team that pays.
        weight: The team's weight.
        concurrency: The most requests this team may run at this daemon.
        token_rate: The most tokens a second for the team at this daemon.
        pool: The pool it goes to.
        urgency: How long it may wait.
        cost: Tokens, or 1 for a service call.
        deadline: When it has to have been let in, in trio's time.
    """

    team: str
    weight: float
    concurrency: int
    token_rate: float
    pool: str
    urgency: objects.Urgency
    cost: float
    deadline: float


@dataclasses.dataclass
class Permit:
    """The right to run; given back by `Admission.leave`.

    Attributes:
        ask: What was let in.
        waited_s: How long it waited.
    """

    ask: Ask
    waited_s: float


@dataclasses.dataclass
class _Waiting:
    ask: Ask
    start_tag: float
    entered: trio.Event = dataclasses.field(default_factory=trio.Event)


class _Bucket:
    """Tokens that a team may still have generated."""

    def __init__(self, now: float, rate: float) -> None:
        self.level = rate * _BUCKET_S
        self._filled_at = now

    def take(self, now: float, rate: float, cost: float) -> float:
        """Take the cost; return 0, or the seconds until it would fit."""
        self.level += (now - self._filled_at) * rate
        self.level = min(self.level, rate * _BUCKET_S)
        self._filled_at = now
        # A request larger than the bucket passes when the bucket is full.
        needed = min(cost, rate * _BUCKET_S)
        if self.level < needed:
            return (needed - self.level) / rate
        self.level -= cost
        return 0.0


class _PoolQueue:
    """The requests running at and waiting for one pool."""

    def __init__(self, now: float) -> None:
        self.running = 0
        self.queued = 0
        self.virtual_time = 0.0
        self.waiting: dict[
            objects.Urgency, dict[str, collections.deque[_Waiting]]
        ] = {urgency: {} for urgency in objects.Urgency}
        self.finish_tags: dict[str, float] = {}
        self.drain_rate = 0.0
        self.foreground = 0
        self._foreground_mean = 0.0
        self._mean_at = now
        self._last_leave = now

    def tag(self, ask: Ask) -> float:
        """Return the request's start tag and advance its team's."""
        start = max(self.virtual_time, self.finish_tags.get(ask.team, 0.0))
        self.finish_tags[ask.team] = start + ask.cost / ask.weight
        return start

    def count_foreground(self, now: float, change: int) -> None:
        """Note a request that may not wait, starting (1) or leaving (-1)."""
        self.read_foreground(now)
        self.foreground += change

    def read_foreground(self, now: float) -> float:
        """Return how many of them ran lately, or run now if those are more."""
        kept = math.exp(-(now - self._mean_at) / _LATELY_S)
        self._mean_at = now
        self._foreground_mean = (
            kept * self._foreground_mean + (1 - kept) * self.foreground
        )
        return max(self._foreground_mean, self.foreground)

    def note_leave(self, now: float) -> None:
        """Update the measured rate at which requests leave."""
        elapsed = max(now - self._last_leave, 1e-4)
        self._last_leave = now
        rate = 1.0 / elapsed
        if self.drain_rate == 0.0:
            self.drain_rate = rate
        # The mean is taken over times, which a burst does not distort.
        mean_s = _RATE_DECAY / self.drain_rate + (1 - _RATE_DECAY) * elapsed
        self.drain_rate = 1.0 / mean_s


class Admission:
    """Let requests in at one daemon."""

    def __init__(self, find_capacity: Callable[[str], PoolCapacity]) -> None:
        self._find_capacity = find_capacity
        self._pools: dict[str, _PoolQueue] = {}
        self._team_running: collections.Counter[str] = collections.Counter()
        self._buckets: dict[str, _Bucket] = {}

    async def enter(self, ask: Ask) -> Result[Permit, results.Failure]:
        """Wait for room, or say at once that there is none."""
        now = trio.current_time()
        pool = self._pools.setdefault(ask.pool, _PoolQueue(now))
        refused = self._refuse_early(ask, pool, now)
        if refused is not None:
            return Error(refused)
        waiting = _Waiting(ask, pool.tag(ask))
        queues = pool.waiting[ask.urgency]
        queues.setdefault(ask.team, collections.deque()).append(waiting)
        pool.queued += 1
        self._admit_waiting(ask.pool, pool)
        try:
            with trio.move_on_at(ask.deadline):
                await waiting.entered.wait()
        except trio.Cancelled:
            self._give_up(ask, pool, waiting)
            raise
        if not waiting.entered.is_set():
            self._give_up(ask, pool, waiting)
            code = results.ResultCode.NOT_RUN_DEADLINE
            message = "no runner was free before the deadline"
            retry_after_s = self._estimate_wait(pool)
            return Error(results.Failure(code, message, retry_after_s))
        return Ok(Permit(ask, trio.current_time() - now))

    def leave(self, permit: Permit) -> None:
        """Give the permit back and let the next in."""
        ask = permit.ask
        pool = self._pools[ask.pool]
        pool.running -= 1
        self._team_running[ask.team] -= 1
        pool.note_leave(trio.current_time())
        if ask.urgency is not objects.Urgency.DEFERRABLE:
            pool.count_foreground(trio.current_time(), -1)
        # The team's limit may have held requests to any pool.
        for name, other in self._pools.items():
            self._admit_waiting(name, other)

    def count_running(self, pool: str) -> int:
        """Return how many requests run at a pool from here."""
        found = self._pools.get(pool)
        return found.running if found else 0

    def count_queued(self, pool: str) -> int:
        """Return how many requests wait for a pool here."""
        found = self._pools.get(pool)
        return found.queued if found else 0

    def _refuse_early(
        self, ask: Ask, pool: _PoolQueue, now: float
    ) -> results.Failure | None:
        code = results.ResultCode.NOT_RUN_OVERLOADED
        if pool.queued >= self._find_capacity(ask.pool).queue:
            message = f"the queue for {ask.pool} is full"
            return results.Failure(code, message, self._estimate_wait(pool))
        bucket = self._buckets.setdefault(
            ask.team, _Bucket(now, ask.token_rate)
        )
        short_s = bucket.take(now, ask.token_rate, ask.cost)
        if short_s > 0:
            message = f"team {ask.team} is over its token rate"
            return results.Failure(code, message, _bound_retry(short_s))
        return None

    def _admit_waiting(self, name: str, pool: _PoolQueue) -> None:
        capacity = self._find_capacity(name)
        while True:
            chosen = self._choose_next(pool, capacity)
            if chosen is None:
                return
            pool.queued -= 1
            pool.running += 1
            pool.virtual_time = max(pool.virtual_time, chosen.start_tag)
            self._team_running[chosen.ask.team] += 1
            if chosen.ask.urgency is not objects.Urgency.DEFERRABLE:
                pool.count_foreground(trio.current_time(), 1)
            chosen.entered.set()

    def _choose_next(
        self, pool: _PoolQueue, capacity: PoolCapacity
    ) -> _Waiting | None:
        for urgency, queues in pool.waiting.items():
            if pool.running >= _find_bound(pool, capacity, urgency):
                return None
            heads = [
                queue
                for queue in queues.values()
                if queue and self._may_run(queue[0].ask)
            ]
            if heads:
                best = min(heads, key=lambda queue: queue[0].start_tag)
                return best.popleft()
        return None

    def _may_run(self, ask: Ask) -> bool:
        return self._team_running[ask.team] < ask.concurrency

    def _give_up(self, ask: Ask, pool: _PoolQueue, waiting: _Waiting) -> None:
        if waiting.entered.is_set():
            self.leave(Permit(ask, 0.0))
            return
        pool.waiting[ask.urgency][ask.team].remove(waiting)
        pool.queued -= 1

    def _estimate_wait(self, pool: _PoolQueue) -> float:
        if pool.drain_rate == 0.0:
            return _MIN_RETRY_S
        return _bound_retry((pool.queued + 1) / pool.drain_rate)


def _find_bound(
    pool: _PoolQueue, capacity: PoolCapacity, urgency: objects.Urgency
) -> int:
    """Return how many may run in all for one more of this urgency to start."""
    match urgency:
        case objects.Urgency.URGENT:
            return capacity.running
        case objects.Urgency.INTERACTIVE:
            return max(1, math.floor(capacity.running * _INTERACTIVE_FILL))
        case objects.Urgency.DEFERRABLE:
            foreground = pool.read_foreground(trio.current_time())
            return max(1, math.floor(capacity.even - _RESERVE * foreground))


def _bound_retry(seconds: float) -> float:
    return min(max(seconds, _MIN_RETRY_S), _MAX_RETRY_S)
