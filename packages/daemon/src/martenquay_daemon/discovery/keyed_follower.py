"""Keep a sink up to date with a keyed topic of the platform's log."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, Protocol

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.serving import positions
from martenquay_daemon.discovery import copy_age

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from martenquay_core.serving import ports
    from martenquay_daemon.discovery import contact

__all__ = ["ReadSchedule", "KeyedFollower", "RecordSink"]

_LOG = logs.create_log("platform-log")
# Failed calls are billed like others, so retries back off.
_FIRST_RETRY_S = 0.2
_MAX_RETRY_S = 1.0
# A faulty writer may go on; a line a record would flood the log.
_UNREADABLE_LOG_INTERVAL_S = 10.0


def _ignore(topic: str) -> None:
    del topic


class RecordSink(Protocol):
    """Receives the records of a topic."""

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Apply the newest record of each key; other keys are removed."""

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Apply a record that is newer than those before."""


@dataclasses.dataclass(frozen=True)
class ReadSchedule:
    """Waits and pauses, in seconds, of the reads of a topic.

    Attributes:
        wait_s: How long one read waits for a record (long poll).
        pause_s: Pause between two reads, so that records come in batches.
        large_fleet_wait_s: Replaces `wait_s` in a large fleet, where the reads
            of all daemons add up; None keeps `wait_s`.
        large_fleet_pause_s: Replaces `pause_s` in a large fleet.
        idle_s: While the topic need not be read, pause between two checks
            whether it is needed again.
    """

    wait_s: float
    pause_s: float = 0.0
    large_fleet_wait_s: float | None = None
    large_fleet_pause_s: float = 0.0
    idle_s: float = 0.1


class KeyedFollower:
    """Reads one topic and passes its records to a sink.

    The first read, and each read after records were lost, gets the newest
    record of each key; the others get the records since the last read.

    Attributes:
        end: Offset after the last record that the sink holds; -1 before the
            first read.
        first_read: Set once the sink holds a copy of the topic.
        copy_age: How old the sink's copy is.
        on_unreadable: Called with the topic for each record without a
            readable key.
    """

    def __init__(
        self,
        log: ports.LogPort,
        contact: contact.LogContact,
        topic: str,
        sink: RecordSink,
        schedule: ReadSchedule,
        is_large_fleet: Callable[[], bool] = lambda: False,
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        self.end = -1
        self.first_read = trio.Event()
        self.copy_age = copy_age.CopyAge()
        self.on_unreadable: Callable[[str], None] = _ignore
        self._unreadable_logged_at = -math.inf
        self._is_large_fleet = is_large_fleet
        self._is_needed = is_needed
        self._log = log
        self._contact = contact
        self._topic = topic
        self._sink = sink
        self._schedule = schedule

    async def run(self) -> None:
        """Read the topic until cancelled."""
        retry_s = _FIRST_RETRY_S
        while True:
            if self.end >= 0 and not self._is_needed():
                await trio.sleep(self._schedule.idle_s)
            elif await self._read_once(self._find_wait_s()):
                retry_s = _FIRST_RETRY_S
                await self._pause()
            else:
                await trio.sleep(retry_s)
                retry_s = min(2 * retry_s, _MAX_RETRY_S)

    def _find_wait_s(self) -> float:
        large_fleet_wait_s = self._schedule.large_fleet_wait_s
        if large_fleet_wait_s is not None and self._is_large_fleet():
            return large_fleet_wait_s
        return self._schedule.wait_s

    async def _pause(self) -> None:
        schedule = self._schedule
        is_large_fleet = self._is_large_fleet()
        await trio.sleep(
            schedule.large_fleet_pause_s if is_large_fleet else schedule.pause_s
        )

    def skip_to(self, end: int) -> None:
        """Continue at `end`, as a peer has sent the sink all before it."""
        self.end = max(self.end, end)
        self.first_read.set()

    def apply_relayed(
        self, start: int, records: Sequence[ports.KeyedRecord]
    ) -> bool:
        """Apply consecutive records that another daemon has read.

        Args:
            start: Offset that the records follow.
            records: In offset order.

        Returns:
            Whether this daemon holds the topic up to `start`.
        """
        if self.end < 0 or self.end < start:
            return False
        for record in records:
            if record.offset >= self.end:
                self.end = record.offset + 1
                self._sink.apply_change(record)
        return True

    async def read_now(self) -> bool:
        """Read the topic at once, beside `run`.

        A daemon that leaves reading to a hub may be many records behind, so it
        reads only the newest of each key.

        Returns:
            Whether the log answered.
        """
        if self._is_needed():
            return await self._read_once(0.0)
        return await self._read_newest()

    async def _read_once(self, wait_s: float) -> bool:
        if self.end < 0:
            return await self._read_newest()
        started_at = trio.current_time()
        page = await self._log.read(self._topic, self.end, wait_s=wait_s)
        match page:
            case Result(tag="ok", ok=found):
                self._contact.note_answer()
            case _:
                self._contact.note_failure(page.error.message)
                return False
        if found.is_lost:
            end = self.end
            # An end that stays would be lost again and again, without a pause.
            return await self._read_newest() and self.end != end
        for offset, payload in enumerate(found.records, found.start):
            # A peer may have sent newer records while this read waited.
            if offset >= self.end:
                # Before the sink is called: if a record makes it raise, the
                # restarted task would read that one again and none after it.
                self.end = offset + 1
                self._apply_payload(payload, offset)
        if self.end >= found.end:
            # A page without records shows the topic complete until the end of
            # the long poll; one with records, only until its start.
            waited_s = 0.0 if found.records else wait_s
            complete_at = min(started_at + waited_s, trio.current_time())
            self.copy_age.confirm(complete_at, copy_age.AgeEvent.READ)
        return True

    def _apply_payload(self, payload: bytes, offset: int) -> None:
        try:
            record = self._log.split_keyed(payload, offset)
        except ValueError as error:
            self._report_unreadable(1, str(error))
            return
        self._sink.apply_change(record)

    def _report_unreadable(self, count: int, problem: str) -> None:
        """Count records without a readable key; log them at intervals."""
        for _ in range(count):
            self.on_unreadable(self._topic)
        now = trio.current_time()
        if now < self._unreadable_logged_at + _UNREADABLE_LOG_INTERVAL_S:
            return
        self._unreadable_logged_at = now
        _LOG.write(
            f"Records of {self._topic} cannot be read: {problem}.",
            topic=self._topic,
            count=count,
        )

    async def _read_newest(self) -> bool:
        started_at = trio.current_time()
        snapshot = await self._log.read_newest(self._topic)
        match snapshot:
            case Result(tag="ok", ok=found):
                self._contact.note_answer()
            case _:
                self._contact.note_failure(snapshot.error.message)
                return False
        if found.unreadable:
            self._report_unreadable(found.unreadable, "no readable key")
        # A peer's copy may have overtaken the answer.
        if found.end >= self.end:
            self._note_era(found.end)
            self._sink.replace_all(found)
            self.end = found.end
            self.copy_age.confirm(started_at, copy_age.AgeEvent.READ)
        self.first_read.set()
        return True

    def _note_era(self, end: int) -> None:
        """Note a restore of the log if what was read here is of before."""
        if self.end < 0 or (
            positions.find_era(end) == positions.find_era(self.end)
        ):
            return
        self._contact.note_restore()
        _LOG.write(
            f"Read {self._topic} anew: it was restored from an older copy.",
            topic=self._topic,
            end=end,
            previous_end=self.end,
        )
