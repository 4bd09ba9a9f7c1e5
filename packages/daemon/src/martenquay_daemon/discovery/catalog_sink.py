"""Feed the catalog's topic into the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import ports
    from martenquay_daemon.discovery import catalog_store

__all__ = ["CatalogSink"]


class CatalogSink:
    """Implement `keyed_follower.RecordSink` for the catalog."""

    def __init__(self, store: catalog_store.CatalogStore, key: str) -> None:
        self._store = store
        self._key = key

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Take the newest records; a missing one changes nothing."""
        for record in snapshot.records:
            self.apply_change(record)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Offer the record to the store if it is the catalog."""
        if record.key == self._key and record.value is not None:
            self._store.offer(record.value, f"log offset {record.offset}")
