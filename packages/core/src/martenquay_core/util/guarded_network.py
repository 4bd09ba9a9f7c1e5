"""Network backend for httpcore that does not trust the peer.

httpcore parses what one read has brought without a checkpoint; interim answers
and tiny chunks in 64 KiB hold the loop for 0.1 s. It passes over a failed
write, and takes the end of file that follows for the end of the answer. It
joins folded lines of heads, and keeps bytes behind an answer for the next one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpcore

from martenquay_core.util import answer_end, head_lines, resets

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable

__all__ = ["GuardedBackend"]

_READ_BYTES = 16_384


class _GuardedStream(httpcore.AsyncNetworkStream):
    """Stream with short reads that refuses what httpcore would accept."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._may_hide_reset = False
        self._head_lines = head_lines.HeadLines()
        self._answer_end = answer_end.AnswerEnd()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes; empty at the end.

        Raises:
            httpcore.ReadError: The connection broke, perhaps while the request
                was written.
            httpcore.RemoteProtocolError: A head is malformed.
        """
        data = await self._stream.read(min(max_bytes, _READ_BYTES), timeout)
        if not data and self._may_hide_reset:
            raise httpcore.ReadError("reset while the request was sent")
        try:
            self._head_lines.add(data)
        except head_lines.MalformedHeadError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        self._answer_end.feed(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of a request, whose answer is read next.

        Raises:
            httpcore.WriteError: The connection broke.
        """
        self._head_lines = head_lines.HeadLines()
        self._answer_end = answer_end.AnswerEnd()
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
        return _GuardedStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        if info == "is_readable" and self._answer_end.has_surplus:
            # An idle connection that is readable is not used again.
            return True
        return self._stream.get_extra_info(info)


class GuardedBackend(httpcore.AsyncNetworkBackend):
    """Opens guarded streams under trio."""

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
        return _GuardedStream(
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
        return _GuardedStream(
            await self._backend.connect_unix_socket(
                path, timeout, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        """Sleep."""
        await self._backend.sleep(seconds)
