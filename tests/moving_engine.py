"""Fake engines that stream events and copy runs to each other over HTTP."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import json
from typing import TYPE_CHECKING

import h11
import trio

from martenquay_standins import loopback

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["ActiveSpan", "EngineFaults", "EngineGrid", "MovingEngine"]

_RECEIVE_BYTES = 65_536
_EVENT_S = 0.02


@dataclasses.dataclass
class EngineFaults:
    """How an engine deviates from a healthy one.

    Attributes:
        has_no_room: It refuses copies as a target.
        refuses_last: As a source it refuses last copies, with the handle.
        rejects_copies: It answers requests that name a copy with 503.
        loses_last: Answers to last copies that it withholds.
        busy: Calls that it answers with 409 first.
        is_mute: It does not answer calls about copies at all.
        copy_s: Time that a copy takes.
        late_events: Events that it still sends after a last copy.
        keeps_open: It does not close the stream of a stopped run.
        ends_cleanly: It ends the stream of a stopped run like a complete one.
        forgets_runs: It answers calls about copies with 404.
        ends_on_last: As a source it ends when a last copy is asked for.
        ends_with_copy: As a target it ends when it got a last copy.
        first_event_s: Seconds until its first event.
    """

    has_no_room: bool = False
    refuses_last: bool = False
    rejects_copies: bool = False
    loses_last: int = 0
    busy: int = 0
    is_mute: bool = False
    copy_s: float = 0.0
    late_events: int = 0
    keeps_open: bool = False
    ends_cleanly: bool = False
    forgets_runs: bool = False
    ends_on_last: bool = False
    ends_with_copy: bool = False
    first_event_s: float = 0.0


@dataclasses.dataclass
class ActiveSpan:
    """Time in which a run was active at one engine, on trio's clock."""

    engine: str
    call: str
    began_at: float
    ended_at: float | None = None


@dataclasses.dataclass
class _Run:
    """A run at one engine.

    Attributes:
        call: Id of the request.
        seed: Distinguishes it from other runs of the same request.
        events: Events created so far.
    """

    call: str
    seed: int
    events: int
    stop: trio.Event = dataclasses.field(default_factory=trio.Event)
    late_events: int = 0
    is_stopped: bool = False


@dataclasses.dataclass
class _Copy:
    seed: int
    events: int
    holders: set[str]


@dataclasses.dataclass
class _Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class EngineGrid:
    """What fake engines share: the copies, and when runs were active.

    Attributes:
        spans: All times in which runs were active.
        copies: Copies by handle; a used or freed one is removed.
        seeds: Number of runs that began at a prompt.
        calls: All calls on engines, as (engine, method, path, body).
    """

    def __init__(self) -> None:
        self.spans: list[ActiveSpan] = []
        self.copies: dict[str, _Copy] = {}
        self.seeds = 0
        self.calls: list[tuple[str, str, str, dict[str, object]]] = []
        self.engines: dict[str, MovingEngine] = {}
        self._numbers = itertools.count(1)

    def create_handle(self) -> str:
        """Return the id of a new copy."""
        return f"h{next(self._numbers)}"

    def count_calls(self, *, is_last: bool) -> int:
        """Return the number of orders to copy a run."""
        return sum(
            path == "/api/kv-move" and bool(body.get("Last")) == is_last
            for _, _, path, body in self.calls
        )

    def find_longest_overlap(self) -> float:
        """Return the longest time that one request ran at two engines."""
        now = trio.current_time()
        longest = 0.0
        for one, other in itertools.combinations(self.spans, 2):
            if one.call == other.call and one.engine != other.engine:
                ended_at = min(one.ended_at or now, other.ended_at or now)
                overlap = ended_at - max(one.began_at, other.began_at)
                longest = max(longest, overlap)
        return longest

    @contextlib.contextmanager
    def record_active(self, engine: str, call: str) -> Iterator[None]:
        """Record that a run is active while the context is open."""
        span = ActiveSpan(engine, call, trio.current_time())
        self.spans.append(span)
        try:
            yield
        finally:
            span.ended_at = trio.current_time()


class MovingEngine:
    """One fake engine.

    Attributes:
        id: The runner id, which requests must name.
        address: Host and port.
        faults: How it deviates from a healthy engine.
        requests: Headers of the requests that it has received.
        events: Events of each stream.
    """

    def __init__(self, grid: EngineGrid, engine_id: str, events: int) -> None:
        self.id = engine_id
        self.address = ""
        self.faults = EngineFaults()
        self.requests: list[dict[str, str]] = []
        self.events = events
        self._grid = grid
        self._runs: dict[str, _Run] = {}
        self._scope = trio.CancelScope()

    @property
    def running(self) -> set[str]:
        """Ids of the requests that run."""
        return set(self._runs)

    def count_events(self, call: str) -> int:
        """Return the events that a run has created; 0 if there is none."""
        run = self._runs.get(call)
        return run.events if run else 0

    def end(self) -> None:
        """End as a process does: all connections close."""
        self._scope.cancel()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or ended."""
        listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._grid.engines[self.address] = self
        task_status.started()
        with self._scope:
            await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            request = await _read_request(http, stream)
            if request is not None:
                await self._answer(http, stream, request)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer(
        self, http: h11.Connection, stream: trio.SocketStream, request: _Request
    ) -> None:
        if request.target.startswith("/api/"):
            status, content = await self._answer_call(request)
            body = json.dumps(content).encode()
            await _send_answer(http, stream, status, body)
            return
        self.requests.append(request.headers)
        refusal = self._find_refusal(request)
        if refusal:
            headers = [
                ("attempt-id", request.headers["attempt-id"]),
                ("not-executed", "1"),
            ]
            await _send_answer(http, stream, refusal, b"", headers)
            return
        await self._stream(http, stream, request)

    def _find_refusal(self, request: _Request) -> int:
        if request.headers.get("expect-instance") != self.id:
            return 421
        source = request.headers.get("kv-from")
        if source is None:
            return 0
        copy = self._grid.copies.get(source.partition("/")[2])
        is_held = copy is not None and self.address in copy.holders
        return 0 if is_held and not self.faults.rejects_copies else 503

    def _begin_run(self, request: _Request) -> _Run:
        call = request.headers["attempt-id"]
        source = request.headers.get("kv-from")
        last_event = int(request.headers.get("last-event-id", "0"))
        if source is None:
            self._grid.seeds += 1
            return _Run(call, self._grid.seeds, last_event)
        copy = self._grid.copies.pop(source.partition("/")[2])
        return _Run(call, copy.seed, last_event)

    async def _stream(
        self, http: h11.Connection, stream: trio.SocketStream, request: _Request
    ) -> None:
        run = self._begin_run(request)
        self._runs[run.call] = run
        headers = [
            ("attempt-id", run.call),
            ("server-seal", self.id),
            ("transfer-encoding", "chunked"),
        ]
        head = h11.Response(status_code=200, headers=headers)
        await stream.send_all(http.send(head) or b"")
        try:
            with self._grid.record_active(self.id, run.call):
                with trio.move_on_after(self.faults.first_event_s):
                    await run.stop.wait()
                while run.events < self.events and not run.is_stopped:
                    with trio.move_on_after(_EVENT_S):
                        await run.stop.wait()
                    if not run.is_stopped:
                        await self._send_event(http, stream, run)
            if run.is_stopped:
                await self._end_stopped(http, stream, run)
                return
        finally:
            if self._runs.get(run.call) is run:
                del self._runs[run.call]
        await stream.send_all(http.send(h11.EndOfMessage()) or b"")

    async def _end_stopped(
        self, http: h11.Connection, stream: trio.SocketStream, run: _Run
    ) -> None:
        """Send the events that were on their way, then close without an end."""
        for _ in range(run.late_events):
            await trio.sleep(_EVENT_S)
            await self._send_event(http, stream, run)
        if self.faults.ends_cleanly:
            await stream.send_all(http.send(h11.EndOfMessage()) or b"")
        if self.faults.keeps_open:
            await trio.sleep_forever()

    async def _send_event(
        self, http: h11.Connection, stream: trio.SocketStream, run: _Run
    ) -> None:
        run.events += 1
        raw = f"id: {run.events}\ndata: run {run.seed}\n\n".encode()
        await stream.send_all(http.send(h11.Data(data=raw)) or b"")

    async def _answer_call(
        self, request: _Request
    ) -> tuple[int, dict[str, object]]:
        body = json.loads(request.body or b"{}")
        self._grid.calls.append((self.id, request.method, request.target, body))
        if self.faults.is_mute:
            await trio.sleep_forever()
        if request.method == "DELETE":
            handle = request.target.rpartition("/")[2]
            copy = self._grid.copies.pop(handle, None)
            return (404, {}) if copy is None else (200, {})
        return await self._move(body)

    async def _move(
        self, body: dict[str, object]
    ) -> tuple[int, dict[str, object]]:
        if self.faults.busy:
            self.faults.busy -= 1
            return 409, {}
        run = self._runs.get(str(body["Id"]))
        if run is None or self.faults.forgets_runs:
            return 404, {}
        is_last = bool(body.get("Last"))
        target = self._grid.engines[str(body["TargetVersion"])]
        is_refused = target.faults.has_no_room
        if is_last and self.faults.ends_on_last:
            self.end()
            await trio.lowlevel.checkpoint()
        if is_last:
            run.is_stopped = True
            run.late_events = min(
                self.faults.late_events, self.events - run.events
            )
            run.stop.set()
            is_refused = is_refused or self.faults.refuses_last
        await trio.sleep(self.faults.copy_s)
        if is_refused and not is_last:
            return 503, {}
        handle = self._keep(run, target, is_refused=is_refused)
        if is_last and self.faults.loses_last:
            self.faults.loses_last -= 1
            await trio.sleep_forever()
        if is_refused:
            return 503, {"KvHandle": handle}
        if is_last and target.faults.ends_with_copy:
            target.end()
        return 200, {"KvHandle": handle, "Created": run.events}

    def _keep(
        self, run: _Run, target: MovingEngine, *, is_refused: bool
    ) -> str:
        """Store the memory of a run; return its handle, the same each time."""
        holders = {self.address}
        if not is_refused:
            holders.add(target.address)
        for handle, copy in self._grid.copies.items():
            if copy.seed == run.seed:
                copy.events = run.events
                copy.holders |= holders
                return handle
        handle = self._grid.create_handle()
        self._grid.copies[handle] = _Copy(run.seed, run.events, holders)
        return handle


async def _read_request(
    http: h11.Connection, stream: trio.SocketStream
) -> _Request | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = http.next_event()
        match event:
            case h11.Request():
                head = event
            case h11.Data():
                body += bytes(event.data)
            case h11.EndOfMessage():
                break
            case h11.ConnectionClosed():
                return None
            case _:
                http.receive_data(await stream.receive_some(_RECEIVE_BYTES))
    assert head is not None
    headers = {n.decode(): v.decode() for n, v in head.headers}
    return _Request(head.method.decode(), head.target.decode(), headers, body)


async def _send_answer(
    http: h11.Connection,
    stream: trio.SocketStream,
    status: int,
    body: bytes,
    headers: list[tuple[str, str]] | None = None,
) -> None:
    framing = [("content-length", str(len(body)))]
    head = h11.Response(
        status_code=status, headers=[*(headers or []), *framing]
    )
    data = http.send(head) or b""
    data += http.send(h11.Data(data=body)) or b""
    data += http.send(h11.EndOfMessage()) or b""
    await stream.send_all(data)
