"""Read and write the topic of the platform's log that holds the lease."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import msgspec
import trio
from expression import Result

from martenquay_core import logs

if TYPE_CHECKING:
    from martenquay_core.serving import ports

__all__ = ["LeaseRecord", "LeaseTopic", "RecordKind"]

_LOG = logs.create_log("lease")
# A record that was done late is at most a few calls old.
_MAX_SENT_TIMES = 50


class RecordKind(enum.IntEnum):
    """What a record does to the lease."""

    TAKEN = 0
    RENEWED = 1
    RELEASED = 2


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the topic.

    Attributes:
        kind: What it does.
        member: The daemon that wrote it.
        instance: That daemon's instance.
        fence: The holder's fence; 0 in a record that takes the lease, whose
            place is the fence.
        number: Counts the member's records: a late one must not count as a
            new one.
    """

    kind: RecordKind
    member: str
    instance: str
    fence: int
    number: int


class LeaseTopic:
    """What one daemon knows of the topic.

    Attributes:
        end: The offset up to which it is known.
        last: The last record; None if its content is not known.
        fence: The fence of the last holder.
        changed_at: When the last change was learnt, in trio's time.
        is_told: The end was told by another daemon and not read here.
    """

    def __init__(
        self, log: ports.LogPort, name: str, member: str, instance: str
    ) -> None:
        self.end = 0
        self.last: LeaseRecord | None = None
        self.fence = 0
        self.changed_at = -math.inf
        self.is_end_gossiped = False
        self._log = log
        self._name = name
        self._member = member
        self._instance = instance
        self._last_number = 0
        self._sent_at: dict[int, float] = {}

    def find_sent_at(self, number: int) -> float:
        """Return when an own record was sent first, in trio's time."""
        return self._sent_at.get(number, -math.inf)

    def skip_to(self, end: int, fence: int) -> None:
        """Take the topic's end from another daemon."""
        self.end = end
        self.last = None
        self.fence = fence
        self.changed_at = trio.current_time()
        self.is_end_gossiped = True

    async def append(self, kind: RecordKind, fence: int) -> bool:
        """Write a record if the topic still ends where it is known to."""
        record = self._create_record(kind, fence)
        written = await self._log.append(
            self._name,
            [msgspec.msgpack.encode(record)],
            expected_end=self.end,
        )
        match written:
            case Result(tag="ok", ok=done) if done.offset is not None:
                self._apply_record(record, done.offset)
                return True
            case Result(tag="ok"):
                return False
            case _:
                message = written.error.message
                _LOG.write(f"A record may not be written: {message}.")
                return False

    async def read(self) -> bool:
        """Read to the topic's end; tell whether the log answered."""
        while True:
            page = await self._log.read(self._name, self.end)
            match page:
                case Result(tag="ok", ok=found):
                    pass
                case _:
                    _LOG.write(f"Not read: {page.error.message}.")
                    return False
            self.is_end_gossiped = False
            if found.is_lost:
                self.end = found.start
                continue
            for offset, payload in enumerate(found.records, found.start):
                try:
                    record = msgspec.msgpack.decode(payload, type=LeaseRecord)
                except msgspec.MsgspecError as error:
                    _LOG.write(f"Record {offset} cannot be read: {error}.")
                    self._skip_record(offset)
                else:
                    self._apply_record(record, offset)
            if self.end < found.end and not found.records:
                self.end = found.end
            if self.end >= found.end:
                return True

    def _create_record(self, kind: RecordKind, fence: int) -> LeaseRecord:
        self._last_number += 1
        self._sent_at[self._last_number] = trio.current_time()
        self._sent_at.pop(self._last_number - _MAX_SENT_TIMES, None)
        return LeaseRecord(
            kind, self._member, self._instance, fence, self._last_number
        )

    def _skip_record(self, offset: int) -> None:
        # Else it would be read for ever, and nobody could take the lease. It
        # may be a holder's: what it did is not known.
        self.end = offset + 1
        self.last = None
        self.changed_at = trio.current_time()

    def _apply_record(self, record: LeaseRecord, offset: int) -> None:
        is_taken = record.kind is RecordKind.TAKEN
        self.end = offset + 1
        self.last = record
        self.changed_at = trio.current_time()
        self.fence = offset + 1 if is_taken else record.fence
        self.is_end_gossiped = False
