"""In-memory log port with fault injection."""

from __future__ import annotations

import dataclasses

import trio
from expression import Error, Ok, Result

from martenquay_core.platform import outcome
from martenquay_core.serving import ports, positions

__all__ = ["LogCopy", "LogFaults", "MemoryLog"]

# Topics whose records have no key. The payload does not show it: an encoded
# usage window may hold the byte of "=", which separates key and value.
_UNKEYED_TOPICS = frozenset({"lease", "origins", "usage"})


@dataclasses.dataclass
class LogFaults:
    """Faults that a `MemoryLog` injects.

    Attributes:
        is_down: Every call fails without effect.
        is_silent: Every call times out with an unknown effect.
        lost_answers: Number of appends to apply and report as unknown.
        late_appends: Number of appends to report as unknown and to apply only
            when `MemoryLog.apply_late_appends` is called.
        append_s: Delay before an append is applied.
        answer_s: Delay of each call.
    """

    is_down: bool = False
    is_silent: bool = False
    lost_answers: int = 0
    late_appends: int = 0
    append_s: float = 0.0
    answer_s: float = 0.0


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


@dataclasses.dataclass(frozen=True)
class LogCopy:
    """A copy of all topics, from which a log can be restored."""

    topics: dict[str, _Topic]


class MemoryLog:
    """Implementation of `ports.LogPort` in memory.

    Attributes:
        faults: The faults injected now.
        calls: Number of reads and appends so far.
        era: Number of restores from an older copy.
    """

    def __init__(self) -> None:
        self.faults = LogFaults()
        self.calls = 0
        self.era = 0
        self._topics: dict[str, _Topic] = {}
        self._delayed_appends: list[_Append] = []
        self._appended = trio.Event()

    def set_address(self, address: str) -> None:
        """Do nothing: there is one address only."""

    async def read(
        self, topic: str, start: int, *, wait_s: float = 0.0
    ) -> Result[ports.Page, outcome.PlatformFailure]:
        """Return records from `start` on; wait up to `wait_s` for the first."""
        failure = await self._check_faults()
        if failure is not None:
            return Error(failure)
        offset = positions.find_offset(start)
        era = self.era if offset == 0 else positions.find_era(start)
        with trio.move_on_after(wait_s):
            while era == self.era and offset == self._get_topic(topic).end:
                await self._appended.wait()
        stored = self._get_topic(topic)
        if era != self.era or not stored.first <= offset <= stored.end:
            first = self._find_position(stored.first)
            return Ok(ports.Page((), first, first, is_lost=True))
        records = tuple(stored.records[offset - stored.first :])
        return Ok(
            ports.Page(
                records,
                self._find_position(offset),
                self._find_position(stored.end),
            )
        )

    async def read_newest(
        self, topic: str
    ) -> Result[ports.Snapshot, outcome.PlatformFailure]:
        """Return the newest record of each key of a keyed topic."""
        failure = await self._check_faults()
        if failure is not None:
            return Error(failure)
        stored = self._get_topic(topic)
        records = tuple(
            dataclasses.replace(one, offset=self._find_position(one.offset))
            for one in stored.newest.values()
        )
        end = self._find_position(stored.end)
        return Ok(ports.Snapshot(records, end))

    async def append(
        self,
        topic: str,
        payloads: list[bytes],
        *,
        expected_end: int | None = None,
    ) -> Result[ports.Appended, outcome.PlatformFailure]:
        """Append all payloads, or none if the end is not `expected_end`."""
        failure = await self._check_faults()
        if failure is not None:
            return Error(failure)
        await trio.sleep(self.faults.append_s)
        append = _Append(topic, payloads, expected_end)
        unknown_effect = outcome.PlatformFailure(
            outcome.Effect.UNKNOWN, "the answer was lost"
        )
        if self.faults.late_appends:
            self.faults.late_appends -= 1
            self._delayed_appends.append(append)
            return Error(unknown_effect)
        done = self._apply(append)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            return Error(unknown_effect)
        return Ok(done)

    def split_keyed(self, payload: bytes, offset: int) -> ports.KeyedRecord:
        """Return the key and value of a keyed topic's payload."""
        key, _, value = payload.partition(b"=")
        return ports.KeyedRecord(offset, key.decode(), value or None)

    def join_keyed(self, key: str, value: bytes) -> bytes:
        """Return the payload of a keyed topic's record."""
        return key.encode() + b"=" + value

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a keyed record, bypassing faults, and return its offset."""
        append = _Append(topic, [self.join_keyed(key, value)], None)
        return self._apply(append).end - 1

    def forget(self, topic: str) -> None:
        """Drop the records of a topic except the newest of each key."""
        stored = self._get_topic(topic)
        stored.first = stored.end
        stored.records.clear()

    def take_copy(self) -> LogCopy:
        """Return a copy of all topics."""
        return LogCopy(_copy_topics(self._topics))

    def restore(self, older: LogCopy) -> None:
        """Restore all topics from an older copy; later records are lost."""
        self.era += 1
        self._topics = _copy_topics(older.topics)
        self._appended.set()
        self._appended = trio.Event()

    def apply_late_appends(self) -> None:
        """Apply the delayed appends whose `expected_end` still matches."""
        late, self._delayed_appends = self._delayed_appends, []
        for append in late:
            self._apply(append)

    def list_payloads(self, topic: str) -> list[bytes]:
        """Return the payloads that a topic retains."""
        return list(self._get_topic(topic).records)

    def _apply(self, append: _Append) -> ports.Appended:
        stored = self._get_topic(append.topic)
        expected = append.expected_end
        offset = stored.end
        if expected is not None and not self._is_end(expected, offset):
            return ports.Appended(None, self._find_position(offset))
        for payload in append.payloads:
            self._update_newest(append.topic, stored, payload)
            stored.records.append(payload)
        self._appended.set()
        self._appended = trio.Event()
        return ports.Appended(
            self._find_position(offset), self._find_position(stored.end)
        )

    def _find_position(self, offset: int) -> int:
        return positions.create_position(self.era, offset)

    def _is_end(self, expected: int, end: int) -> bool:
        """Return whether a topic ends at a position; all begin alike."""
        return expected == self._find_position(end) or (
            end == positions.find_offset(expected) == 0
        )

    def is_keyed(self, topic: str) -> bool:
        """Return whether the records of a topic have keys."""
        return topic not in _UNKEYED_TOPICS

    def _update_newest(
        self, topic: str, stored: _Topic, payload: bytes
    ) -> None:
        if not self.is_keyed(topic):
            return
        record = self.split_keyed(payload, stored.end)
        if record.value is None:
            stored.newest.pop(record.key, None)
        else:
            stored.newest[record.key] = record

    async def _check_faults(self) -> outcome.PlatformFailure | None:
        self.calls += 1
        await trio.sleep(self.faults.answer_s)
        if self.faults.is_silent:
            await trio.sleep(1.0)
            return outcome.PlatformFailure(outcome.Effect.UNKNOWN, "silent")
        if self.faults.is_down:
            return outcome.PlatformFailure(outcome.Effect.NOT_DONE, "down")
        return None

    def _get_topic(self, topic: str) -> _Topic:
        return self._topics.setdefault(topic, _Topic())


def _copy_topics(topics: dict[str, _Topic]) -> dict[str, _Topic]:
    return {
        name: _Topic(topic.first, list(topic.records), dict(topic.newest))
        for name, topic in topics.items()
    }
