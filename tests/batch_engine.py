"""Simulate an engine with continuous batching and chunked prefill."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import calls

__all__ = ["BatchEngine", "EnginePace", "Job"]

_STEP_S = 0.00612
_STEP_PER_REQUEST_S = 0.0000234
_CHUNK_TOKENS = 2048
_PREFILL_TOKENS_PER_S = 32_400.0
_START_DELAY_S = 0.064
_TOKENS_PER_EVENT = 3
# Prefix cache; running requests use the rest of the memory.
_CACHE_TOKENS = 160_000


@dataclasses.dataclass(frozen=True)
class EnginePace:
    """Speed of an engine over time.

    Attributes:
        factor: Speed relative to an engine of the service.
        slow_share: Share of the time in which the engine is slower.
        slow_s: Mean length of a slow period in seconds.
        slowdown: How many times slower it is then.
        seed: Seed of the periods.
    """

    factor: float = 1.0
    slow_share: float = 0.0
    slow_s: float = 0.6
    slowdown: float = 2.5
    seed: int = 0


class _Speedometer:
    """Speed factor at increasing times."""

    def __init__(self, pace: EnginePace) -> None:
        self._pace = pace
        self._rng = random.Random(pace.seed)
        self._is_slow = pace.slow_share > 0
        self._changes_at = 0.0

    def find_factor(self, now: float) -> float:
        pace = self._pace
        if pace.slow_share <= 0:
            return pace.factor
        while now >= self._changes_at:
            self._is_slow = not self._is_slow
            usual_s = pace.slow_s * (1 / pace.slow_share - 1)
            mean_s = pace.slow_s if self._is_slow else usual_s
            self._changes_at += self._rng.expovariate(1 / mean_s)
        return pace.factor / (pace.slowdown if self._is_slow else 1)


def _ignore_event(at: float) -> None:
    del at


@dataclasses.dataclass
class Job:
    """One request at an engine.

    Attributes:
        prompt: Prompt parts, of which the last is not shared.
        events: Number of events in the answer.
        on_first: Called with the time of the first event.
        on_end: Called with the time of the last event.
        on_event: Called with the time of each event after the first.
        begins_at: When prefill may start.
        unread: Prompt tokens left to prefill.
        written: Tokens generated.
    """

    prompt: tuple[calls.PromptPart, ...]
    events: int
    on_first: Callable[[float], None]
    on_end: Callable[[float], None]
    on_event: Callable[[float], None] = _ignore_event
    begins_at: float = 0.0
    unread: int = 0
    written: int = 0


class BatchEngine:
    """One simulated engine, whose time is advanced by its caller.

    Attributes:
        read_tokens: Prompt tokens that missed the prefix cache so far.
    """

    def __init__(self, pace: EnginePace | None = None) -> None:
        self.read_tokens = 0
        self._speed = _Speedometer(pace or EnginePace())
        self._now = 0.0
        self._prefilling: list[Job] = []
        self._running: list[Job] = []
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def submit(self, now: float, job: Job) -> None:
        """Accept a request."""
        self.advance(now)
        job.begins_at = now + _START_DELAY_S
        job.unread = self._cache_shared(job) + job.prompt[-1].tokens
        self.read_tokens += job.unread
        self._prefilling.append(job)

    def advance(self, until: float) -> None:
        """Simulate up to a time."""
        while self._now < until:
            if not self._running:
                next_start = min(
                    (j.begins_at for j in self._prefilling), default=until
                )
                self._now = max(self._now, min(until, next_start))
            if self._now < until:
                self._run_step()

    def _cache_shared(self, job: Job) -> int:
        """Cache the shared parts; return the tokens that were missing."""
        missing = 0
        for part in job.prompt[:-1]:
            # A part is usable only if all parts before it are cached as well.
            if missing or part.id not in self._cache:
                missing += part.tokens
            self._cache[part.id] = part.tokens
            self._cache.move_to_end(part.id)
        while sum(self._cache.values()) > _CACHE_TOKENS:
            self._cache.popitem(last=False)
        return missing

    def _run_step(self) -> None:
        chunk_left = _CHUNK_TOKENS
        for job in self._prefilling:
            if job.begins_at <= self._now:
                read = min(chunk_left, job.unread)
                job.unread -= read
                chunk_left -= read
        step_s = _STEP_S + _STEP_PER_REQUEST_S * len(self._running)
        step_s += (_CHUNK_TOKENS - chunk_left) / _PREFILL_TOKENS_PER_S
        self._now += step_s / self._speed.find_factor(self._now)
        for job in list(self._running):
            self._generate_token(job)
        for job in [j for j in self._prefilling if j.unread == 0]:
            self._prefilling.remove(job)
            self._running.append(job)

    def _generate_token(self, job: Job) -> None:
        job.written += 1
        if job.written == _TOKENS_PER_EVENT:
            job.on_first(self._now)
        elif job.written % _TOKENS_PER_EVENT == 0:
            job.on_event(self._now)
        if job.written == _TOKENS_PER_EVENT * job.events:
            self._running.remove(job)
            job.on_end(self._now)
