"""Accept callers' connections until a planned stop."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.util import keepalive
from martenquay_daemon.forwarding import caller_connection

if TYPE_CHECKING:
    from martenquay_core.serving import catalog, ports
    from martenquay_daemon.discovery import catalog_store

__all__ = ["CallerListener"]

_LOG = logs.create_log("callers")
_BACKLOG = 1024
# The last packet of a handshake may be on its way when accepting stops, and a
# request right behind it. An assumption: far above a way in one region. With
# the last look at resting connections it delays a stop by up to 0.25 s.
_DRAIN_S = 0.05
# Out of descriptors: wait for some connection to end.
_ACCEPT_PAUSE_S = 0.05
# A caller that waits for its answer says nothing. One that is gone without a
# word must not keep runners at work, nor hold a descriptor until its answer is
# due. It may be far away: found out after 6 s, three asks may be lost.
_SILENCE = keepalive.KeepAlive(idle_s=3, probes=3)
_ACCEPT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS})


class CallerListener:
    """Serve callers.

    Attributes:
        is_closing: Connections end after their next answer.
        is_stopped: Connections end as soon as they rest.
    """

    def __init__(
        self,
        address: str,
        store: catalog_store.CatalogStore,
        codec: ports.CallCodec,
        handler: caller_connection.CallHandler,
    ) -> None:
        self.is_closing = False
        self.is_stopped = False
        self._address = address
        self._store = store
        self._codec = codec
        self._handler = handler
        self._connections: set[caller_connection.CallerConnection] = set()
        self._accepting = trio.CancelScope()
        self._is_draining = False

    def find_limits(self) -> catalog.CallerLimits:
        """Return the limits in force."""
        return self._store.table.catalog.limits

    def count_busy(self) -> int:
        """Return how many connections have a request under way, or may."""
        if self.is_stopped:
            # A request may be unread in any of them; those that rest end by
            # themselves.
            return len(self._connections) + self._is_draining
        return sum(not connection.is_idle for connection in self._connections)

    def begin_closing(self) -> None:
        """Have each connection end after its next answer."""
        self.is_closing = True

    def stop_accepting(self) -> None:
        """Take no more connections soon, and close those that rest."""
        self.is_closing = True
        self.is_stopped = True
        self._is_draining = True
        self._accepting.cancel()
        for connection in list(self._connections):
            connection.close_if_idle()

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections; return when all have ended after a stop."""
        host, _, port = self._address.rpartition(":")
        kernel = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener = trio.socket.from_stdlib_socket(kernel)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections that it accepts inherit them.
        keepalive.enable_keepalive(listener, _SILENCE)
        await listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
        bound_host, bound_port = listener.getsockname()
        task_status.started(f"{bound_host}:{bound_port}")
        async with trio.open_nursery() as nursery:
            with self._accepting:
                while True:
                    await self._accept_one(listener, nursery)
            # Callers of connections that the kernel holds ready may have sent
            # whole requests; closing the listener would reset them.
            with trio.move_on_after(_DRAIN_S):
                while True:
                    await self._accept_one(listener, nursery)
            self._accept_rest(kernel, nursery)
            listener.close()
            self._is_draining = False

    async def _accept_one(
        self, listener: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        try:
            sock, _ = await listener.accept()
        except OSError as error:
            if error.errno in _ACCEPT_ERRORS:
                _LOG.write("No descriptor is free for another connection.")
                await trio.sleep(_ACCEPT_PAUSE_S)
            return
        self._begin(sock, nursery)

    def _accept_rest(
        self, kernel: socket.socket, nursery: trio.Nursery
    ) -> None:
        """Accept what is ready now, with no moment for more to come."""
        for _ in range(_BACKLOG):
            try:
                sock, _ = kernel.accept()
            except ConnectionError:
                continue
            except OSError as error:
                if error.errno in _ACCEPT_ERRORS:
                    _LOG.write("No descriptor is free at the stop.")
                return
            self._begin(trio.socket.from_stdlib_socket(sock), nursery)

    def _begin(
        self, sock: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = caller_connection.CallerConnection(
            trio.SocketStream(sock), self._codec, self._handler, self
        )
        # Before its task runs, or a stop could end between the two.
        self._connections.add(connection)
        nursery.start_soon(self._serve, connection)

    async def _serve(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        try:
            await connection.serve()
        except Exception as error:  # noqa: BLE001
            # One connection's fault must not end the daemon.
            _LOG.write(f"A connection failed: {error!r}.")
        finally:
            self._connections.discard(connection)
