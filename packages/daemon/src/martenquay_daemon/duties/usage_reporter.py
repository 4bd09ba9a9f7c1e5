"""Report each window's usage to the platform, unchanged if repeated.

Reports are written to the log before they are sent, so that a successor that
doesn't know whether a report arrived repeats the same figures.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec
import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.serving import ports, positions
from martenquay_core.util import decoding
from martenquay_daemon.fleet import view

if TYPE_CHECKING:
    from martenquay_daemon.duties import lease, usage_counts

__all__ = ["ReportDeadline", "UsageReporter"]

_LOG = logs.create_log("usage")
_POLL_INTERVAL_S = 0.25
# Remaining lease time needed to start a call, so that it ends within the lease.
_MIN_LEASE_S = 0.5
# Covers the gossip interval (four digests a second), so that the last requests
# of a window are included.
_GOSSIP_DELAY_S = 0.8
# This long before the deadline a report is sent without the counts of daemons
# that are silent.
_DEADLINE_MARGIN_S = 4.0
# A window this long past its deadline is not reported any more.
_EXPIRY_S = 8.0
_HTTP_OK = 200


class _Report(msgspec.Struct, frozen=True, array_like=True):
    window: int
    counts: dict[str, int]


@dataclasses.dataclass(frozen=True)
class ReportDeadline:
    """Deadline of usage reports.

    Attributes:
        after_window_s: Time from the end of a window to its deadline.
    """

    after_window_s: float


class UsageReporter:
    """Sends usage reports while this daemon holds the lease."""

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        cloud: ports.CloudPort,
        holder: str,
        duty_lease: lease.Lease,
        counts: usage_counts.UsageCounts,
        fleet: view.FleetView,
        deadline: ReportDeadline,
    ) -> None:
        self._log = log
        self._topic = topic
        self._cloud = cloud
        self._holder = holder
        self._lease = duty_lease
        self._counts = counts
        self._view = fleet
        self._deadline = deadline
        self._end_offset = 0
        self._logged_counts: dict[int, dict[str, int]] = {}
        self._accepted_windows: set[int] = set()
        self._fence = 0
        # Windows whose reports the log has lost in a restore.
        self._lost_windows: set[int] = set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await trio.sleep(_POLL_INTERVAL_S)
            if not self._lease.is_held(_MIN_LEASE_S):
                continue
            is_restored = self._lease.era > positions.find_era(self._end_offset)
            if self._fence != self._lease.fence or is_restored:
                # Another holder may have logged reports that must be repeated
                # unchanged.
                if not await self._read_log():
                    continue
                self._fence = self._lease.fence
            if not await self._write_lost():
                continue
            for window in self._list_due():
                await self._send_report(window)

    def _list_due(self) -> list[int]:
        current = self._counts.find_window()
        window_count = (
            int(
                (self._deadline.after_window_s + _EXPIRY_S)
                // self._find_window_length_s()
            )
            + 1
        )
        return [
            window
            for window in range(current - window_count, current)
            if window not in self._accepted_windows
            and self._is_due(window)
            and self._is_history_known(window)
        ]

    def _find_window_length_s(self) -> float:
        current = self._counts.find_window()
        return self._counts.find_age_s(current - 1) - self._counts.find_age_s(
            current
        )

    def _is_due(self, window: int) -> bool:
        if window in self._logged_counts:
            return True
        age_s = self._counts.find_age_s(window)
        if not self._is_recent(window):
            return False
        if age_s > self._deadline.after_window_s - _DEADLINE_MARGIN_S:
            return True
        return age_s > _GOSSIP_DELAY_S and self._view.has_closed(window)

    def _is_history_known(self, window: int) -> bool:
        """Return whether no report of a window can have been lost.

        The platform may have accepted one whose record the log lost in a
        restore. Only a holder of before the restore knows; a report with other
        counts would be worse than none.
        """
        if window in self._logged_counts:
            return True
        restored_at = self._lease.era_since
        ended_at = trio.current_time() - self._counts.find_age_s(window)
        return ended_at > restored_at or self._lease.acquired_at < restored_at

    async def _send_report(self, window: int) -> None:
        if window not in self._logged_counts and not await self._log_report(
            window
        ):
            return
        if not self._lease.is_held(_MIN_LEASE_S):
            return
        report = ports.UsageReport(window, self._logged_counts[window])
        answer = await self._cloud.report_usage(
            report, self._holder, self._lease.fence
        )
        match answer:
            case Result(tag="ok", ok=status) if status == _HTTP_OK:
                self._accepted_windows.add(window)
                _LOG.write(
                    f"Usage of window {window} was reported.",
                    window=window,
                    requests=sum(report.counts.values()),
                    age_s=round(self._counts.find_age_s(window), 3),
                    fence=self._fence,
                )
            case Result(tag="ok", ok=status):
                _LOG.write(
                    f"Usage report of window {window} was refused with status "
                    f"{status}."
                )
            case _:
                _LOG.write(
                    f"Usage report of window {window} failed: "
                    f"{answer.error.message}."
                )

    async def _log_report(self, window: int) -> bool:
        """Write the report to the log unless the log has grown.

        Returns:
            Whether the report is known to have been written.
        """
        counts = view.merge_counts(
            self._counts.list_counts(), self._view.sum_started(window), window
        )
        payload = msgspec.msgpack.encode(_Report(window, counts))
        written = await self._log.append(
            self._topic, [payload], expected_end=self._end_offset
        )
        match written:
            case Result(tag="ok", ok=done) if done.offset is not None:
                self._end_offset = done.offset + 1
                self._logged_counts[window] = counts
                return True
            case Result(tag="ok"):
                await self._read_log()
            case _:
                message = written.error.message
                _LOG.write(
                    f"Usage report of window {window} may not have been "
                    f"written: {message}."
                )
                await self._read_log()
        return False

    async def _write_lost(self) -> bool:
        """Write the reports again that a restored log lacks.

        Without them a successor would report other counts for a window that
        the platform has accepted.

        Returns:
            Whether none is lacking now.
        """
        lost = sorted(w for w in self._lost_windows if self._is_recent(w))
        if lost:
            written = await self._log.append(
                self._topic,
                [
                    msgspec.msgpack.encode(_Report(w, self._logged_counts[w]))
                    for w in lost
                ],
                expected_end=self._end_offset,
            )
            if written.is_error() or written.ok.offset is None:
                await self._read_log()
                return False
            self._end_offset = written.ok.offset + len(lost)
            _LOG.write(
                f"Wrote {len(lost)} usage reports again, which the restored "
                "log lacked.",
                windows=lost,
            )
        self._lost_windows.clear()
        return True

    def _is_recent(self, window: int) -> bool:
        """Return whether a successor could still report a window."""
        age_s = self._counts.find_age_s(window)
        return age_s <= self._deadline.after_window_s + _EXPIRY_S

    async def _read_log(self) -> bool:
        """Read logged reports; the first one of a window counts.

        Returns:
            Whether the log answered.
        """
        while True:
            page = await self._log.read(self._topic, self._end_offset)
            match page:
                case Result(tag="ok", ok=found):
                    pass
                case _:
                    _LOG.write(f"Usage topic not read: {page.error.message}.")
                    return False
            if found.is_lost:
                if positions.find_era(found.start) > positions.find_era(
                    self._end_offset
                ):
                    self._lost_windows = set(self._logged_counts)
                self._end_offset = found.start
                continue
            for offset, payload in enumerate(found.records, found.start):
                try:
                    report = decoding.decode_msgpack(payload, _Report)
                except msgspec.MsgspecError as error:
                    # An unreadable record must be skipped, or no report would
                    # ever be sent.
                    _LOG.write(
                        f"Skipped usage record {offset}, which cannot be "
                        f"decoded: {error}."
                    )
                    continue
                self._logged_counts.setdefault(report.window, report.counts)
                self._lost_windows.discard(report.window)
            self._end_offset = max(
                self._end_offset, found.start + len(found.records)
            )
            if self._end_offset >= found.end:
                return True
