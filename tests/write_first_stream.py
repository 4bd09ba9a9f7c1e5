"""Stream to a runner that is read only once a write to it has failed."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.forwarding import runner_connection as connections

if TYPE_CHECKING:
    from trio.socket import SocketType

__all__ = ["MIN_BODY_BYTES", "open_stream"]

_open_direct = connections.open_stream
_SEND_BUFFER_BYTES = 65_536
# Larger than what both kernels buffer of a body that its receiver leaves
# unread.
MIN_BODY_BYTES = 4_000_000


class _WriteFirstStream:
    """Forces the order in which a writer and a reader see a reset."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._has_failed = trio.Event()

    @property
    def socket(self) -> SocketType:
        return self._stream.socket

    async def send_all(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self._has_failed.set()
            raise

    async def receive_some(self, max_bytes: int) -> bytes:
        await self._has_failed.wait()
        return await self._stream.receive_some(max_bytes)

    async def aclose(self) -> None:
        await self._stream.aclose()


async def open_stream(
    address: str, timeout_s: float, max_use_s: float
) -> connections.OpenedStream:
    """Open such a stream; implements `StreamOpener`."""
    opened = await _open_direct(address, timeout_s, max_use_s)
    opened.stream.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
    )
    return connections.OpenedStream(
        _WriteFirstStream(opened.stream), open_stream
    )
