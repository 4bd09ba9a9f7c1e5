"""Share the origins of streams among daemons through the platform's log.

A caller resumes a stream at any daemon, often because the one that began it
has ended. While a service is mixed, origins are sent to other daemons at once
and written to the log a little later, so that they outlive a loss of all
daemons. The log is read only when a stream of an unknown origin is resumed.
"""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Protocol

import trio
from expression import Result

from martenquay_core import logs
from martenquay_core.serving import positions
from martenquay_daemon.origins import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import ports
    from martenquay_daemon.origins import table, version_log, versions

__all__ = ["OriginLog", "OriginPeers"]

_LOG = logs.create_log("origins")
_MS = 1000
# How often versions are observed, and what could not be written is tried again.
_CHECK_INTERVAL_S = 0.5
# Between two appends, as each has a price. Streams that began since the last
# one are lost if all daemons are killed.
_WRITE_INTERVAL_S = 0.12
# Records that are read at most after a start or a loss: those of half a minute
# by two writers in each of 25 zones.
_MAX_TAIL_RECORDS = 3000


class OriginPeers(Protocol):
    """The other daemons that keep the origins of this one's streams."""

    def share_origins(self, record: bytes) -> bool:
        """Send a record of origins to them; return whether there are any."""

    def leads_reading(self) -> bool:
        """Return whether this daemon writes to the log for itself."""

    def is_mesh(self) -> bool:
        """Return whether each of them does so, too."""


class OriginLog:
    """Writes the origins of streams begun here and reads those of others."""

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        origins: table.OriginTable,
        history: versions.VersionHistory,
        recorded: version_log.VersionLog,
        find_lifetimes: Callable[[], dict[str, float]],
        peers: OriginPeers,
    ) -> None:
        """Create the log.

        Args:
            log: The platform's log.
            topic: The topic of origins.
            origins: The known origins.
            history: The versions of each service.
            recorded: Keeps the versions in the log.
            find_lifetimes: Returns for how long a stream may be resumed, in
                seconds, for each service that has streams.
            peers: The daemons to share origins with; unless this one writes
                to the log itself, they do.
        """
        self._log = log
        self._topic = topic
        self._origins = origins
        self._history = history
        self._recorded = recorded
        self._find_lifetimes = find_lifetimes
        self._peers = peers
        self._position = 0
        self._is_up_to_date = False
        self._ongoing: trio.Event | None = None
        self._has_begun = trio.Event()

    async def run(self) -> None:
        """Write origins until cancelled."""
        has_read = False
        checked_at = -math.inf
        while True:
            # Others may have seen a second version before this daemon began.
            has_read = has_read or await self.read()
            self._has_begun = trio.Event()
            is_check_due = trio.current_time() >= checked_at + _CHECK_INTERVAL_S
            if is_check_due and self._peers.leads_reading():
                checked_at = trio.current_time()
                await self._recorded.write_changes(self._find_lifetimes())
            if not await self._write_due():
                await trio.sleep(_CHECK_INTERVAL_S)
                continue
            await trio.sleep(_WRITE_INTERVAL_S)
            with trio.move_on_after(_CHECK_INTERVAL_S - _WRITE_INTERVAL_S):
                await self._has_begun.wait()

    def note_begun(self, origin: records.StreamOrigin) -> None:
        """Record that a stream's first event is relayed here."""
        self._origins.add_begun(origin)
        if self._history.is_mixed(origin.service):
            self._share_batch(self._create_batch([origin]))
            self._has_begun.set()

    def apply_shared(self, record: bytes) -> None:
        """Apply what another daemon shares; a hub also writes it."""
        batch = self._apply_record(record)
        is_hub = self._peers.leads_reading() and not self._peers.is_mesh()
        if batch is not None and is_hub:
            for origin in batch.origins:
                self._origins.add_begun(origin)
            self._has_begun.set()

    async def read(self, wait_s: float = 0.0) -> bool:
        """Read the records that are new; return whether the log answered.

        A call during another one waits for that one's end.

        Args:
            wait_s: How long to wait for a new record, in seconds.
        """
        if self._ongoing is not None:
            await self._ongoing.wait()
            return self._is_up_to_date
        self._ongoing = trio.Event()
        self._is_up_to_date = False
        try:
            self._is_up_to_date = await self._read_to_end(wait_s)
        finally:
            self._ongoing.set()
            self._ongoing = None
        return self._is_up_to_date

    async def _read_to_end(self, wait_s: float) -> bool:
        if not await self._recorded.read():
            return False
        while True:
            page = await self._log.read(
                self._topic, self._position, wait_s=wait_s
            )
            match page:
                case Result(tag="ok", ok=found) if found.is_lost:
                    if found.start == self._position:
                        return False
                    self._position = found.start
                case Result(tag="ok", ok=found):
                    self._apply_page(found)
                    if self._position >= found.end:
                        return True
                case _:
                    message = page.error.message
                    _LOG.write(f"Origins of streams are not read: {message}.")
                    return False
            wait_s = 0.0

    def _apply_page(self, page: ports.Page) -> None:
        for record in page.records:
            self._apply_record(record)
        next_position = page.start + len(page.records)
        tail = page.end - next_position
        if positions.find_era(page.end) != positions.find_era(next_position):
            tail = 0
        self._position = next_position + max(0, tail - _MAX_TAIL_RECORDS)

    def _apply_record(self, record: bytes) -> records.OriginBatch | None:
        try:
            batch = records.decode_batch(record)
        except ValueError as error:
            _LOG.write(f"Ignored an invalid record of origins: {error}.")
            return None
        # Both clocks: a time of day is the same at all daemons, and trio's
        # does not jump.
        now_ms, now = time.time() * _MS, trio.current_time()
        for service, until_ms in batch.mixed_until_ms.items():
            self._history.note_mixed(service, now + (until_ms - now_ms) / _MS)
        for origin in batch.origins:
            self._origins.add(origin)
        return batch

    def _create_batch(
        self, origins: list[records.StreamOrigin]
    ) -> records.OriginBatch:
        now_ms, now = time.time() * _MS, trio.current_time()
        mixed_until_ms = {}
        for service in {origin.service for origin in origins}:
            # The time may end while this runs.
            until = max(now, self._history.find_mixed_until(service))
            left_s = until - now
            mixed_until_ms[service] = round(now_ms + left_s * _MS)
        return records.OriginBatch(mixed_until_ms, origins)

    def _share_batch(self, batch: records.OriginBatch) -> None:
        is_sent = self._peers.share_origins(records.encode_batch(batch))
        if is_sent and not self._peers.leads_reading():
            self._origins.note_written(batch.origins)

    async def _write_due(self) -> bool:
        """Write the origins of mixed services that the log does not have.

        Returns:
            Whether the log did not reject any.
        """
        origins = [
            origin
            for service, lifetime_s in self._find_lifetimes().items()
            for origin in self._list_due(service, lifetime_s)
        ]
        if not origins:
            return True
        batch = self._create_batch(origins)
        if not self._peers.leads_reading():
            self._share_batch(batch)
            return True
        written = await self._log.append(
            self._topic, [records.encode_batch(batch)]
        )
        if written.is_ok():
            self._origins.note_written(origins)
            return True
        # A repeated record changes nothing, so the next one has them again.
        _LOG.write(
            f"Origins of streams were not written: {written.error.message}.",
            streams=len(origins),
        )
        return False

    def _list_due(
        self, service: str, lifetime_s: float
    ) -> list[records.StreamOrigin]:
        """Return what is to be written; versions are observed in any case."""
        is_mixed = self._history.is_mixed(service)
        unwritten = self._origins.list_unwritten(service, lifetime_s)
        return unwritten if is_mixed else []
