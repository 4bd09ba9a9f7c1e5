"""Simulate disconnecting callers and hanging runners; record the effects."""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import TYPE_CHECKING, Any
from unittest import mock

import eliot
import trio

from martenquay_daemon.forwarding import runner_connection as connections
from martenquay_standins import loopback

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

__all__ = [
    "CANCEL_LIMIT_S",
    "ConnectWatch",
    "DepartureLog",
    "disconnect_caller",
    "listen_unread",
    "listen_with_full_backlog",
    "open_connect_watch",
    "open_departure_log",
    "read_to_end",
]

CANCEL_LIMIT_S = 0.5
_READ_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_RECEIVE_BUFFER_BYTES = 4096


def disconnect_caller(caller: trio.SocketStream, *, is_reset: bool) -> None:
    """Close a caller's connection immediately, by FIN or by RST."""
    if is_reset:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    caller.socket.close()


class DepartureLog:
    """Collects the log lines about disconnected callers.

    Attributes:
        lines: Fields of these log lines.
        written: Set when the first one is written.
    """

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []
        self.written = trio.Event()

    def take(self, message: dict[str, Any]) -> None:
        """Receive a log line and keep it if it is about a disconnect."""
        if message.get("text", "").startswith("A caller left"):
            self.lines.append(message)
            self.written.set()


@contextlib.contextmanager
def open_departure_log() -> Iterator[DepartureLog]:
    """Collect the log lines about disconnected callers in this context."""
    log = DepartureLog()
    eliot.add_destinations(log.take)
    # Eliot sends lines that were logged earlier to the first destination.
    log.lines.clear()
    log.written = trio.Event()
    try:
        yield log
    finally:
        eliot.remove_destination(log.take)


class ConnectWatch:
    """Records a daemon's connection attempts to runners; can make them hang.

    Attributes:
        addresses: Address of each attempt.
        hangs_from: Index of the first attempt that hangs, or None.
        hung: Set when an attempt starts to hang.
        ended: Set when a hanging attempt is cancelled.
    """

    def __init__(self) -> None:
        self.addresses: list[str] = []
        self.hangs_from: int | None = None
        self.hung = trio.Event()
        self.ended = trio.Event()
        self._connect = connections.connect_runner

    @contextlib.asynccontextmanager
    async def connect(
        self, address: str, timeout_s: float, **options: float
    ) -> AsyncIterator[connections.RunnerConnection]:
        """Replace `connect_runner`: connect, or hang from `hangs_from` on."""
        number = len(self.addresses)
        self.addresses.append(address)
        if self.hangs_from is not None and number >= self.hangs_from:
            self.hung.set()
            try:
                await trio.sleep_forever()
            finally:
                self.ended.set()
        async with self._connect(address, timeout_s, **options) as connection:
            yield connection


@contextlib.contextmanager
def open_connect_watch() -> Iterator[ConnectWatch]:
    """Record the connection attempts to runners in this context."""
    watch = ConnectWatch()
    with mock.patch.object(connections, "connect_runner", watch.connect):
        yield watch


@contextlib.contextmanager
def listen_with_full_backlog() -> Iterator[tuple[socket.socket, str]]:
    """Yield a listener with a full backlog: connecting to it hangs."""
    with socket.socket() as listener, socket.socket() as filler:
        listener.bind((loopback.HOST, 0))
        listener.listen(0)
        filler.connect(listener.getsockname())
        listener.setblocking(False)
        yield listener, _format_address(listener)


@contextlib.contextmanager
def listen_unread() -> Iterator[tuple[socket.socket, str]]:
    """Yield a listener whose accepted connections are not read."""
    with socket.socket() as listener:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        listener.bind((loopback.HOST, 0))
        listener.listen()
        listener.setblocking(False)
        yield listener, _format_address(listener)


async def read_to_end(sock: socket.socket) -> int:
    """Read until the peer closes or resets; return the number of bytes."""
    sock.setblocking(False)
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
    size = 0
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await stream.receive_some(_READ_BYTES):
            size += len(data)
    return size


def _format_address(listener: socket.socket) -> str:
    host, port = listener.getsockname()
    return f"{host}:{port}"
