"""Hold the catalog in force; only a newer version replaces it."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from martenquay_core import logs
from martenquay_core.serving import catalog
from martenquay_daemon.forwarding import routes

if TYPE_CHECKING:
    from martenquay_core.serving import ports

__all__ = ["CatalogStore", "create_store"]

_LOG = logs.create_log("catalog")
# The fastest level; higher ones make a catalog hardly smaller. 1,400 routes
# take 0.8 ms and shrink from 275 kB to 9 kB.
_COMPRESSION_LEVEL = 1
# Bounds the memory that a malformed copy takes; a record of the log is smaller.
_MAX_CATALOG_BYTES = 16_777_216


class CatalogStore:
    """The catalog in force, decoded, encoded and compressed.

    Attributes:
        table: Lookups in the catalog by route and team.
        raw: Encoded record of the catalog; empty before the first version.
    """

    def __init__(self, codec: ports.PlatformCodec) -> None:
        self.table = routes.create_table(catalog.create_empty_catalog())
        self.raw = b""
        self._packed = b""
        self._codec = codec

    @property
    def packed(self) -> bytes:
        """Compressed record for other daemons; empty before the first version.

        A hub sends it to all daemons of its zone. Uncompressed, a large catalog
        would delay the hub's quota replies on a slow link by seconds.
        """
        if self.raw and not self._packed:
            self._packed = zlib.compress(self.raw, _COMPRESSION_LEVEL)
        return self._packed

    @property
    def version(self) -> int:
        """Number of the version in force; 0 before the first."""
        return self.table.catalog.version

    def offer_packed(self, packed: bytes, source: str) -> bool:
        """Put a peer's compressed catalog in force if it is newer.

        Args:
            packed: The peer's compressed record.
            source: Who sent it, for the log line.

        Returns:
            Whether it was valid and newer.
        """
        if packed == self._packed:
            return False
        unpacker = zlib.decompressobj()
        try:
            raw = unpacker.decompress(packed, _MAX_CATALOG_BYTES)
        except zlib.error as error:
            raw = b""
            problem = str(error)
        else:
            problem = "truncated or too large"
        if not raw or not unpacker.eof:
            _LOG.write(
                f"Catalog version {self.version} stays in force: "
                f"rejected a malformed copy: {problem}.",
                learnt_from=source,
            )
            return False
        if not self.offer(raw, source):
            return False
        self._packed = packed
        return True

    def offer(self, raw: bytes, source: str) -> bool:
        """Put an encoded catalog in force if it is newer.

        Args:
            raw: The encoded record.
            source: Where it came from, for the log line.

        Returns:
            Whether it was valid and newer.
        """
        if raw == self.raw:
            return False
        try:
            content = self._codec.decode_catalog(raw)
        except ValueError as error:
            _LOG.write(
                f"Catalog version {self.version} stays in force: "
                f"rejected a malformed record: {error}.",
                learnt_from=source,
            )
            return False
        if content.version <= self.version:
            return False
        previous = self.version
        self.table = routes.create_table(content)
        self.raw = raw
        self._packed = b""
        _LOG.write(
            f"Version {content.version} is in force.",
            version=content.version,
            previous=previous,
            learnt_from=source,
            routes=len(content.routes),
            teams=len(content.teams),
        )
        return True


def create_store(codec: ports.PlatformCodec) -> CatalogStore:
    """Return a store without a catalog."""
    return CatalogStore(codec)
