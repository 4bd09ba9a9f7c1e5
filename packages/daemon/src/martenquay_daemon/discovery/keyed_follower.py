"""Follow a keyed topic of the platform's log from its newest records on."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, Protocol

import trio
from expression import Result

from martenquay_core import logs
from martenquay_daemon.discovery import copy_age

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import ports
    from martenquay_daemon.discovery import contact

__all__ = ["ReadSchedule", "KeyedFollower", "RecordSink"]

_LOG = logs.create_log("platform-log")
# Refused calls are paid for like others; a second is soon enough to be up to
# date when an outage ends.
_FIRST_RETRY_S = 0.2
_MAX_RETRY_S = 1.0
# Whoever writes such records may go on; a line in this time says it.
_UNREADABLE_LOG_INTERVAL_S = 10.0


def _ignore(topic: str) -> None:
    del topic


class RecordSink(Protocol):
    """Takes the records of a topic."""

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Take the newest record of each key; other keys are gone."""

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Take one more record."""


@dataclasses.dataclass(frozen=True)
class ReadSchedule:
    """How a topic is read.

    Attributes:
        wait_s: How long one read waits for a record.
        pause_s: Between two reads, so that records come in batches.
        large_fleet_wait_s: Like `wait_s`, in a large fleet, whose reads add up.
        large_fleet_pause_s: Like `pause_s`, in a large fleet.
        idle_s: While the topic need not be read, between two looks whether it
            is needed again.
    """

    wait_s: float
    pause_s: float = 0.0
    large_fleet_wait_s: float | None = None
    large_fleet_pause_s: float = 0.0
    idle_s: float = 0.1


class KeyedFollower:
    """Keep a sink up to date with one topic.

    Attributes:
        end: The offset up to which the sink has been told; -1 before that.
        first_read: Set once the sink has been told what there is.
        copy_age: How old the sink's copy is.
        on_unreadable: Told the topic of each record that has no key.
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
        """Follow until cancelled."""
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
        crowded_s = self._schedule.large_fleet_wait_s
        if crowded_s is not None and self._is_large_fleet():
            return crowded_s
        return self._schedule.wait_s

    async def _pause(self) -> None:
        schedule = self._schedule
        is_large_fleet = self._is_large_fleet()
        await trio.sleep(
            schedule.large_fleet_pause_s if is_large_fleet else schedule.pause_s
        )

    def skip_to(self, end: int) -> None:
        """Read on from `end`: a peer has told the sink all before it."""
        self.end = max(self.end, end)
        self.first_read.set()

    async def read_now(self) -> bool:
        """Read what there is, beside the following; tell whether it could.

        A daemon for which others read may be far behind in the records; the
        newest of each key are fewer.
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
            return await self._read_newest()
        for offset, payload in enumerate(found.records, found.start):
            # A peer may have told newer records while this read waited.
            if offset >= self.end:
                # First, or a record that nobody can read would be read again
                # by each new start of the task, and none behind it.
                self.end = offset + 1
                self._apply_payload(payload, offset)
        if self.end >= found.end:
            # Without a record the log has waited as long as it was asked to.
            waited_s = 0.0 if found.records else wait_s
            complete_at = min(started_at + waited_s, trio.current_time())
            self.copy_age.confirm(complete_at, copy_age.Step.READ)
        return True

    def _apply_payload(self, payload: bytes, offset: int) -> None:
        try:
            record = self._log.split_keyed(payload, offset)
        except ValueError as error:
            self._report_unreadable(1, str(error))
            return
        self._sink.apply_change(record)

    def _report_unreadable(self, count: int, problem: str) -> None:
        """Count records that say nothing of any key; the others hold."""
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
            self._report_unreadable(found.unreadable, "their keys")
        if found.end >= self.end:
            self._sink.replace_all(found)
            self.end = found.end
            self.copy_age.confirm(started_at, copy_age.Step.READ)
        self.first_read.set()
        return True
