"""Pass the records of one topic to several sinks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import ports
    from martenquay_daemon.discovery import keyed_follower

__all__ = ["FanOutSink"]


class FanOutSink:
    """A `keyed_follower.RecordSink` that calls several others in order."""

    def __init__(self, *sinks: keyed_follower.RecordSink) -> None:
        self._sinks = sinks

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Pass the snapshot to each sink."""
        for sink in self._sinks:
            sink.replace_all(snapshot)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Pass the record to each sink."""
        for sink in self._sinks:
            sink.apply_change(record)
