"""Pass catalog records of the log to the catalog store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core.serving import positions

if TYPE_CHECKING:
    from martenquay_core.serving import ports
    from martenquay_daemon.discovery import catalog_store

__all__ = ["CatalogSink"]


class CatalogSink:
    """A `keyed_follower.RecordSink` that passes records to the store."""

    def __init__(self, store: catalog_store.CatalogStore, key: str) -> None:
        self._store = store
        self._key = key

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Offer each record; the version in force stays if there is none."""
        for record in snapshot.records:
            self.apply_change(record)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Offer the record to the store if it has the catalog's key."""
        if record.key == self._key and record.value is not None:
            self._store.offer(
                record.value, positions.describe_position(record.offset)
            )
