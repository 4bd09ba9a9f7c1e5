"""Fake model engines behind the engine client's own calls, in virtual time."""

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

__all__ = ["EngineModel", "FakeEngine", "FakeEngineClient", "Tally"]


@dataclasses.dataclass(frozen=True)
class EngineModel:
    """How fast a fake engine is.

    Attributes:
        slots: Requests worked on at once.
        prefill_tokens_s: Prompt tokens read a second, one prompt at a time.
        token_s: Seconds between two tokens with one request running.
        batch_slowdown: How much slower tokens come with all slots busy.
        cache_blocks: How many prefix blocks the cache holds.
        load_lag_s: Seconds by which load reports are behind.
        event_lag_s: Seconds by which cache events are behind.
        event_gap: Every n-th cache event is left out; 0 for none.
    """

    slots: int = 8
    prefill_tokens_s: float = 8_000.0
    token_s: float = 0.025
    batch_slowdown: float = 0.6
    cache_blocks: int = 700
    load_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_gap: int = 0


@dataclasses.dataclass
class Tally:
    """What all engines together computed.

    Attributes:
        prompt_tokens: Prompt tokens asked for.
        computed_tokens: Those that no cache held.
        recomputed: Tokens of blocks that had been computed before, by cause.
        seen: All blocks ever computed.
    """

    prompt_tokens: int = 0
    computed_tokens: int = 0
    recomputed: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    seen: set[int] = dataclasses.field(default_factory=set)

    def count(
        self, chain: list[int], held: int, total: int, cause: str
    ) -> None:
        """Count one prompt of which the first `held` blocks were cached."""
        self.prompt_tokens += total
        self.computed_tokens += total - held * blocks.BLOCK_TOKENS
        again = sum(block in self.seen for block in chain[held:])
        self.recomputed[cause] += again * blocks.BLOCK_TOKENS
        self.seen.update(chain)


class _PriorityGate:
    """Let a bounded number in, by priority, then by arrival."""

    def __init__(self, count: int) -> None:
        self.free = count
        self._ids = itertools.count()
        self._waiting: list[tuple[int, int, trio.Event]] = []

    @property
    def queued(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def enter(self, priority: int) -> AsyncIterator[None]:
        """Wait for room and give it back afterwards."""
        if self.free > 0:
            self.free -= 1
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
            self.free += 1


class FakeEngine:
    """One engine.

    Attributes:
        dead: It breaks all streams and refuses new ones.
    """

    def __init__(self, model: EngineModel, tally: Tally) -> None:
        self.dead = False
        self._model = model
        self._tally = tally
        self._slots = _PriorityGate(model.slots)
        self._prefill = _PriorityGate(1)
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
            self._note_load()
            try:
                async for event in self._stream(order):
                    if self.dead:
                        raise engine.StreamLostError("the engine is gone")
                    yield event
            finally:
                self._running -= 1
                self._note_load()

    def hold(self, chain: list[int]) -> None:
        """Put blocks into the cache and drop the oldest."""
        added = [block for block in chain if block not in self._cache]
        for block in chain:
            self._cache[block] = None
            self._cache.move_to_end(block)
        removed = []
        while len(self._cache) > self._model.cache_blocks:
            removed.append(self._cache.popitem(last=False)[0])
        if added or removed:
            number = len(self._events) + 1
            event = orders.CacheEvent(number, added, removed)
            self._events.append((trio.current_time(), event))

    def list_held(self, chain: list[int]) -> list[int]:
        """Return which of these blocks are cached."""
        return [block for block in chain if block in self._cache]

    def list_blocks(self) -> orders.BlockList:
        """Return the whole cache."""
        return orders.BlockList(len(self._events), list(self._cache))

    def read_events(self, number: int) -> list[orders.CacheEvent]:
        """Return the events after a number that are old enough to show."""
        until = trio.current_time() - self._model.event_lag_s
        gap = self._model.event_gap
        return [
            event
            for time, event in self._events[number:]
            if time <= until and not (gap and event.number % gap == 0)
        ]

    def read_load(self) -> orders.Load:
        """Return the load as of some time ago."""
        until = trio.current_time() - self._model.load_lag_s
        for time, load in reversed(self._loads):
            if time <= until:
                return load
        return orders.Load(0, 0)

    async def _stream(
        self, order: orders.GenerateOrder
    ) -> AsyncIterator[orders.StreamEvent]:
        cached = await self._read_prompt(order)
        yield orders.StreamStarted(
            order.request_id, order.attempt, cached, order.count_tokens()
        )
        for index in range(len(order.generated), order.max_tokens):
            share = self._running / self._model.slots
            slowdown = 1 + self._model.batch_slowdown * share
            await trio.sleep(self._model.token_s * slowdown)
            yield orders.TokenEvent(
                order.request_id, order.attempt, index, "word "
            )
        yield orders.StreamFinished(
            order.request_id, order.attempt, order.max_tokens
        )

    async def _read_prompt(self, order: orders.GenerateOrder) -> int:
        chain = blocks.chain_blocks(order.full_text())
        total = order.count_tokens()
        held = 0
        while held < len(chain) and chain[held] in self._cache:
            held += 1
        cause = "placement" if order.attempt == 1 else "moved"
        self._tally.count(chain, held, total, cause)
        # Prompts are read in chunks, and the more urgent one's chunk is next.
        uncached = total - held * blocks.BLOCK_TOKENS
        while uncached > 0:
            chunk = min(uncached, _CHUNK_TOKENS)
            async with self._prefill.enter(order.priority):
                await trio.sleep(chunk / self._model.prefill_tokens_s)
            uncached -= chunk
        self.hold(chain)
        return held * blocks.BLOCK_TOKENS

    def _note_load(self) -> None:
        load = orders.Load(self._running, self._slots.queued)
        self._loads.append((trio.current_time(), load))
        del self._loads[:-500]


class _FakeStream:
    def __init__(self, events: AsyncIterator[orders.StreamEvent]) -> None:
        self._events = events

    def iterate(self) -> AsyncIterator[orders.StreamEvent]:
        return self._events


class FakeEngineClient:
    """The engine client's calls, answered by fake engines by address."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self._engines = engines

    @contextlib.asynccontextmanager
    async def generate(
        self, address: str, order: orders.GenerateOrder, read_timeout_s: float
    ) -> AsyncIterator[_FakeStream]:
        """Open a stream."""
        del read_timeout_s
        found = self._engines[address]
        if found.dead:
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
        if found.dead:
            return Error(http.CallFailure(sent=False, message="refused"))
        return Ok(found.list_held(blocks.chain_blocks(text)))

    async def import_cache(
        self, address: str, exported: list[int]
    ) -> Result[None, http.CallFailure]:
        """Put blocks into a cache."""
        self._engines[address].hold(exported)
        return Ok(None)

    async def read_load(
        self, address: str
    ) -> Result[orders.Load, http.CallFailure]:
        """Return an engine's load."""
        return Ok(self._engines[address].read_load())

    async def read_events(
        self, address: str, number: int, wait_s: float
    ) -> Result[list[orders.CacheEvent], http.CallFailure]:
        """Return cache events, after a short wait if there are none."""
        del wait_s
        await trio.sleep(0.1)
        return Ok(self._engines[address].read_events(number))

    async def list_blocks(
        self, address: str
    ) -> Result[orders.BlockList, http.CallFailure]:
        """Return a whole cache."""
        return Ok(self._engines[address].list_blocks())
