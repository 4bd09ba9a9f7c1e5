"""Simulate an engine that prefills by urgency and has a number of slots."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PREFILL_TOKENS_PER_S", "Job", "QueueEngine"]

# As measured on deployment A beside the generation of answers.
PREFILL_TOKENS_PER_S = 23_000.0


@dataclasses.dataclass
class Job:
    """One request at an engine.

    Attributes:
        tokens: Uncached prompt tokens.
        hold_s: Seconds in a slot after the first event.
        on_first: Called at the first event.
        on_end: Called when the request has left the engine.
        is_over: Whether it has ended or its caller has left.
    """

    tokens: int
    hold_s: float
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    is_over: bool = False

    def end(self) -> None:
        """End the request, if it has not ended."""
        if not self.is_over:
            self.is_over = True
            self.on_end()


class QueueEngine:
    """An engine that prefills one prompt at a time, the most urgent first.

    Attributes:
        speed: Speed relative to `PREFILL_TOKENS_PER_S`.
    """

    def __init__(
        self,
        slots: int,
        speed: float,
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self.speed = speed
        self._slots = slots
        self._schedule = schedule
        self._queue: list[tuple[int, int, Job]] = []
        self._running = 0
        self._is_reading = False
        self._number = 0

    def count_running(self) -> int:
        """Return the number of slots in use."""
        return self._running

    def count_queued(self) -> int:
        """Return the number of requests that have no slot."""
        return sum(not job.is_over for _, _, job in self._queue)

    def submit(self, urgency: int, job: Job) -> None:
        """Accept a request."""
        self._number += 1
        heapq.heappush(self._queue, (urgency, self._number, job))
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and self._queue[0][2].is_over:
            heapq.heappop(self._queue)
        if self._is_reading or not self._queue or self._running >= self._slots:
            return
        _, _, job = heapq.heappop(self._queue)
        self._is_reading = True
        self._running += 1
        read_s = job.tokens / (PREFILL_TOKENS_PER_S * self.speed)
        self._schedule(
            trio.current_time() + read_s, lambda: self._note_read(job)
        )

    def _note_read(self, job: Job) -> None:
        self._is_reading = False
        if not job.is_over:
            job.on_first()
            now = trio.current_time()
            self._schedule(now + job.hold_s, lambda: self._release(job))
        else:
            self._running -= 1
        self._start_next()

    def _release(self, job: Job) -> None:
        self._running -= 1
        job.end()
        self._start_next()
