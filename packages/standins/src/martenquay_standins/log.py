"""Fake log service of the platform."""

from __future__ import annotations

import dataclasses

import msgspec
import trio

from martenquay_core.platform import log
from martenquay_core.util import progress, serving
from martenquay_standins import web

__all__ = ["LogStandIn"]

_POLL_S = 0.05


@dataclasses.dataclass
class _Stream:
    # Offsets start at 1; readers take 0 to mean that nothing was read yet.
    start: int = 1
    records: list[log.LogRecord] = dataclasses.field(default_factory=list)
    times: list[float] = dataclasses.field(default_factory=list)
    end: progress.Progress = dataclasses.field(
        default_factory=lambda: progress.Progress(1)
    )


@dataclasses.dataclass
class LogFaults(web.Faults):
    """Faults of the log service besides the common ones.

    Attributes:
        late_effect_s: Answer appends with 502, yet apply them after this time.
        answer_delay_s: Delay between applying an append and answering.
        refused_stream: Answer 503 to all requests for this stream.
    """

    late_effect_s: float = 0.0
    answer_delay_s: float = 0.0
    refused_stream: str = ""


class LogStandIn(web.StandIn):
    """Keeps streams of records in memory.

    Attributes:
        retention_s: Age at which records are dropped.
        append_count: Applied appends; a batch of records counts as one.
    """

    def __init__(self, retention_s: float = 3600.0) -> None:
        super().__init__()
        self.faults: LogFaults = LogFaults()
        self.retention_s = retention_s
        self.append_count = 0
        self._streams: dict[str, _Stream] = {}
        self._delayed_appends: list[tuple[float, str, list[bytes]]] = []

    async def handle(self, request: web.Request) -> None:
        """Serve `/streams/NAME` (append and read), `/truncate` and `/stats`."""
        if request.path == "/stats":
            await web.reply_json(request.send, self._describe())
            return
        if request.path == "/truncate":
            self.truncate(request.query["stream"], int(request.query["to"]))
            await web.reply_json(request.send, {})
            return
        if await self.refuse_when_down(request):
            return
        name = request.path.removeprefix("/streams/")
        if name == self.faults.refused_stream:
            await web.reply_json(request.send, {"error": "down"}, 503)
            return
        if request.method == "POST":
            await self._append(request, name)
        else:
            await self._read(request, name)

    def add(self, name: str, payloads: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        stream = self._get_stream(name)
        first = stream.end.value
        for index, payload in enumerate(payloads):
            stream.records.append(log.LogRecord(first + index, payload))
            stream.times.append(trio.current_time())
        self.append_count += 1
        stream.end.advance(first + len(payloads))
        return first

    async def wait_settled(self) -> None:
        """Wait until all delayed appends have been applied."""
        while self._delayed_appends:
            self._apply_due_appends()
            await trio.sleep(_POLL_S)

    def list_records(self, name: str) -> list[log.LogRecord]:
        """Return the records that a stream retains."""
        return list(self._get_stream(name).records)

    async def _append(self, request: web.Request, name: str) -> None:
        payloads = msgspec.msgpack.decode(request.body, type=list[bytes])
        if self.faults.late_effect_s:
            due = trio.current_time() + self.faults.late_effect_s
            self._delayed_appends.append((due, name, payloads))
            await web.reply_json(request.send, {"error": "lost"}, 502)
            return
        offset = self.add(name, payloads)
        await trio.sleep(self.faults.answer_delay_s)
        if await self.drop_answer(request):
            return
        body = msgspec.msgpack.encode({"offset": offset})
        await serving.send_answer(request.send, 200, body)

    async def _read(self, request: web.Request, name: str) -> None:
        stream = self._get_stream(name)
        wanted = int(request.query.get("from", "1"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        with trio.move_on_after(wait_s):
            while stream.end.value <= wanted:
                self._apply_due_appends()
                with trio.move_on_after(0.05):
                    await stream.end.wait_beyond(wanted)
        self._apply_due_appends()
        if self.faults.down:
            await web.reply_json(request.send, {"error": "down"}, 503)
            return
        limit = int(request.query.get("limit", "1000"))
        self._drop_expired(stream)
        skip = max(0, wanted - stream.start)
        page = log.LogPage(
            stream.start, stream.end.value, stream.records[skip : skip + limit]
        )
        body = msgspec.msgpack.encode(page)
        await serving.send_answer(request.send, 200, body)

    def _get_stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _drop_expired(self, stream: _Stream) -> None:
        oldest = trio.current_time() - self.retention_s
        count = 0
        while count < len(stream.times) and stream.times[count] < oldest:
            count += 1
        _drop_oldest(stream, count)

    def truncate(self, name: str, to: int) -> None:
        """Drop the records below an offset."""
        stream = self._get_stream(name)
        _drop_oldest(
            stream, max(0, min(to - stream.start, len(stream.records)))
        )

    def _apply_due_appends(self) -> None:
        now = trio.current_time()
        due = [item for item in self._delayed_appends if item[0] <= now]
        self._delayed_appends = [
            item for item in self._delayed_appends if item[0] > now
        ]
        for _, name, payloads in due:
            self.add(name, payloads)

    def _describe(self) -> dict[str, object]:
        ends = {
            name: stream.end.value for name, stream in self._streams.items()
        }
        return {"append_count": self.append_count, "ends": ends}


def _drop_oldest(stream: _Stream, count: int) -> None:
    del stream.records[:count]
    del stream.times[:count]
    stream.start += count
