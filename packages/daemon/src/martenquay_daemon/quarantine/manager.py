"""Share with all daemons which contents crash their runners.

Strikes live in the platform's log: a daemon that is cut off from the others,
that starts anew, or that starts with all others reads the same verdict there.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.quarantine import records, strikes

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import ports

__all__ = ["QuarantineManager", "create_quarantine_manager"]

_LOG = logs.create_log("quarantine")
# What runs on a healthy log takes 4 ms; after an outage the first try of each
# daemon comes within a second.
_FIRST_RETRY_S = 0.2
_LONGEST_RETRY_S = 1.0
# Records in one call; the log takes far more.
_BATCH = 500
# A line in this time says that records are foreign; their writer may go on.
_FOREIGN_LINE_S = 10.0


class QuarantineManager:
    """Keep the strikes that are known, and write those that are found.

    It implements `keyed_follower.RecordSink` for the strikes' topic.

    Attributes:
        on_strike: Told each strike that this daemon has found.
        may_tidy: Tells whether this daemon takes forgotten strikes out of the
            log, which one of them has to do.
    """

    def __init__(
        self, log: ports.LogPort, topic: str, table: strikes.CrashTable
    ) -> None:
        self.on_strike: Callable[[], None] = _ignore
        self.may_tidy: Callable[[], bool] = lambda: False
        self._log = log
        self._topic = topic
        self._table = table
        table.on_dropped = self._tidy
        self._unwritten: dict[strikes.CrashRecord, bytes] = {}
        self._has_news = trio.Event()
        self._told_foreign_at = -math.inf

    @property
    def is_empty(self) -> bool:
        """Whether no content has a strike; then none need be named."""
        return not self._table

    def find_hold(self, content: str) -> float | None:
        """Return for how long a content is kept out; None if it is not."""
        return self._table.find_hold(content)

    def find_latest(self, content: str) -> int:
        """Return the number of a content's latest strike; 0 for none."""
        return self._table.find_latest(content)

    def note_crash(
        self, content: str, seen: int, runner: str, crash: records.Crash
    ) -> None:
        """Note that a runner ended under a content.

        Args:
            content: The content's digest.
            seen: What `find_latest` gave when it was sent.
            runner: The id of the runner that ended.
            crash: What else the log tells of it.
        """
        self.on_strike()
        strike = strikes.CrashRecord(content, seen + 1, runner)
        if not self._table.add(strike):
            return
        self._tell(strike, "this daemon", crash)
        self._write(strike, records.encode_crash(self._log, strike, crash))

    def note_answer(self, content: str) -> None:
        """Note that a runner answered a content and lives on."""
        for strike in self._table.clear(content):
            _LOG.write(
                f"Content {content} was answered; its strikes are dropped.",
                content=content,
                number=strike.number,
            )
            self._write(strike, records.encode_end(self._log, strike))

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Take the strikes in the log, and those on their way there."""
        found = []
        for record in snapshot.records:
            strike = self._decode(record)
            if strike is not None and record.value is not None:
                found.append(strike)
        own = [strike for strike in self._unwritten if self._is_known(strike)]
        self._table.replace_all([*found, *own])
        if found:
            _LOG.write(
                "Strikes are read from the log.",
                strikes=len(found),
                contents=len(self._table),
            )

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Take one strike, or the end of one."""
        strike = self._decode(record)
        if strike is None:
            return
        if record.value is None:
            self._table.take_back(strike)
        elif self._table.add(strike):
            self._tell(strike, f"log offset {record.offset}", None)

    async def run(self) -> None:
        """Write what is found until cancelled."""
        retry_s = _FIRST_RETRY_S
        while True:
            await self._has_news.wait()
            if await self._write_batch():
                retry_s = _FIRST_RETRY_S
            else:
                await trio.sleep(retry_s)
                retry_s = min(2 * retry_s, _LONGEST_RETRY_S)

    async def _write_batch(self) -> bool:
        batch = dict(list(self._unwritten.items())[:_BATCH])
        written = await self._log.append(self._topic, list(batch.values()))
        if written.is_error():
            # The same records once more change nothing.
            _LOG.write(
                f"Strikes are not written yet: {written.error.message}.",
                strikes=len(batch),
            )
            return False
        for strike, payload in batch.items():
            # It may have been taken back meanwhile, which is yet to be told.
            if self._unwritten.get(strike) == payload:
                del self._unwritten[strike]
        if not self._unwritten:
            self._has_news = trio.Event()
        return True

    def _write(self, strike: strikes.CrashRecord, payload: bytes) -> None:
        self._unwritten[strike] = payload
        self._has_news.set()

    def _tidy(self, dropped: list[strikes.CrashRecord]) -> None:
        if not self.may_tidy():
            return
        for strike in dropped:
            self._write(strike, records.encode_end(self._log, strike))

    def _is_known(self, strike: strikes.CrashRecord) -> bool:
        return self._table.has(strike)

    def _decode(self, record: ports.KeyedRecord) -> strikes.CrashRecord | None:
        try:
            return records.decode_crash(record)
        except ValueError as error:
            now = trio.current_time()
            if now >= self._told_foreign_at + _FOREIGN_LINE_S:
                self._told_foreign_at = now
                _LOG.write(f"A record names no strike: {error}.")
            return None

    def _tell(
        self,
        strike: strikes.CrashRecord,
        found_at: str,
        crash: records.Crash | None,
    ) -> None:
        hold_s = self._table.find_hold(strike.content)
        _LOG.write(
            f"A runner ended under content {strike.content}.",
            content=strike.content,
            strikes=self._table.count(strike.content),
            number=strike.number,
            found_at=found_at,
            runner=strike.runner,
            route=crash and crash.route,
            kept_out_s=hold_s and round(hold_s),
        )


def _ignore() -> None:
    pass


def create_quarantine_manager(
    log: ports.LogPort, topic: str
) -> QuarantineManager:
    """Return a desk that knows of no strike."""
    table = strikes.CrashTable(trio.current_time)
    return QuarantineManager(log, topic, table)
