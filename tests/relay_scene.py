"""A hub and other daemons of its zone that follow the crash records."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.discovery import (
    contact,
    fan_out_sink,
    keyed_follower,
    read_schedules,
)
from martenquay_daemon.fleet import messages, record_relay, relay_messages
from martenquay_standins.ports import log

if TYPE_CHECKING:
    import trio

    from martenquay_core.serving import ports

__all__ = ["RelayDaemon", "RelayScene"]

_TOPIC = "strikes"


class _ListSink:
    """Keeps the offsets of applied records."""

    def __init__(self) -> None:
        self.offsets: list[int] = []

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        self.offsets = [record.offset for record in snapshot.records]

    def apply_change(self, record: ports.KeyedRecord) -> None:
        self.offsets.append(record.offset)


@dataclasses.dataclass
class RelayDaemon:
    """One daemon.

    Attributes:
        relay: Its relay.
        follower: Its follower of the topic.
        sink: Receives the records.
        log: Its connection to the log, which counts its calls.
    """

    relay: record_relay.RecordRelay
    follower: keyed_follower.KeyedFollower
    sink: _ListSink
    log: _CountingLog


class _CountingLog:
    """A daemon's connection to the shared log."""

    def __init__(self, shared: log.MemoryLog) -> None:
        self.reads = 0
        self._shared = shared
        self.split_keyed = shared.split_keyed
        self.read_newest = shared.read_newest

    async def read(self, topic: str, start: int, *, wait_s: float = 0.0):
        self.reads += 1
        return await self._shared.read(topic, start, wait_s=wait_s)


class RelayScene:
    """A zone whose first daemon is the hub.

    Attributes:
        log: The log.
        daemons: All daemons.
        lost: Messages of the hub that are lost from now on.
        is_hub_silent: The hub's messages reach nobody.
    """

    def __init__(self, nursery: trio.Nursery, daemons: int = 4) -> None:
        self.log = log.MemoryLog()
        self.lost = 0
        self.is_hub_silent = False
        self.daemons = [self._create(n == 0) for n in range(daemons)]
        for daemon in self.daemons:
            nursery.start_soon(daemon.follower.run)
            nursery.start_soon(daemon.relay.run)

    def put(self, count: int = 1) -> None:
        """Write crash records to the log."""
        for number in range(count):
            self.log.put(_TOPIC, f"content.{number}.runner", b"{}")

    def _create(self, is_hub: bool) -> RelayDaemon:
        relay = record_relay.RecordRelay(self._send, lambda: is_hub)
        sink = _ListSink()
        connection = _CountingLog(self.log)
        follower = keyed_follower.KeyedFollower(
            connection,
            contact.LogContact(),
            _TOPIC,
            fan_out_sink.FanOutSink(sink, relay),
            read_schedules.CRASH_RECORDS,
            lambda: True,
            relay.is_read_needed,
        )
        relay.follower = follower
        return RelayDaemon(relay, follower, sink, connection)

    def _send(self, message: relay_messages.RelayedRecords) -> None:
        if self.is_hub_silent:
            return
        if self.lost:
            self.lost -= 1
            return
        raw = messages.encode_message(message)
        for daemon in self.daemons[1:]:
            daemon.relay.apply_message(messages.decode_message(raw))
