"""Simulate model engines behind the engine client's interface."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core.runners import engine, orders
from martenquay_core.util import blocks, http

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_CHUNK_TOKENS = 256

__all__ = ["EngineModel", "FakeEngine", "FakeEngineClient", "TokenTally"]


@dataclasses.dataclass(frozen=True)
class EngineModel:
    """Speed, capacity and reporting delays of a simulated engine.

    Attributes:
        slots: Maximum number of concurrent requests.
        prefill_tokens_per_s: Prefill speed, one prompt chunk at a time.
        token_interval_s: Seconds between tokens in an idle engine.
        batch_slowdown: Relative increase of the interval with all slots busy.
        cache_blocks: Capacity of the prefix cache in blocks.
        load_lag_s: Delay of load reports in seconds.
        event_lag_s: Delay of cache events in seconds.
        event_drop_interval: Every n-th cache event is lost; 0 for none.
    """

    slots: int = 8
    prefill_tokens_per_s: float = 8_000.0
    token_interval_s: float = 0.025
    batch_slowdown: float = 0.6
    cache_blocks: int = 700
    load_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_drop_interval: int = 0


@dataclasses.dataclass
class TokenTally:
    """Prompt tokens that all engines computed.

    Attributes:
        prompt_tokens: Prompt tokens of all requests.
        computed_tokens: Prompt tokens that were not cached.
        recomputed_tokens: Tokens of blocks computed before, by cause.
        computed_blocks: Hashes of all blocks computed so far.
    """

    prompt_tokens: int = 0
    computed_tokens: int = 0
    recomputed_tokens: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    computed_blocks: set[int] = dataclasses.field(default_factory=set)

    def add_prompt(
        self,
        chain: list[int],
        cached_blocks: int,
        prompt_tokens: int,
        cause: str,
    ) -> None:
        """Add a prompt whose first `cached_blocks` blocks were cached."""
        self.prompt_tokens += prompt_tokens
        self.computed_tokens += (
            prompt_tokens - cached_blocks * blocks.BLOCK_TOKENS
        )
        again = sum(
            block in self.computed_blocks for block in chain[cached_blocks:]
        )
        self.recomputed_tokens[cause] += again * blocks.BLOCK_TOKENS
        self.computed_blocks.update(chain)


class _PrioritySemaphore:
    """Semaphore that admits waiting tasks by priority, then in FIFO order."""

    def __init__(self, count: int) -> None:
        self.available = count
        self._ids = itertools.count()
        self._waiting: list[tuple[int, int, trio.Event]] = []

    @property
    def queued(self) -> int:
        """Number of waiting tasks."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def enter(self, priority: int) -> AsyncIterator[None]:
        """Acquire a slot for the duration of the context."""
        if self.available > 0:
            self.available -= 1
        else:
            entry = (priority, next(self._ids), trio.Event())
            heapq.heappush(self._waiting, entry)
            try:
                await entry[2].wait()
            except trio.Cancelled:
                if entry in self._waiting:
                    self._waiting.remove(entry)
                    heapq.heapify(self._waiting)
                else:
                    self._leave()
                raise
        try:
            yield
        finally:
            self._leave()

    def _leave(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.available += 1


class FakeEngine:
    """Simulated engine with slots, prefill and a prefix cache.

    Attributes:
        is_dead: The engine breaks all streams and refuses new ones.
    """

    def __init__(self, model: EngineModel, tally: TokenTally) -> None:
        self.is_dead = False
        self._model = model
        self._tally = tally
        self._slots = _PrioritySemaphore(model.slots)
        self._prefill = _PrioritySemaphore(1)
        self._running = 0
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[float, orders.CacheEvent]] = []
        self._loads: list[tuple[float, orders.Load]] = []

    async def generate(
        self, order: orders.GenerateOrder
    ) -> AsyncIterator[orders.StreamEvent]:
        """Yield the events of one request."""
        async with self._slots.enter(order.priority):
            self._running += 1
            self._record_load()
            try:
                async for event in self._stream(order):
                    if self.is_dead:
                        raise engine.StreamLostError("the engine is gone")
                    yield event
            finally:
                self._running -= 1
                self._record_load()

    def insert_blocks(self, chain: list[int]) -> None:
        """Insert blocks into the cache; evict the least recently used ones."""
        added_blocks = [block for block in chain if block not in self._cache]
        for block in chain:
            self._cache[block] = None
            self._cache.move_to_end(block)
        removed_blocks = []
        while len(self._cache) > self._model.cache_blocks:
            removed_blocks.append(self._cache.popitem(last=False)[0])
        if added_blocks or removed_blocks:
            event_number = len(self._events) + 1
            event = orders.CacheEvent(
                event_number, added_blocks, removed_blocks
            )
            self._events.append((trio.current_time(), event))

    def list_cached(self, chain: list[int]) -> list[int]:
        """Return which of these blocks are cached."""
        return [block for block in chain if block in self._cache]

    def list_blocks(self) -> orders.BlockList:
        """Return the whole cache."""
        return orders.BlockList(len(self._events), list(self._cache))

    def read_events(self, event_number: int) -> list[orders.CacheEvent]:
        """Return the events after a number, except delayed and dropped ones."""
        visible_until = trio.current_time() - self._model.event_lag_s
        drop_interval = self._model.event_drop_interval
        return [
            event
            for time, event in self._events[event_number:]
            if time <= visible_until
            and not (drop_interval and event.number % drop_interval == 0)
        ]

    def read_load(self) -> orders.Load:
        """Return the load `load_lag_s` ago."""
        visible_until = trio.current_time() - self._model.load_lag_s
        for time, load in reversed(self._loads):
            if time <= visible_until:
                return load
        return orders.Load(0, 0)

    async def _stream(
        self, order: orders.GenerateOrder
    ) -> AsyncIterator[orders.StreamEvent]:
        cached_tokens = await self._prefill_prompt(order)
        yield orders.StreamStarted(
            order.request_id, order.attempt, cached_tokens, order.count_tokens()
        )
        for index in range(len(order.generated), order.max_tokens):
            utilization = self._running / self._model.slots
            slowdown = 1 + self._model.batch_slowdown * utilization
            await trio.sleep(self._model.token_interval_s * slowdown)
            yield orders.TokenEvent(
                order.request_id, order.attempt, index, "word "
            )
        yield orders.StreamFinished(
            order.request_id, order.attempt, order.max_tokens
        )

    async def _prefill_prompt(self, order: orders.GenerateOrder) -> int:
        chain = blocks.chain_blocks(order.full_text())
        prompt_tokens = order.count_tokens()
        cached_blocks = 0
        while (
            cached_blocks < len(chain) and chain[cached_blocks] in self._cache
        ):
            cached_blocks += 1
        cause = "placement" if order.attempt == 1 else "moved"
        self._tally.add_prompt(chain, cached_blocks, prompt_tokens, cause)
        # Chunked prefill: an urgent prompt overtakes others between chunks.
        uncached = prompt_tokens - cached_blocks * blocks.BLOCK_TOKENS
        while uncached > 0:
            chunk = min(uncached, _CHUNK_TOKENS)
            async with self._prefill.enter(order.priority):
                await trio.sleep(chunk / self._model.prefill_tokens_per_s)
            uncached -= chunk
        self.insert_blocks(chain)
        return cached_blocks * blocks.BLOCK_TOKENS

    def _record_load(self) -> None:
        load = orders.Load(self._running, self._slots.queued)
        self._loads.append((trio.current_time(), load))
        del self._loads[:-500]


class _FakeStream:
    def __init__(self, events: AsyncIterator[orders.StreamEvent]) -> None:
        self._events = events

    def iterate(self) -> AsyncIterator[orders.StreamEvent]:
        return self._events


class FakeEngineClient:
    """Engine client that calls simulated engines by address."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self._engines = engines

    @contextlib.asynccontextmanager
    async def generate(
        self, address: str, order: orders.GenerateOrder, read_timeout_s: float
    ) -> AsyncIterator[_FakeStream]:
        """Open a stream."""
        del read_timeout_s
        found = self._engines[address]
        if found.is_dead:
            raise engine.StreamLostError("refused")
        async with contextlib.aclosing(found.generate(order)) as events:
            yield _FakeStream(events)

    async def cancel(self, address: str, request_id: str) -> None:
        """Do nothing: closing the stream ends the request."""

    async def export_cache(
        self, address: str, text: str
    ) -> Result[list[int], http.CallFailure]:
        """Return the cached blocks of a text."""
        found = self._engines[address]
        if found.is_dead:
            return Error(http.CallFailure(sent=False, message="refused"))
        return Ok(found.list_cached(blocks.chain_blocks(text)))

    async def import_cache(
        self, address: str, exported: list[int]
    ) -> Result[None, http.CallFailure]:
        """Insert blocks into an engine's cache."""
        self._engines[address].insert_blocks(exported)
        return Ok(None)

    async def read_load(
        self, address: str
    ) -> Result[orders.Load, http.CallFailure]:
        """Return an engine's load."""
        return Ok(self._engines[address].read_load())

    async def read_events(
        self, address: str, event_number: int, wait_s: float
    ) -> Result[list[orders.CacheEvent], http.CallFailure]:
        """Return cache events, after a short wait if there are none."""
        del wait_s
        await trio.sleep(0.1)
        return Ok(self._engines[address].read_events(event_number))

    async def list_blocks(
        self, address: str
    ) -> Result[orders.BlockList, http.CallFailure]:
        """Return a whole cache."""
        return Ok(self._engines[address].list_blocks())
