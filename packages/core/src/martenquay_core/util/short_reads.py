"""Network backend for httpcore that reads little and keeps resets apart.

httpcore parses what one read has brought without a checkpoint; interim answers
and tiny chunks in 64 KiB hold the loop for 0.1 s. It also passes over a failed
write, and takes the end of file that follows for the end of the answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpcore

from martenquay_core.util import resets

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable

__all__ = ["ShortReadBackend"]

_READ_BYTES = 16_384


class _ShortReadStream(httpcore.AsyncNetworkStream):
    """Stream whose reads return `_READ_BYTES` at most."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._may_hide_reset = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes; empty at the end.

        Raises:
            httpcore.ReadError: The connection broke, perhaps while the request
                was written.
        """
        data = await self._stream.read(min(max_bytes, _READ_BYTES), timeout)
        if not data and self._may_hide_reset:
            raise httpcore.ReadError("reset while the request was sent")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes.

        Raises:
            httpcore.WriteError: The connection broke.
        """
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._may_hide_reset = resets.may_hide_reset(error)
            raise

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
