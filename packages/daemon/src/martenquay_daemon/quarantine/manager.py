"""Share crash records among daemons through the platform's log."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.serving import positions
from martenquay_daemon.quarantine import (
    answered_parts,
    crash_table,
    records,
    verdicts,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from martenquay_core.serving import ports

__all__ = ["QuarantineManager", "create_quarantine_manager"]

_LOG = logs.create_log("quarantine")
_FIRST_RETRY_S = 0.2
_MAX_RETRY_S = 1.0
# Records in one append to the log.
_MAX_BATCH = 500
# Least time between two log lines on invalid records, which a faulty writer may
# repeat without end.
_INVALID_LINE_INTERVAL_S = 10.0
# Changes written here that are kept to be written again if the log loses them;
# far more than a fleet finds in the seconds that a restored log may lack.
_MAX_RECENT = 500


class QuarantineManager:
    """Applies crash records of the log, and writes those found here to it.

    Through the log, daemons that were partitioned or have restarted get the
    same records as the others. It implements `keyed_follower.RecordSink`.

    Attributes:
        on_crash: Called for each crash that this daemon finds.
        may_tidy: Returns whether this daemon removes dropped records from the
            log; one daemon at a time has to.
        may_clear: Returns whether this daemon removes records that others
            wrote of parts that are answered here.
        answered: The parts that are answered here.
    """

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        table: crash_table.CrashTable,
        answered: answered_parts.AnsweredParts,
    ) -> None:
        self.on_crash: Callable[[], None] = _ignore
        self.may_tidy: Callable[[], bool] = lambda: False
        self.may_clear: Callable[[], bool] = lambda: True
        self.answered = answered
        self._verdicts = verdicts.Verdicts(table, trio.current_time)
        self._log = log
        self._topic = topic
        self._table = table
        table.on_dropped = self._remove_dropped
        self._unwritten: dict[crash_table.CrashRecord, bytes] = {}
        self._recent: collections.OrderedDict[
            crash_table.CrashRecord, bytes
        ] = collections.OrderedDict()
        self._era: int | None = None
        self._has_unwritten = trio.Event()
        self._invalid_logged_at = -math.inf

    @property
    def is_empty(self) -> bool:
        """Whether no content has crash records; none need be digested then."""
        return not self._table

    def find_quarantine_s(self, content: str) -> float | None:
        """Return the seconds of quarantine left; None if there is none."""
        return self._table.find_quarantine_s(content)

    def judge(self, contents: Sequence[str]) -> verdicts.Verdict:
        """Return the verdict on a request with these contents."""
        return self._verdicts.judge(contents)

    def try_probe(self, suspect: verdicts.Suspect) -> bool:
        """Return whether a suspect may be sent now, and count it if so."""
        return self._verdicts.try_probe(suspect)

    def find_latest(self, content: str) -> int:
        """Return the highest number of a content's records; 0 if none."""
        return self._table.find_latest(content)

    def note_crash(
        self,
        content: str,
        latest: int,
        runner: str,
        details: records.CrashDetails,
    ) -> None:
        """Record that a runner ended while it served a content.

        Args:
            content: The content's digest.
            latest: What `find_latest` returned when the request was sent.
            runner: The id of the runner that ended.
            details: What else the log keeps of the crash.
        """
        self.on_crash()
        crash = crash_table.CrashRecord(content, latest + 1, runner)
        if not self._table.add(crash):
            return
        self._log_crash(crash, "this daemon", details)
        self._write(crash, records.encode_crash(self._log, crash, details))

    def note_answer(self, content: str) -> None:
        """Remove the records of a content that a runner has answered."""
        for crash in self._table.remove_content(content):
            _LOG.write(
                f"Removed a crash record of content {content}: a runner"
                " answered it.",
                content=content,
                number=crash.number,
            )
            self._write(crash, records.encode_removal(self._log, crash))

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Replace all records by those in the log and those not written yet."""
        found = []
        for record in snapshot.records:
            crash = self._decode(record)
            if crash is not None and record.value is not None:
                found.append(crash)
        era = positions.find_era(snapshot.end)
        if self._era is not None and era > self._era:
            found = self._add_lost(found)
        self._era = era
        own = [crash for crash in self._unwritten if self._is_known(crash)]
        self._table.replace_all([*found, *own])
        if found:
            _LOG.write(
                "Read crash records from the log.",
                strikes=len(found),
                contents=len(self._table),
            )

    def _add_lost(
        self, found: list[crash_table.CrashRecord]
    ) -> list[crash_table.CrashRecord]:
        """Return the records as they were before the log was restored.

        What is known here and missing there was lost; this daemon's own
        changes are written again.
        """
        before = self._table.list_all()
        for crash, payload in list(self._recent.items()):
            if (crash in before) != (crash in found):
                self._write(crash, payload)
        removed = set(self._recent) - before
        return sorted(
            (before | set(found)) - removed,
            key=lambda crash: (crash.number, crash.runner),
        )

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Add or remove one crash record."""
        crash = self._decode(record)
        if crash is None:
            return
        if record.value is None:
            self._table.remove(crash)
        elif self._table.add(crash):
            self._log_crash(
                crash, positions.describe_position(record.offset), None
            )
            if self.answered.has(crash.content) and self.may_clear():
                self.note_answer(crash.content)

    async def run(self) -> None:
        """Write changes to the log until cancelled."""
        retry_s = _FIRST_RETRY_S
        while True:
            await self._has_unwritten.wait()
            if await self._write_batch():
                retry_s = _FIRST_RETRY_S
            else:
                await trio.sleep(retry_s)
                retry_s = min(2 * retry_s, _MAX_RETRY_S)

    async def _write_batch(self) -> bool:
        batch = dict(list(self._unwritten.items())[:_MAX_BATCH])
        written = await self._log.append(self._topic, list(batch.values()))
        if written.is_error():
            # The records may have been written; a repeated write changes
            # nothing.
            _LOG.write(
                f"Crash records were not written: {written.error.message};"
                " retrying.",
                strikes=len(batch),
            )
            return False
        for crash, payload in batch.items():
            # A removal that was requested meanwhile is still to be written.
            if self._unwritten.get(crash) == payload:
                del self._unwritten[crash]
        if not self._unwritten:
            self._has_unwritten = trio.Event()
        return True

    def _write(self, crash: crash_table.CrashRecord, payload: bytes) -> None:
        self._unwritten[crash] = payload
        self._recent[crash] = payload
        self._recent.move_to_end(crash)
        if len(self._recent) > _MAX_RECENT:
            self._recent.popitem(last=False)
        self._has_unwritten.set()

    def _remove_dropped(self, dropped: list[crash_table.CrashRecord]) -> None:
        if not self.may_tidy():
            return
        for crash in dropped:
            self._write(crash, records.encode_removal(self._log, crash))

    def _is_known(self, crash: crash_table.CrashRecord) -> bool:
        return self._table.has(crash)

    def _decode(
        self, record: ports.KeyedRecord
    ) -> crash_table.CrashRecord | None:
        try:
            return records.decode_crash(record)
        except ValueError as error:
            now = trio.current_time()
            if now >= self._invalid_logged_at + _INVALID_LINE_INTERVAL_S:
                self._invalid_logged_at = now
                _LOG.write(f"Ignored an invalid crash record: {error}.")
            return None

    def _log_crash(
        self,
        crash: crash_table.CrashRecord,
        found_at: str,
        details: records.CrashDetails | None,
    ) -> None:
        quarantine_s = self._table.find_quarantine_s(crash.content)
        _LOG.write(
            f"A runner ended while it served content {crash.content}.",
            content=crash.content,
            strikes=self._table.count(crash.content),
            number=crash.number,
            found_at=found_at,
            runner=crash.runner,
            route=details and details.route,
            kept_out_s=quarantine_s and round(quarantine_s),
        )


def _ignore() -> None:
    pass


def create_quarantine_manager(
    log: ports.LogPort, topic: str
) -> QuarantineManager:
    """Return a manager without crash records."""
    table = crash_table.CrashTable(trio.current_time)
    answered = answered_parts.AnsweredParts(trio.current_time)
    return QuarantineManager(log, topic, table, answered)
