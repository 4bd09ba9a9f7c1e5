"""Stand between two programs on loopback and harm what passes."""

from __future__ import annotations

import dataclasses
import socket
import struct
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["FaultyProxy", "ProxyFaults"]

_RECEIVE_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class ProxyFaults:
    """What goes wrong with what passes.

    Attributes:
        delay_s: Each piece is held back so long.
        is_silent_to: Nothing passes towards the target.
        is_silent_from: Nothing passes from it.
    """

    delay_s: float = 0.0
    is_silent_to: bool = False
    is_silent_from: bool = False


@dataclasses.dataclass(eq=False)
class _Connection:
    """One connection through the proxy.

    Attributes:
        is_silent: Nothing passes any more, not even its end.
    """

    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    is_silent: bool = False


class FaultyProxy:
    """Forward TCP to one target.

    What is held back while a direction is silent passes when it heals, as
    after a cut, unless the connection was reset meanwhile. A connection that
    was silenced by itself stays so for good; each side's kernel goes on
    acknowledging what the other one does not get.

    Attributes:
        address: Where it listens.
        target: Where it forwards to.
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
        """Forward until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        async with trio.open_nursery() as nursery:
            with self._listen_scope:
                await trio.serve_listeners(
                    self._forward, listeners, handler_nursery=nursery
                )

    def stop_listening(self) -> None:
        """Refuse new connections from now on; open ones go on."""
        self._listen_scope.cancel()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Change what goes wrong."""
        self._faults = faults
        self._notify_changed()

    def reset_connections(self) -> None:
        """Reset all open connections, on both sides."""
        for connection in list(self._connections):
            connection.scope.cancel()

    def silence_connections(self) -> None:
        """Silence the connections that are open now; new ones pass."""
        for connection in self._connections:
            connection.is_silent = True
        self._notify_changed()

    def count_connections(self) -> int:
        """Return how many connections are open, silent ones too."""
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
                # The other side of a silent connection learns of nothing.
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
    """Close with a reset, so that nothing held back is delivered."""
    for stream in _iterate_open_streams(streams):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.socket.close()


def _iterate_open_streams(
    streams: tuple[trio.SocketStream, ...],
) -> Iterator[trio.SocketStream]:
    return (stream for stream in streams if stream.socket.fileno() >= 0)
