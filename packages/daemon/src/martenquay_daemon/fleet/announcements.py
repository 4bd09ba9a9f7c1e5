"""Announce this daemon in the log and learn of the others there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from martenquay_core import logs
from martenquay_daemon.fleet import topology

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import ports
    from martenquay_daemon.fleet import links, roster, view

__all__ = ["Announcer", "MemberSink", "Remover"]

_LOG = logs.create_log("fleet")
_FIRST_RETRY_S = 0.3
_LONGEST_RETRY_S = 5.0
# How long the first reading of the announcements may take: some tens of ms,
# more if the log is slow or away, when nothing can be written either.
_READ_S = 2.0
# Long after any restart or cut that operators call short; until then a part of
# each team's rate is nobody's.
_GONE_S = 600.0
_LOOK_S = 60.0


class _Announcement(msgspec.Struct, frozen=True):
    address: str
    zone: str
    capacity: float = 0.0
    # All other daemons reckon with it.
    is_counted: bool = False


class MemberSink:
    """Take the records in which daemons announce themselves."""

    def __init__(
        self,
        fleet: view.FleetView,
        fleet_links: links.FleetLinks,
        known: roster.Roster,
    ) -> None:
        self._view = fleet
        self._links = fleet_links
        self._roster = known

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Take all announcements."""
        for record in snapshot.records:
            self.apply_change(record)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Take one announcement."""
        if record.value is None:
            self._roster.note_removed(record.key)
            return
        try:
            found = msgspec.json.decode(record.value, type=_Announcement)
        except msgspec.MsgspecError as error:
            _LOG.write(f"Announcement of {record.key} is malformed: {error}.")
            return
        self._view.note_listed({record.key})
        self._roster.note_listed(
            record.key,
            record.offset,
            is_counted=found.is_counted,
            zone=found.zone,
        )
        self._links.add_peer(
            topology.PeerAddress(found.address, found.zone, found.capacity)
        )


class Remover:
    """Take instances off the list that are gone for good.

    Each keeps its part of what is shared for as long as it is listed. One that
    was only cut off for so long finds itself taken off, announces itself anew,
    and waits for the others like a new one.
    """

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        known: roster.Roster,
        may_remove: Callable[[], bool],
    ) -> None:
        self._log = log
        self._topic = topic
        self._roster = known
        self._may_remove = may_remove

    async def run(self) -> None:
        """Look from time to time until cancelled."""
        while True:
            await trio.sleep(_LOOK_S)
            if self._may_remove():
                await self.remove_silent()

    async def remove_silent(self) -> None:
        """Take off who has been silent for long."""
        for instance in self._roster.list_silent(_GONE_S):
            payload = self._log.join_keyed(instance, b"")
            written = await self._log.append(self._topic, [payload])
            _LOG.write(
                f"Instance {instance} is taken off the list.",
                silent_s=_GONE_S,
                written=written.is_ok(),
            )


class Announcer:
    """Write this daemon's announcement, and again once others know of it."""

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        instance: str,
        place: topology.PeerAddress,
        known: roster.Roster,
        first_read: trio.Event,
    ) -> None:
        self._log = log
        self._topic = topic
        self._instance = instance
        self._place = place
        self._roster = known
        self._first_read = first_read

    async def announce(self, address: str) -> None:
        """Write it, however long that takes."""
        # Else a process that starts anew would take back that the others
        # reckon with its instance.
        with trio.move_on_after(_READ_S):
            await self._first_read.wait()
        while True:
            counted = self._roster.counted
            await self._write(address, is_counted=counted.is_set())
            if not counted.is_set():
                await counted.wait()
                await self._write(address, is_counted=True)
            await self._roster.removed.wait()

    async def _write(self, address: str, *, is_counted: bool) -> None:
        place = self._place
        value = msgspec.json.encode(
            _Announcement(address, place.zone, place.capacity, is_counted)
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
