"""Keep a log in memory, with the faults of a real one."""

from __future__ import annotations

import dataclasses

import trio
from expression import Error, Ok, Result

from martenquay_core.platform import outcome
from martenquay_core.serving import ports

__all__ = ["LogFaults", "MemoryLog"]

# Topics whose records have no key. What a record holds does not tell: any byte
# may stand in the encoded number of a usage window.
_WITHOUT_KEYS = frozenset({"lease", "usage"})


@dataclasses.dataclass
class LogFaults:
    """What goes wrong now.

    Attributes:
        is_down: Every call is refused.
        is_silent: No call is answered before it times out.
        lost_answers: So many appends are done and not answered.
        late_appends: So many appends are kept back, unanswered, until
            `MemoryLog.do_late` is called.
        append_s: An append is done so long after it was sent.
    """

    is_down: bool = False
    is_silent: bool = False
    lost_answers: int = 0
    late_appends: int = 0
    append_s: float = 0.0


@dataclasses.dataclass
class _Topic:
    first: int = 0
    records: list[bytes] = dataclasses.field(default_factory=list)
    newest: dict[str, ports.KeyedRecord] = dataclasses.field(
        default_factory=dict
    )

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclasses.dataclass(frozen=True)
class _Append:
    topic: str
    payloads: list[bytes]
    expected_end: int | None


class MemoryLog:
    """Implement `ports.LogPort` in memory.

    Attributes:
        faults: What goes wrong now.
        calls: Calls so far.
    """

    def __init__(self) -> None:
        self.faults = LogFaults()
        self.calls = 0
        self._topics: dict[str, _Topic] = {}
        self._late: list[_Append] = []
        self._news = trio.Event()

    def set_address(self, address: str) -> None:
        """Do nothing: there is one address only."""

    async def read(
        self, topic: str, start: int, *, wait_s: float = 0.0
    ) -> Result[ports.Page, outcome.PlatformFailure]:
        """Return records from `start` on, waiting if there is none yet."""
        failure = await self._fail()
        if failure is not None:
            return Error(failure)
        found = self._find(topic)
        with trio.move_on_after(wait_s):
            while start >= found.end:
                await self._news.wait()
        if start < found.first:
            return Ok(ports.Page((), found.first, found.first, is_lost=True))
        records = tuple(found.records[start - found.first :])
        return Ok(ports.Page(records, start, found.end))

    async def read_newest(
        self, topic: str
    ) -> Result[ports.Snapshot, outcome.PlatformFailure]:
        """Return the newest record of each key of a keyed topic."""
        failure = await self._fail()
        if failure is not None:
            return Error(failure)
        found = self._find(topic)
        return Ok(ports.Snapshot(tuple(found.newest.values()), found.end))

    async def append(
        self,
        topic: str,
        payloads: list[bytes],
        *,
        expected_end: int | None = None,
    ) -> Result[ports.Appended, outcome.PlatformFailure]:
        """Append all or nothing; only at `expected_end` if it is given."""
        failure = await self._fail()
        if failure is not None:
            return Error(failure)
        await trio.sleep(self.faults.append_s)
        append = _Append(topic, payloads, expected_end)
        unknown = outcome.PlatformFailure(
            outcome.Effect.UNKNOWN, "the answer was lost"
        )
        if self.faults.late_appends:
            self.faults.late_appends -= 1
            self._late.append(append)
            return Error(unknown)
        done = self._do(append)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            return Error(unknown)
        return Ok(done)

    def split_keyed(self, payload: bytes, offset: int) -> ports.KeyedRecord:
        """Return the key and value of a keyed topic's payload."""
        key, _, value = payload.partition(b"=")
        return ports.KeyedRecord(offset, key.decode(), value or None)

    def join_keyed(self, key: str, value: bytes) -> bytes:
        """Return the payload of a keyed topic's record."""
        return key.encode() + b"=" + value

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Write a keyed record as the platform would; return its offset."""
        append = _Append(topic, [self.join_keyed(key, value)], None)
        return self._do(append).end - 1

    def forget(self, topic: str) -> None:
        """Drop the records of a topic; the newest of each key stay."""
        found = self._find(topic)
        found.first = found.end
        found.records.clear()

    def do_late(self) -> None:
        """Do the appends that were kept back, if they still can be."""
        late, self._late = self._late, []
        for append in late:
            self._do(append)

    def list_payloads(self, topic: str) -> list[bytes]:
        """Return the records that are kept."""
        return list(self._find(topic).records)

    def _do(self, append: _Append) -> ports.Appended:
        found = self._find(append.topic)
        expected = append.expected_end
        if expected is not None and expected != found.end:
            return ports.Appended(None, found.end)
        offset = found.end
        for payload in append.payloads:
            self._keep_newest(append.topic, found, payload)
            found.records.append(payload)
        self._news.set()
        self._news = trio.Event()
        return ports.Appended(offset, found.end)

    def is_keyed(self, topic: str) -> bool:
        """Tell whether a topic's records have keys."""
        return topic not in _WITHOUT_KEYS

    def _keep_newest(self, topic: str, found: _Topic, payload: bytes) -> None:
        if not self.is_keyed(topic):
            return
        record = self.split_keyed(payload, found.end)
        if record.value is None:
            found.newest.pop(record.key, None)
        else:
            found.newest[record.key] = record

    async def _fail(self) -> outcome.PlatformFailure | None:
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.faults.is_silent:
            await trio.sleep(1.0)
            return outcome.PlatformFailure(outcome.Effect.UNKNOWN, "silent")
        if self.faults.is_down:
            return outcome.PlatformFailure(outcome.Effect.NOT_DONE, "down")
        return None

    def _find(self, topic: str) -> _Topic:
        return self._topics.setdefault(topic, _Topic())
