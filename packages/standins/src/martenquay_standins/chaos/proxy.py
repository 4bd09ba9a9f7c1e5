"""TCP proxy on loopback with fault injection."""

from __future__ import annotations

import dataclasses
import socket
import struct
from typing import TYPE_CHECKING

import trio

from martenquay_standins import loopback

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["FaultyProxy", "ProxyFaults"]

_RECEIVE_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class ProxyFaults:
    """Faults of all connections through a proxy.

    Attributes:
        delay_s: Delay of each chunk of data.
        is_silent_to: Hold back data sent to the target.
        is_silent_from: Hold back data sent by the target.
    """

    delay_s: float = 0.0
    is_silent_to: bool = False
    is_silent_from: bool = False


@dataclasses.dataclass(eq=False)
class _Connection:
    """One connection through the proxy.

    Attributes:
        scope: Cancelling it resets the connection.
        is_silent: Neither data nor the end of the stream is forwarded.
    """

    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    is_silent: bool = False


class FaultyProxy:
    """TCP proxy for one target.

    Data held back by a fault is forwarded when the fault ends, unless the
    connection is reset before. `silence_connections` is permanent for its
    connections: the kernel acknowledges data that is never forwarded.

    Attributes:
        address: Host and port where it listens.
        target: Host and port to forward to.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.target = target
        self._faults = ProxyFaults()
        self._changed = trio.Event()
        self._connections: set[_Connection] = set()
        self._listen_scope = trio.CancelScope()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept and forward connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        async with trio.open_nursery() as nursery:
            with self._listen_scope:
                await trio.serve_listeners(
                    self._forward, listeners, handler_nursery=nursery
                )

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        self._listen_scope.cancel()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Replace the faults, for open connections too."""
        self._faults = faults
        self._notify_changed()

    def reset_connections(self) -> None:
        """Reset all open connections, on both sides."""
        for connection in list(self._connections):
            connection.scope.cancel()

    def silence_connections(self) -> None:
        """Stop forwarding on all open connections; new ones are forwarded."""
        for connection in self._connections:
            connection.is_silent = True
        self._notify_changed()

    def count_connections(self) -> int:
        """Return the number of open connections, including silent ones."""
        return len(self._connections)

    async def _forward(self, downstream: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset_streams(downstream)
            return
        connection = _Connection()
        with connection.scope:
            self._connections.add(connection)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._copy, connection, downstream, upstream, True
                    )
                    nursery.start_soon(
                        self._copy, connection, upstream, downstream, False
                    )
            finally:
                self._connections.discard(connection)
                _reset_streams(downstream, upstream)

    async def _copy(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        target: trio.SocketStream,
        is_to_target: bool,
    ) -> None:
        try:
            while data := await source.receive_some(_RECEIVE_BYTES):
                await self._wait_deliverable(connection, is_to_target)
                await target.send_all(data)
            await self._wait_deliverable(connection, is_to_target)
            await target.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            if connection.is_silent:
                # A reset here would tell the other side of the failure.
                await trio.sleep_forever()
            _reset_streams(source, target)

    async def _wait_deliverable(
        self, connection: _Connection, is_to_target: bool
    ) -> None:
        if self._faults.delay_s:
            await trio.sleep(self._faults.delay_s)
        while connection.is_silent or self._is_silent(is_to_target):
            await self._changed.wait()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _is_silent(self, is_to_target: bool) -> bool:
        if is_to_target:
            return self._faults.is_silent_to
        return self._faults.is_silent_from


def _reset_streams(*streams: trio.SocketStream) -> None:
    """Reset the streams that are open, discarding undelivered data."""
    for stream in _iterate_open_streams(streams):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.socket.close()


def _iterate_open_streams(
    streams: tuple[trio.SocketStream, ...],
) -> Iterator[trio.SocketStream]:
    return (stream for stream in streams if stream.socket.fileno() >= 0)
