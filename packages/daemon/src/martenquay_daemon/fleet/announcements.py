"""Announce this daemon in the log and follow other daemons' announcements."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from martenquay_core import logs
from martenquay_core.util import decoding
from martenquay_daemon.fleet import topology

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import ports
    from martenquay_daemon.fleet import links, roster, view
    from martenquay_daemon.relay import peers

__all__ = ["Announcer", "MemberSink", "Remover"]

_LOG = logs.create_log("fleet")
_FIRST_RETRY_S = 0.3
_MAX_RETRY_S = 5.0
# Bounds the wait for the first read: a log that cannot be read must not keep
# this daemon from trying to announce itself.
_FIRST_READ_TIMEOUT_S = 2.0
# Longer than a restart or a network partition that operators repair; until an
# instance is removed, its share of each team's rate is unused.
_REMOVE_AFTER_S = 600.0
_CHECK_INTERVAL_S = 60.0


class _Announcement(msgspec.Struct, frozen=True):
    address: str
    zone: str
    capacity: float = 0.0
    # All other daemons have reduced their shares for this instance.
    is_counted: bool = False
    # Where other daemons open tunnels to runners; empty for nowhere.
    relay: str = ""


class MemberSink:
    """Applies announcements in the log to roster, view, links and relays."""

    def __init__(
        self,
        instance: str,
        fleet: view.FleetView,
        fleet_links: links.FleetLinks,
        known: roster.Roster,
        relays: peers.RelayPeers,
    ) -> None:
        self._instance = instance
        self._view = fleet
        self._links = fleet_links
        self._roster = known
        self._relays = relays

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Apply a snapshot's announcements; other instances stay listed."""
        for record in snapshot.records:
            self.apply_change(record)
        if self._instance not in {record.key for record in snapshot.records}:
            self._roster.note_announcement_lost()

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Apply one announcement or removal."""
        if record.value is None:
            self._roster.note_removed(record.key)
            self._relays.remove(record.key)
            return
        try:
            announcement = decoding.decode_json(record.value, _Announcement)
        except msgspec.MsgspecError as error:
            _LOG.write(f"Announcement of {record.key} is malformed: {error}.")
            return
        self._view.note_listed({record.key})
        self._roster.note_listed(
            record.key,
            record.offset,
            is_counted=announcement.is_counted,
            zone=announcement.zone,
        )
        self._links.add_peer(
            topology.PeerAddress(
                announcement.address, announcement.zone, announcement.capacity
            )
        )
        self._relays.add(record.key, announcement.relay, announcement.capacity)


class Remover:
    """Removes instances from the roster that have been silent for long.

    An instance keeps its share of the rates while it is listed. One that was
    only partitioned announces itself again when it finds itself removed.
    """

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        known: roster.Roster,
        may_remove: Callable[[], bool],
    ) -> None:
        """Create the remover.

        Args:
            log: The log with the announcements.
            topic: Topic of the announcements.
            known: The listed instances.
            may_remove: Returns whether this daemon may remove instances now.
        """
        self._log = log
        self._topic = topic
        self._roster = known
        self._may_remove = may_remove

    async def run(self) -> None:
        """Remove silent instances periodically until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            if self._may_remove():
                await self.remove_silent()

    async def remove_silent(self) -> None:
        """Remove the instances that have been silent for too long."""
        for instance in self._roster.list_silent(_REMOVE_AFTER_S):
            payload = self._log.join_keyed(instance, b"")
            written = await self._log.append(self._topic, [payload])
            _LOG.write(
                f"Removing instance {instance} from the roster.",
                silent_s=_REMOVE_AFTER_S,
                written=written.is_ok(),
            )


class Announcer:
    """Writes this daemon's announcement and updates it once it is counted."""

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        instance: str,
        own: topology.PeerAddress,
        known: roster.Roster,
        first_read: trio.Event,
    ) -> None:
        """Create the announcer.

        Args:
            log: The log to write to.
            topic: Topic of the announcements.
            instance: Name of this daemon's instance.
            own: Zone and capacity to announce.
            known: The listed instances.
            first_read: Set once the topic was read to its end.
        """
        self._log = log
        self._topic = topic
        self._instance = instance
        self._own = own
        self._roster = known
        self._first_read = first_read

    async def announce(self, address: str, relay: str = "") -> None:
        """Keep an announcement in the log until cancelled.

        Args:
            address: Address of the fleet link.
            relay: Where other daemons open tunnels to runners; empty for
                nowhere.
        """
        # A restarted process must not overwrite `is_counted` with false.
        with trio.move_on_after(_FIRST_READ_TIMEOUT_S):
            await self._first_read.wait()
        while True:
            counted = self._roster.counted
            await self._write(address, relay, is_counted=counted.is_set())
            if not counted.is_set():
                await counted.wait()
                await self._write(address, relay, is_counted=True)
            await self._roster.removed.wait()

    async def _write(
        self, address: str, relay: str, *, is_counted: bool
    ) -> None:
        own = self._own
        value = msgspec.json.encode(
            _Announcement(address, own.zone, own.capacity, is_counted, relay)
        )
        payload = self._log.join_keyed(self._instance, value)
        retry_s = _FIRST_RETRY_S
        while True:
            written = await self._log.append(self._topic, [payload])
            if written.is_ok():
                return
            _LOG.write(
                f"Cannot write the announcement yet: {written.error.message}."
            )
            await trio.sleep(retry_s)
            retry_s = min(2 * retry_s, _MAX_RETRY_S)
