"""Fake model engine with batching, prefix cache, streams and faults."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from martenquay_core.runners import orders
from martenquay_core.util import blocks, progress
from martenquay_standins import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["EngineShape", "EngineStandIn", "make_token"]

_VOCABULARY = (
    "rose",
    "wall",
    "resin",
    "van",
    "order",
    "lily",
    "thread",
    "quay",
    "print",
    "card",
    "brief",
    "gear",
    "tulip",
    "slot",
    "note",
    "draft",
)


@dataclasses.dataclass(frozen=True)
class EngineShape:
    """Capacity and speed of an engine.

    Attributes:
        slots: Requests processed at the same time.
        prefill_tokens_s: Uncached prompt tokens processed per second.
        token_s: Time between two output tokens of one request.
        cache_blocks: Capacity of the prefix cache in blocks.
    """

    slots: int = 8
    prefill_tokens_s: float = 20_000.0
    token_s: float = 0.002
    cache_blocks: int = 4096


@dataclasses.dataclass
class EngineFaults(web.Faults):
    """Faults of an engine besides the common ones.

    Attributes:
        break_after: Reset each stream after this many tokens; -1 for never.
        repeat_tokens: Send every token event twice.
        swap_tokens: Swap the two events of each pair of token events.
        foreign_tokens: Insert events of another request and an old attempt.
        event_gap: Omit every n-th cache event; 0 for none.
        event_lag_s: Delay of cache events.
        load_lag_s: Age of the reported load.
        odd_load: Answer with a malformed load report.
    """

    break_after: int = -1
    repeat_tokens: bool = False
    swap_tokens: bool = False
    foreign_tokens: bool = False
    event_gap: int = 0
    event_lag_s: float = 0.0
    load_lag_s: float = 0.0
    odd_load: bool = False


def make_token(prompt: str, index: int) -> str:
    """Return the token at an index of the answer, the same on any engine."""
    seed = sum(prompt.encode()) + 31 * len(prompt) + 7 * index
    return _VOCABULARY[(seed * 2654435761 >> 7) % len(_VOCABULARY)] + " "


class _PrioritySemaphore:
    """Semaphore that admits waiters by priority, the lowest number first."""

    def __init__(self, count: int) -> None:
        self.free = count
        self.running = 0
        self._ids = itertools.count()
        self._waiting: list[tuple[int, int, trio.Event]] = []

    @property
    def queued(self) -> int:
        return len(self._waiting)

    async def acquire(self, priority: int) -> None:
        if self.free == 0:
            event = trio.Event()
            entry = (priority, next(self._ids), event)
            heapq.heappush(self._waiting, entry)
            try:
                await event.wait()
            except trio.Cancelled:
                self._abandon_wait(entry)
                raise
        else:
            self.free -= 1
        self.running += 1

    def release(self) -> None:
        self.running -= 1
        self._release_slot()

    def _abandon_wait(self, entry: tuple[int, int, trio.Event]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
        else:
            self._release_slot()

    def _release_slot(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.free += 1


class EngineStandIn(web.StandIn):
    """Engine whose tokens depend only on the prompt and their index.

    Attributes:
        runs: Number of starts by request id.
        prompt_tokens: Prompt tokens of all requests.
        computed_tokens: Those of them that were not in the prefix cache.
        reports: Number of load reports sent.
    """

    def __init__(self, shape: EngineShape) -> None:
        super().__init__()
        self.faults: EngineFaults = EngineFaults()
        self.reports = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.prompt_tokens = 0
        self.computed_tokens = 0
        self._shape = shape
        self._slots = _PrioritySemaphore(shape.slots)
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: list[orders.CacheEvent] = []
        self._event_end = progress.Progress(0)
        self._loads: list[tuple[float, orders.Load]] = []
        self._streams: dict[str, trio.CancelScope] = {}
        self._fencing_token = 0

    async def handle(self, request: web.Request) -> None:
        """Serve the engine API, and `/runs` for tests."""
        if request.path == "/runs":
            await web.reply_json(request.send, self._describe())
            return
        if await self.refuse_when_down(request):
            return
        match request.path:
            case "/v1/generate":
                await self._generate(request)
            case "/v1/cancel":
                self._cancel(request.read_json()["request_id"])
                await web.reply_json(request.send, {})
            case "/v1/kv/export":
                await self._export(request)
            case "/v1/kv/import":
                self._cache_chain(request.read_json()["blocks"])
                await web.reply_json(request.send, {})
            case "/v1/events":
                await self._read_events(request)
            case "/v1/blocks":
                await self._list_blocks(request)
            case "/v1/load":
                await self._send_load(request)
            case "/v1/orders":
                await self._apply_order(request)
            case _:
                await web.reply_json(request.send, {"error": "unknown"}, 404)

    async def _generate(self, request: web.Request) -> None:
        order = msgspec.json.decode(request.body, type=orders.GenerateOrder)
        self.runs[order.request_id] += 1
        await request.send(
            {"type": "http.response.start", "status": 200, "headers": []}
        )
        with trio.CancelScope() as scope:
            self._streams[order.request_id] = scope
            await self._slots.acquire(order.priority)
            self._record_load()
            try:
                await self._stream(request, order)
            finally:
                self._slots.release()
                self._record_load()
        self._streams.pop(order.request_id, None)
        await request.send({"type": "http.response.body", "body": b""})

    async def _stream(
        self, request: web.Request, order: orders.GenerateOrder
    ) -> None:
        cached = await self._prefill(order)
        await _send_event(
            request,
            orders.StreamStarted(
                order.request_id, order.attempt, cached, order.count_tokens()
            ),
        )
        sent = 0
        async for event in self._iterate_tokens(order):
            if self.faults.down or sent == self.faults.break_after:
                raise ConnectionResetError(
                    "stream reset by the fault break_after"
                )
            await _send_event(request, event)
            sent += 1
        await _send_event(
            request,
            orders.StreamFinished(
                order.request_id, order.attempt, order.max_tokens
            ),
        )

    async def _prefill(self, order: orders.GenerateOrder) -> int:
        text = order.full_text()
        chain = blocks.chain_blocks(text)
        held = 0
        while held < len(chain) and chain[held] in self._cache:
            held += 1
        cached = held * blocks.BLOCK_TOKENS
        total = order.count_tokens()
        self.prompt_tokens += total
        self.computed_tokens += total - cached
        await trio.sleep((total - cached) / self._shape.prefill_tokens_s)
        self._cache_chain(chain)
        return cached

    async def _iterate_tokens(
        self, order: orders.GenerateOrder
    ) -> AsyncIterator[orders.StreamEvent]:
        held: list[orders.TokenEvent] = []
        for index in range(len(order.generated), order.max_tokens):
            await trio.sleep(self._shape.token_s)
            text = make_token(order.prompt, index)
            held.append(
                orders.TokenEvent(order.request_id, order.attempt, index, text)
            )
            if self.faults.swap_tokens and len(held) < 2:
                continue
            for event in self._apply_token_faults(held):
                yield event
            held = []
        for event in held:
            yield event

    def _apply_token_faults(
        self, events: list[orders.TokenEvent]
    ) -> list[orders.TokenEvent]:
        shown = list(reversed(events))
        if self.faults.repeat_tokens:
            shown = shown + events
        if self.faults.foreign_tokens:
            other = msgspec.structs.replace(
                events[0], request_id="other", text="foreign "
            )
            older = msgspec.structs.replace(
                events[0], attempt=events[0].attempt - 1, text="stale "
            )
            shown = [other, older, *shown]
        return shown

    def _cancel(self, request_id: str) -> None:
        scope = self._streams.get(request_id)
        if scope is not None:
            scope.cancel()

    async def _export(self, request: web.Request) -> None:
        text = request.read_json()["text"]
        held = [
            block for block in blocks.chain_blocks(text) if block in self._cache
        ]
        await web.reply_json(request.send, {"blocks": held})

    def _cache_chain(self, chain: list[int]) -> None:
        added = [block for block in chain if block not in self._cache]
        for block in chain:
            self._cache[block] = None
            self._cache.move_to_end(block)
        removed = []
        while len(self._cache) > self._shape.cache_blocks:
            removed.append(self._cache.popitem(last=False)[0])
        if added or removed:
            number = len(self._events) + 1
            self._events.append(orders.CacheEvent(number, added, removed))
            self._event_end.advance(number)

    async def _read_events(self, request: web.Request) -> None:
        start = int(request.query.get("from", "0"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        with trio.move_on_after(wait_s):
            await self._event_end.wait_beyond(start)
        await trio.sleep(self.faults.event_lag_s)
        gap = self.faults.event_gap
        shown = [
            event
            for event in self._events[start:]
            if not gap or event.number % gap
        ]
        await web.reply_json(request.send, shown)

    async def _list_blocks(self, request: web.Request) -> None:
        await web.reply_json(
            request.send, orders.BlockList(len(self._events), list(self._cache))
        )

    async def _send_load(self, request: web.Request) -> None:
        malformed = {"running": "many"}
        report = (
            malformed if self.faults.odd_load else self._find_visible_load()
        )
        self.reports += 1
        await web.reply_json(request.send, report)

    def _record_load(self) -> None:
        load = orders.Load(self._slots.running, self._slots.queued)
        self._loads.append((trio.current_time(), load))
        del self._loads[:-1000]

    def _find_visible_load(self) -> orders.Load:
        until = trio.current_time() - self.faults.load_lag_s
        seen = [load for time, load in self._loads if time <= until]
        return seen[-1] if seen else orders.Load(0, 0)

    async def _apply_order(self, request: web.Request) -> None:
        fields = request.read_json()
        if fields["token"] < self._fencing_token:
            await web.reply_json(
                request.send, {"token": self._fencing_token}, 409
            )
            return
        self._fencing_token = fields["token"]
        await web.reply_json(request.send, {"token": self._fencing_token})

    def _describe(self) -> dict[str, Any]:
        return {
            "runs": dict(self.runs),
            "prompt_tokens": self.prompt_tokens,
            "computed_tokens": self.computed_tokens,
        }


async def _send_event(request: web.Request, event: orders.StreamEvent) -> None:
    line = msgspec.json.encode(event) + b"\n"
    await request.send(
        {"type": "http.response.body", "body": line, "more_body": True}
    )
