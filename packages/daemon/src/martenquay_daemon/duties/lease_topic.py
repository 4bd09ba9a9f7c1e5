"""Read and append the records of the lease topic in the platform's log."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import msgspec
import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.serving import positions
from martenquay_core.util import decoding

if TYPE_CHECKING:
    from martenquay_core.serving import ports

__all__ = ["LeaseRecord", "LeaseTopic", "RecordKind"]

_LOG = logs.create_log("lease")
# Enough for appends whose answer was lost, which are a few calls old at most.
_MAX_SENT_TIMES = 50


class RecordKind(enum.IntEnum):
    """What a record does to the lease."""

    TAKEN = 0
    RENEWED = 1
    RELEASED = 2


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the topic.

    Attributes:
        kind: What the record does to the lease.
        member: The daemon that wrote it.
        instance: That daemon's instance.
        fence: The holder's fencing token; 0 in a record that acquires the
            lease, whose offset determines the token.
        number: Sequence number among the member's records, which tells a late
            append from a new one.
        after: End of the topic that the writer expected; -1 if unknown.
    """

    kind: RecordKind
    member: str
    instance: str
    fence: int
    number: int
    after: int = -1


class LeaseTopic:
    """One daemon's knowledge of the topic.

    Attributes:
        last: The last record; None if its content is unknown.
        fence: The last holder's fencing token.
        changed_at: When this daemon learnt of the last change, in trio's time.
        is_end_gossiped: `end` comes from another daemon's gossip and was not
            read here.
        era_since: When `end` came into its era, in trio's time; minus infinity
            in a log's first era.
    """

    def __init__(
        self, log: ports.LogPort, name: str, member: str, instance: str
    ) -> None:
        self.era_since = -math.inf
        self._end = 0
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

    @property
    def end(self) -> int:
        """The position up to which the topic is known."""
        return self._end

    @end.setter
    def end(self, end: int) -> None:
        if positions.find_era(end) != positions.find_era(self._end):
            self.era_since = trio.current_time()
            self._forget_last()
        self._end = end

    def find_sent_at(self, number: int) -> float:
        """Return when an own record was sent.

        Returns:
            In trio's time; minus infinity if unknown.
        """
        return self._sent_at.get(number, -math.inf)

    def skip_to(self, end: int, fence: int) -> None:
        """Adopt the topic's end from another daemon's gossip."""
        self.end = end
        self.last = None
        self.fence = fence
        self.changed_at = trio.current_time()
        self.is_end_gossiped = True

    async def append(self, kind: RecordKind, fence: int) -> bool:
        """Append a record if the topic still ends at `end`.

        Returns:
            Whether the record is known to have been appended.
        """
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
                _LOG.write(
                    f"Lease record may not have been written: {message}."
                )
                return False

    async def read(self) -> bool:
        """Read to the end of the topic; return whether the log answered."""
        while True:
            page = await self._log.read(self._name, self.end)
            match page:
                case Result(tag="ok", ok=found):
                    pass
                case _:
                    _LOG.write(f"Lease topic not read: {page.error.message}.")
                    return False
            self.is_end_gossiped = False
            if found.is_lost:
                self._skip_lost(found.start)
                continue
            for offset, payload in enumerate(found.records, found.start):
                self._apply_payload(payload, offset)
            if self.end < found.end and not found.records:
                self.end = found.end
            if self.end >= found.end:
                return True

    def _skip_lost(self, start: int) -> None:
        """Continue where the log begins, as records before it are lost."""
        is_restored = positions.find_era(start) > positions.find_era(self.end)
        _LOG.write(
            "The lease's topic was restored from an older copy."
            if is_restored
            else "Records of the lease's topic were dropped before being read.",
            end=self.end,
            start=start,
        )
        self.end = start
        self._forget_last()

    def _forget_last(self) -> None:
        """Count a lease of unknown state as just renewed.

        A holder may go on until a record that cannot be read here expires.
        """
        self.last = None
        self.changed_at = trio.current_time()

    def _apply_payload(self, payload: bytes, offset: int) -> None:
        try:
            record = decoding.decode_msgpack(payload, LeaseRecord)
        except msgspec.MsgspecError as error:
            _LOG.write(
                f"Skipped lease record {offset}, which cannot be "
                f"decoded: {error}."
            )
            self._skip_record(offset)
            return
        if _is_void(record, offset):
            self.end = offset + 1
        else:
            self._apply_record(record, offset)

    def _create_record(self, kind: RecordKind, fence: int) -> LeaseRecord:
        self._last_number += 1
        self._sent_at[self._last_number] = trio.current_time()
        self._sent_at.pop(self._last_number - _MAX_SENT_TIMES, None)
        return LeaseRecord(
            kind,
            self._member,
            self._instance,
            fence,
            self._last_number,
            self.end,
        )

    def _skip_record(self, offset: int) -> None:
        # Without skipping it, no daemon could ever acquire the lease. It may be
        # a holder's record, so its effect is unknown.
        self.end = offset + 1
        self._forget_last()

    def _apply_record(self, record: LeaseRecord, offset: int) -> None:
        is_taken = record.kind is RecordKind.TAKEN
        self.end = offset + 1
        self.last = record
        self.changed_at = trio.current_time()
        self.fence = offset + 1 if is_taken else record.fence
        self.is_end_gossiped = False


def _is_void(record: LeaseRecord, offset: int) -> bool:
    """Return whether a record's writer knew only an earlier history.

    It was written before the log was restored, or where the restored log had
    grown to just the end that its writer expected.
    """
    return record.after >= 0 and positions.find_era(
        record.after
    ) != positions.find_era(offset)
