"""Admission control: a bounded priority queue, weighted fair among teams."""

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

__all__ = ["Admission", "PermitRequest", "Permit", "PoolCapacity"]

# The rest of a pool's capacity is kept free for urgent requests.
_INTERACTIVE_CAPACITY_FRACTION = 0.9
# Deferrable requests leave this multiple of the recent foreground load free, as
# foreground requests come in bursts.
_FOREGROUND_RESERVE_FACTOR = 4.0
_FOREGROUND_DECAY_S = 10.0
_DRAIN_RATE_DECAY = 0.9
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 60.0
_BUCKET_CAPACITY_S = 4.0


@dataclasses.dataclass(frozen=True)
class PoolCapacity:
    """The part of a pool that this daemon may use.

    Attributes:
        running: Most requests that run at once.
        queue: Most requests that wait.
        even_share: Slots of the pool divided by the number of daemons; the
            limit for deferrable requests.
    """

    running: int
    queue: int
    even_share: float


@dataclasses.dataclass(frozen=True)
class PermitRequest:
    """A request that asks for admission.

    Attributes:
        team: Team whose limits apply.
        weight: Weight of the team in fair queueing.
        concurrency: Most requests that the team may run at this daemon.
        token_rate: Tokens per second that the team may use at this daemon.
        pool: Pool that is to run the request.
        urgency: Priority class.
        cost: Tokens, or 1 for a service call.
        deadline: When waiting for admission ends, in trio's time.
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
    """Permission to run, returned by `Admission.leave`.

    Attributes:
        ask: The admitted request.
        waited_s: Seconds that it was queued.
    """

    ask: PermitRequest
    waited_s: float


@dataclasses.dataclass
class _QueuedRequest:
    ask: PermitRequest
    start_tag: float
    admitted: trio.Event = dataclasses.field(default_factory=trio.Event)


class _TokenBucket:
    """Token bucket of one team."""

    def __init__(self, now: float, rate: float) -> None:
        self.level = rate * _BUCKET_CAPACITY_S
        self._filled_at = now

    def take(self, now: float, rate: float, cost: float) -> float:
        """Spend the cost; return 0, or the seconds until there is enough."""
        self.level += (now - self._filled_at) * rate
        self.level = min(self.level, rate * _BUCKET_CAPACITY_S)
        self._filled_at = now
        # A request larger than the bucket would otherwise never be admitted.
        needed = min(cost, rate * _BUCKET_CAPACITY_S)
        if self.level < needed:
            return (needed - self.level) / rate
        self.level -= cost
        return 0.0


class _PoolQueue:
    """Running and queued requests of one pool."""

    def __init__(self, now: float) -> None:
        self.running = 0
        self.queued = 0
        self.virtual_time = 0.0
        self.waiting: dict[
            objects.Urgency, dict[str, collections.deque[_QueuedRequest]]
        ] = {urgency: {} for urgency in objects.Urgency}
        self.finish_tags: dict[str, float] = {}
        self.drain_rate = 0.0
        self.foreground = 0
        self._foreground_mean = 0.0
        self._mean_at = now
        self._last_leave = now

    def assign_start_tag(self, ask: PermitRequest) -> float:
        """Return the request's start tag; advance its team's finish tag."""
        start = max(self.virtual_time, self.finish_tags.get(ask.team, 0.0))
        self.finish_tags[ask.team] = start + ask.cost / ask.weight
        return start

    def update_foreground(self, now: float, change: int) -> None:
        """Record that a foreground request starts (1) or ends (-1)."""
        self.measure_foreground(now)
        self.foreground += change

    def measure_foreground(self, now: float) -> float:
        """Return the higher of the decaying mean and the current count."""
        kept = math.exp(-(now - self._mean_at) / _FOREGROUND_DECAY_S)
        self._mean_at = now
        self._foreground_mean = (
            kept * self._foreground_mean + (1 - kept) * self.foreground
        )
        return max(self._foreground_mean, self.foreground)

    def note_leave(self, now: float) -> None:
        """Update the measured rate at which requests end."""
        elapsed = max(now - self._last_leave, 1e-4)
        self._last_leave = now
        rate = 1.0 / elapsed
        if self.drain_rate == 0.0:
            self.drain_rate = rate
        # Averaging rates instead of intervals would let a burst dominate.
        mean_s = (
            _DRAIN_RATE_DECAY / self.drain_rate
            + (1 - _DRAIN_RATE_DECAY) * elapsed
        )
        self.drain_rate = 1.0 / mean_s


class Admission:
    """Admits requests at one daemon, by urgency and then by team.

    Within an urgency, start-time fair queueing applies: each request gets a tag
    that grows with its cost over its team's weight, and the lowest goes next.
    """

    def __init__(self, find_capacity: Callable[[str], PoolCapacity]) -> None:
        self._find_capacity = find_capacity
        self._pools: dict[str, _PoolQueue] = {}
        self._team_running: collections.Counter[str] = collections.Counter()
        self._buckets: dict[str, _TokenBucket] = {}

    async def enter(
        self, ask: PermitRequest
    ) -> Result[Permit, results.Failure]:
        """Wait for admission; fail at once if the queue or a rate is full."""
        now = trio.current_time()
        pool = self._pools.setdefault(ask.pool, _PoolQueue(now))
        refusal = self._refuse_early(ask, pool, now)
        if refusal is not None:
            return Error(refusal)
        waiting = _QueuedRequest(ask, pool.assign_start_tag(ask))
        queues = pool.waiting[ask.urgency]
        queues.setdefault(ask.team, collections.deque()).append(waiting)
        pool.queued += 1
        self._admit_waiting(ask.pool, pool)
        try:
            with trio.move_on_at(ask.deadline):
                await waiting.admitted.wait()
        except trio.Cancelled:
            self._abandon(ask, pool, waiting)
            raise
        if not waiting.admitted.is_set():
            self._abandon(ask, pool, waiting)
            code = results.ResultCode.NOT_RUN_DEADLINE
            message = "no runner was free before the deadline"
            retry_after_s = self._estimate_wait(pool)
            return Error(results.Failure(code, message, retry_after_s))
        return Ok(Permit(ask, trio.current_time() - now))

    def leave(self, permit: Permit) -> None:
        """Return a permit and admit the requests that may run now."""
        ask = permit.ask
        pool = self._pools[ask.pool]
        pool.running -= 1
        self._team_running[ask.team] -= 1
        pool.note_leave(trio.current_time())
        if ask.urgency is not objects.Urgency.DEFERRABLE:
            pool.update_foreground(trio.current_time(), -1)
        # The team's concurrency limit may have blocked requests in any pool.
        for name, other in self._pools.items():
            self._admit_waiting(name, other)

    def count_running(self, pool: str) -> int:
        """Return how many requests of this daemon run in a pool."""
        found = self._pools.get(pool)
        return found.running if found else 0

    def count_queued(self, pool: str) -> int:
        """Return how many requests of this daemon wait for a pool."""
        found = self._pools.get(pool)
        return found.queued if found else 0

    def _refuse_early(
        self, ask: PermitRequest, pool: _PoolQueue, now: float
    ) -> results.Failure | None:
        code = results.ResultCode.NOT_RUN_OVERLOADED
        if pool.queued >= self._find_capacity(ask.pool).queue:
            message = f"the queue for {ask.pool} is full"
            return results.Failure(code, message, self._estimate_wait(pool))
        bucket = self._buckets.setdefault(
            ask.team, _TokenBucket(now, ask.token_rate)
        )
        missing_s = bucket.take(now, ask.token_rate, ask.cost)
        if missing_s > 0:
            message = f"team {ask.team} is over its token rate"
            return results.Failure(code, message, _clamp_retry_after(missing_s))
        return None

    def _admit_waiting(self, name: str, pool: _PoolQueue) -> None:
        capacity = self._find_capacity(name)
        while True:
            next_request = self._choose_next(pool, capacity)
            if next_request is None:
                return
            pool.queued -= 1
            pool.running += 1
            pool.virtual_time = max(pool.virtual_time, next_request.start_tag)
            self._team_running[next_request.ask.team] += 1
            if next_request.ask.urgency is not objects.Urgency.DEFERRABLE:
                pool.update_foreground(trio.current_time(), 1)
            next_request.admitted.set()

    def _choose_next(
        self, pool: _PoolQueue, capacity: PoolCapacity
    ) -> _QueuedRequest | None:
        for urgency, queues in pool.waiting.items():
            if pool.running >= _find_running_limit(pool, capacity, urgency):
                return None
            ready_queues = [
                queue
                for queue in queues.values()
                if queue and self._may_run(queue[0].ask)
            ]
            if ready_queues:
                best = min(ready_queues, key=lambda queue: queue[0].start_tag)
                return best.popleft()
        return None

    def _may_run(self, ask: PermitRequest) -> bool:
        return self._team_running[ask.team] < ask.concurrency

    def _abandon(
        self, ask: PermitRequest, pool: _PoolQueue, waiting: _QueuedRequest
    ) -> None:
        if waiting.admitted.is_set():
            self.leave(Permit(ask, 0.0))
            return
        pool.waiting[ask.urgency][ask.team].remove(waiting)
        pool.queued -= 1

    def _estimate_wait(self, pool: _PoolQueue) -> float:
        if pool.drain_rate == 0.0:
            return _MIN_RETRY_AFTER_S
        return _clamp_retry_after((pool.queued + 1) / pool.drain_rate)


def _find_running_limit(
    pool: _PoolQueue, capacity: PoolCapacity, urgency: objects.Urgency
) -> int:
    """Return the running requests below which one of this urgency may start."""
    match urgency:
        case objects.Urgency.URGENT:
            return capacity.running
        case objects.Urgency.INTERACTIVE:
            return max(
                1, math.floor(capacity.running * _INTERACTIVE_CAPACITY_FRACTION)
            )
        case objects.Urgency.DEFERRABLE:
            foreground = pool.measure_foreground(trio.current_time())
            return max(
                1,
                math.floor(
                    capacity.even_share
                    - _FOREGROUND_RESERVE_FACTOR * foreground
                ),
            )


def _clamp_retry_after(retry_after_s: float) -> float:
    return min(max(retry_after_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
