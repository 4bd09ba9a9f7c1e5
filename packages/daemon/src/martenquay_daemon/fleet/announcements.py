"""Announce this daemon in the log and learn of the others there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from martenquay_core import logs
from martenquay_daemon.fleet import topology

if TYPE_CHECKING:
    from martenquay_core.serving import ports
    from martenquay_daemon.fleet import links, view

__all__ = ["Announcer", "MemberSink"]

_LOG = logs.create_log("fleet")
_FIRST_RETRY_S = 0.3
_LONGEST_RETRY_S = 5.0


class _Announcement(msgspec.Struct, frozen=True):
    address: str
    zone: str
    capacity: float = 0.0


class MemberSink:
    """Take the records in which daemons announce themselves."""

    def __init__(
        self, fleet: view.FleetView, fleet_links: links.FleetLinks
    ) -> None:
        self._view = fleet
        self._links = fleet_links

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Take all announcements."""
        for record in snapshot.records:
            self.take(record)

    def take(self, record: ports.KeyedRecord) -> None:
        """Take one announcement."""
        if record.value is None:
            return
        try:
            found = msgspec.json.decode(record.value, type=_Announcement)
        except msgspec.MsgspecError as error:
            _LOG.write(f"Announcement of {record.key} is malformed: {error}.")
            return
        self._view.note_listed({record.key})
        self._links.add_peer(
            topology.PeerAddress(found.address, found.zone, found.capacity)
        )


class Announcer:
    """Write this daemon's announcement once."""

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        instance: str,
        place: topology.PeerAddress,
    ) -> None:
        self._log = log
        self._topic = topic
        self._instance = instance
        self._place = place

    async def announce(self, address: str) -> None:
        """Write it, however long that takes."""
        value = msgspec.json.encode(
            _Announcement(address, self._place.zone, self._place.capacity)
        )
        payload = self._log.join_keyed(self._instance, value)
        retry_s = _FIRST_RETRY_S
        while True:
            written = await self._log.append(self._topic, [payload])
            if written.is_ok():
                return
            _LOG.write(f"Not announced yet: {written.error.message}.")
            await trio.sleep(retry_s)
            retry_s = min(2 * retry_s, _LONGEST_RETRY_S)
