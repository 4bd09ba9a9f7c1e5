"""Relay the crash records that a hub reads to the daemons of its zone.

Each record would otherwise wake a long poll of each daemon. A hub sends a
record on as soon as it has read it, so it arrives as soon as by a poll.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.serving import ports
from martenquay_daemon.fleet import relay_messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.discovery import keyed_follower

__all__ = ["RecordRelay"]

_LOG = logs.create_log("fleet")
# A message that was lost is noticed with the next one, at most this much later.
_MESSAGE_INTERVAL_S = 1.0
# Two messages may be lost before a daemon reads the topic itself.
_SILENT_S = 2.5
# Records in one message; a zone that ends leaves hundreds at once.
_MAX_RECORDS = 200


class RecordRelay:
    """Sends a hub's records and applies those of another hub.

    It implements `keyed_follower.RecordSink`, for the records that are read
    here.

    Attributes:
        follower: Follows the topic here; set before `run`.
    """

    def __init__(
        self,
        send_to_zone: Callable[[relay_messages.RelayedRecords], None],
        is_relaying: Callable[[], bool],
    ) -> None:
        """Create the relay.

        Args:
            send_to_zone: Sends a message to the daemons of the zone.
            is_relaying: Returns whether this daemon reads the log for its
                zone.
        """
        self.follower: keyed_follower.KeyedFollower | None = None
        self._send_to_zone = send_to_zone
        self._is_relaying = is_relaying
        self._unsent: list[ports.KeyedRecord] = []
        self._wake = trio.Event()
        self._heard_at = -math.inf
        self._heard_end = 0

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Drop unsent records; the others read the topic themselves."""
        del snapshot
        self._unsent.clear()

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Relay a record that was read here."""
        if self._is_relaying():
            self._unsent.append(record)
            self._wake.set()

    async def run(self) -> None:
        """Send records to the zone until cancelled."""
        while True:
            with trio.move_on_after(_MESSAGE_INTERVAL_S):
                await self._wake.wait()
            self._wake = trio.Event()
            if self._is_relaying():
                self._send()
            else:
                self._unsent.clear()

    def is_read_needed(self) -> bool:
        """Return whether this daemon must read the topic itself."""
        if self._is_relaying() or self.follower is None:
            return True
        is_silent = trio.current_time() - self._heard_at > _SILENT_S
        return is_silent or self.follower.end < self._heard_end

    def apply_message(self, message: relay_messages.RelayedRecords) -> None:
        """Apply the records that a hub relayed."""
        if self.follower is None:
            return
        self._heard_at = trio.current_time()
        # A hub that has lost the log repeats an old end.
        self._heard_end = max(self._heard_end, message.end)
        records = [
            ports.KeyedRecord(one.offset, one.key, one.value)
            for one in message.records
        ]
        if not self.follower.apply_relayed(message.start, records):
            _LOG.write(
                "Reading crash records that no hub relayed.",
                end=self.follower.end,
                start=message.start,
            )

    def _send(self) -> None:
        if self.follower is None or self.follower.end < 0:
            return
        while True:
            batch = self._unsent[:_MAX_RECORDS]
            del self._unsent[:_MAX_RECORDS]
            start = batch[0].offset if batch else self.follower.end
            end = batch[-1].offset + 1 if batch else self.follower.end
            self._send_to_zone(
                relay_messages.RelayedRecords(
                    start,
                    end,
                    [
                        relay_messages.RelayedRecord(
                            one.offset, one.key, one.value
                        )
                        for one in batch
                    ],
                )
            )
            if not self._unsent:
                return
