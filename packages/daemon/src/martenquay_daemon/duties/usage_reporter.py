"""Report each usage window once, and the same again if in doubt.

What is reported is first written to the log. A successor finds it there and
repeats it to the letter.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec
import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.serving import ports
from martenquay_daemon.fleet import view

if TYPE_CHECKING:
    from martenquay_daemon.duties import lease, usage_counts

__all__ = ["UsageReporter", "UsageTerms"]

_LOG = logs.create_log("usage")
_POLL_S = 0.25
# A call takes a few ms when the cloud is well; the lease has to last for it.
_CALL_S = 0.5
# Daemons tell their counts four times a second; one more round for the last
# requests of the window.
_SETTLE_S = 0.8
# So long before a report is due it goes out without silent daemons' counts.
_HURRY_S = 4.0
# Windows older than this beyond their due time are nobody's any more.
_KEEP_S = 8.0
_OK = 200


class _Report(msgspec.Struct, frozen=True, array_like=True):
    window: int
    counts: dict[str, int]


@dataclasses.dataclass(frozen=True)
class UsageTerms:
    """When reports are due.

    Attributes:
        late_s: A report is due so long after its window's end.
    """

    late_s: float


class UsageReporter:
    """Report usage while this daemon holds the lease."""

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        cloud: ports.CloudPort,
        holder: str,
        duty: lease.Lease,
        counts: usage_counts.UsageCounts,
        fleet: view.FleetView,
        terms: UsageTerms,
    ) -> None:
        self._log = log
        self._topic = topic
        self._cloud = cloud
        self._holder = holder
        self._lease = duty
        self._counts = counts
        self._view = fleet
        self._terms = terms
        self._end = 0
        self._written: dict[int, dict[str, int]] = {}
        self._accepted: set[int] = set()
        self._fence = 0

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await trio.sleep(_POLL_S)
            if not self._lease.is_held(_CALL_S):
                continue
            if self._fence != self._lease.fence:
                # Somebody else may have written since this daemon last read.
                if not await self._read():
                    continue
                self._fence = self._lease.fence
            for window in self._list_open():
                await self._report(window)

    def _list_open(self) -> list[int]:
        now = self._counts.find_window()
        kept = int((self._terms.late_s + _KEEP_S) // self._find_length()) + 1
        return [
            window
            for window in range(now - kept, now)
            if window not in self._accepted and self._is_due(window)
        ]

    def _find_length(self) -> float:
        now = self._counts.find_window()
        return self._counts.find_age(now - 1) - self._counts.find_age(now)

    def _is_due(self, window: int) -> bool:
        if window in self._written:
            return True
        age_s = self._counts.find_age(window)
        if age_s > self._terms.late_s + _KEEP_S:
            return False
        if age_s > self._terms.late_s - _HURRY_S:
            return True
        return age_s > _SETTLE_S and self._view.has_closed(window)

    async def _report(self, window: int) -> None:
        if window not in self._written and not await self._write(window):
            return
        if not self._lease.is_held(_CALL_S):
            return
        report = ports.UsageReport(window, self._written[window])
        answer = await self._cloud.report_usage(
            report, self._holder, self._lease.fence
        )
        match answer:
            case Result(tag="ok", ok=status) if status == _OK:
                self._accepted.add(window)
                _LOG.write(
                    f"Window {window} is reported.",
                    window=window,
                    requests=sum(report.counts.values()),
                    age_s=round(self._counts.find_age(window), 3),
                    fence=self._fence,
                )
            case Result(tag="ok", ok=status):
                _LOG.write(f"Window {window} was answered with {status}.")
            case _:
                _LOG.write(f"Window {window}: {answer.error.message}.")

    async def _write(self, window: int) -> bool:
        """Write the report to the log unless another one is there."""
        counts = view.merge_counts(
            self._counts.list_counts(), self._view.sum_started(window), window
        )
        payload = msgspec.msgpack.encode(_Report(window, counts))
        written = await self._log.append(
            self._topic, [payload], expected_end=self._end
        )
        match written:
            case Result(tag="ok", ok=done) if done.offset is not None:
                self._end = done.offset + 1
                self._written[window] = counts
                return True
            case Result(tag="ok"):
                await self._read()
            case _:
                message = written.error.message
                _LOG.write(f"Window {window} may not be written: {message}.")
                await self._read()
        return False

    async def _read(self) -> bool:
        """Read what is written; the first report of a window counts."""
        while True:
            page = await self._log.read(self._topic, self._end)
            match page:
                case Result(tag="ok", ok=found):
                    pass
                case _:
                    _LOG.write(f"Not read: {page.error.message}.")
                    return False
            if found.is_lost:
                self._end = found.start
                continue
            for offset, payload in enumerate(found.records, found.start):
                try:
                    report = msgspec.msgpack.decode(payload, type=_Report)
                except msgspec.MsgspecError as error:
                    # Else it would be read for ever, and nothing reported.
                    _LOG.write(f"Record {offset} cannot be read: {error}.")
                    continue
                self._written.setdefault(report.window, report.counts)
            self._end = max(self._end, found.start + len(found.records))
            if self._end >= found.end:
                return True
