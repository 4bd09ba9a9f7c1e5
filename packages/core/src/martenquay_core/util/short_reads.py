"""Network backend for httpcore that reads little at a time.

httpcore parses what one read has brought without a checkpoint; interim answers
and tiny chunks in 64 KiB hold the loop for 0.1 s.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpcore

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable

__all__ = ["ShortReadBackend"]

_READ_BYTES = 16_384


class _ShortReadStream(httpcore.AsyncNetworkStream):
    """Stream whose reads return `_READ_BYTES` at most."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes; empty at the end."""
        return await self._stream.read(min(max_bytes, _READ_BYTES), timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the stream with TLS."""
        return _ShortReadStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        return self._stream.get_extra_info(info)


class ShortReadBackend(httpcore.AsyncNetworkBackend):
    """Opens streams under trio whose reads are short."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        return _ShortReadStream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection to a Unix socket."""
        return _ShortReadStream(
            await self._backend.connect_unix_socket(
                path, timeout, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        """Sleep."""
        await self._backend.sleep(seconds)
