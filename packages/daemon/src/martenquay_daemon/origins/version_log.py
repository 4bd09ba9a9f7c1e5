"""Keep in the platform's log which software versions each service has.

While a service has one version, the origins of its streams are written nowhere.
If all daemons are killed and another version has replaced that one when they
are back, only this record tells that streams of two versions may be resumed.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_core import logs
from martenquay_daemon.origins import records

if TYPE_CHECKING:
    from collections.abc import Iterable

    from martenquay_core.serving import ports
    from martenquay_daemon.origins import versions

__all__ = ["VersionLog"]

_LOG = logs.create_log("origins")
_MS = 1000


class VersionLog:
    """Writes the versions that this daemon lists and reads the last ones."""

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        history: versions.VersionHistory,
    ) -> None:
        """Create the log.

        Args:
            log: The platform's log.
            topic: The keyed topic of versions.
            history: The versions of each service.
        """
        self._log = log
        self._topic = topic
        self._history = history
        self._has_read = False
        # By service, each version and whether it was listed.
        self._written: dict[str, dict[str, bool]] = {}

    async def read(self) -> bool:
        """Read the versions of before this daemon's start, once.

        Returns:
            Whether they were read, now or before.
        """
        if self._has_read:
            return True
        match await self._log.read_newest(self._topic):
            case Result(tag="ok", ok=found):
                for record in found.records:
                    self._apply(record)
                self._has_read = True
            case Result(error=failure):
                _LOG.write(f"Versions are not read: {failure.message}.")
        return self._has_read

    async def write_changes(self, services: Iterable[str]) -> None:
        """Write the versions of services that have others than written."""
        if not self._has_read:
            return
        now_ms, now = time.time() * _MS, trio.current_time()
        changed: dict[str, dict[str, bool]] = {}
        payloads = []
        for service in services:
            seen_at = self._history.list_versions(service)
            listed = {version: at >= now for version, at in seen_at.items()}
            if not listed or listed == self._written.get(service):
                continue
            changed[service] = listed
            value = records.encode_versions(
                {
                    version: None
                    if at >= now
                    else round(now_ms + (at - now) * _MS)
                    for version, at in seen_at.items()
                }
            )
            payloads.append(self._log.join_keyed(service, value))
        if not changed:
            return
        written = await self._log.append(self._topic, payloads)
        if written.is_ok():
            self._written |= changed
            _LOG.write("Wrote the versions of services.", versions=changed)
            return
        _LOG.write(f"Versions were not written: {written.error.message}.")

    def _apply(self, record: ports.KeyedRecord) -> None:
        if record.value is None:
            return
        try:
            last_listed_ms = records.decode_versions(record.value)
        except ValueError as error:
            _LOG.write(f"Ignored an invalid record of versions: {error}.")
            return
        now_ms, now = time.time() * _MS, trio.current_time()
        for version, at_ms in last_listed_ms.items():
            # A version may have left at any time since the record was written.
            age_s = 0.0 if at_ms is None else max(0.0, now_ms - at_ms) / _MS
            self._history.note_listed(record.key, version, now - age_s)
        self._written[record.key] = {
            version: at_ms is None for version, at_ms in last_listed_ms.items()
        }
