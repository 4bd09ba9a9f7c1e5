"""Feed one topic to several parts that each take their own records of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import ports
    from martenquay_daemon.discovery import keyed_follower

__all__ = ["JointSink"]


class JointSink:
    """Implement `keyed_follower.RecordSink` for several."""

    def __init__(self, *sinks: keyed_follower.RecordSink) -> None:
        self._sinks = sinks

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Tell all."""
        for sink in self._sinks:
            sink.replace_all(snapshot)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Tell all."""
        for sink in self._sinks:
            sink.apply_change(record)
