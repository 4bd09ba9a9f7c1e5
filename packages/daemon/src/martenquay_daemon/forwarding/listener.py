"""TCP listener for callers, with a graceful stop."""

from __future__ import annotations

import errno
import socket
import traceback
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.util import keepalive, listening
from martenquay_daemon.forwarding import (
    caller_connection,
    connection_limit,
    own_answers,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_core.serving import catalog, ports

__all__ = ["CallerListener"]

_LOG = logs.create_log("callers")
_BACKLOG = 1024
# A stop keeps accepting for this long, so that handshakes in transit are not
# reset; assumed to be far longer than a round trip within a region.
_ACCEPT_DRAIN_S = 0.05
# Pause after a failed accept for lack of descriptors, which would fail again
# at once and keep the processor busy.
_ACCEPT_RETRY_DELAY_S = 0.05
# A caller that waits for its answer sends nothing, so TCP keep-alive has to
# find one whose host is gone; it would keep a runner working until the
# deadline. Three probes, since callers may be on distant, lossy networks.
_KEEPALIVE = keepalive.KeepAlive(idle_s=3, probes=3)
_MAX_LISTED = 5
# Of all connections, this part is closed at once for lack of room.
_CLOSED_FRACTION = 16
# Callers choose the ids.
_MAX_ID_LENGTH = 64
_RESOURCE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS})


class CallerListener:
    """Accepts callers' connections and serves each in a task of its own.

    Attributes:
        is_closing: Each connection closes after its next answer.
        is_stopped: Idle connections close as well, and the listener accepts
            only connections that are queued or in transit.
        budget: Bounds what all connections hold.
        max_connections: Limit of connections; for another one some are closed
            that wait for their callers.
        parsing_turn: Held while a large piece of a chunked body is parsed.
    """

    def __init__(
        self,
        address: str,
        find_limits: Callable[[], catalog.CallerLimits],
        codec: ports.CallCodec,
        handler: caller_connection.CallHandler,
        room: connection_limit.ListenerRoom,
    ) -> None:
        """Create a listener.

        Args:
            address: Host and port to listen at.
            find_limits: Returns the limits in force.
            codec: Decodes and encodes headers.
            handler: Answers requests.
            room: What all connections may take together.
        """
        self.budget = room.budget
        self.max_connections = room.max_connections
        self.parsing_turn = trio.Lock()
        self.is_closing = False
        self.is_stopped = False
        self._address = address
        self._find_limits = find_limits
        self._codec = codec
        self._handler = handler
        self._raw_socket: socket.socket | None = None
        self._connections: set[caller_connection.CallerConnection] = set()
        self._accept_scope = trio.CancelScope()
        self._is_draining = False

    def find_limits(self) -> catalog.CallerLimits:
        """Return the limits in force."""
        return self._find_limits()

    def count_busy(self) -> int:
        """Return how many connections have, or may have, a request.

        During a stop, accepting the queued connections counts as one more.
        """
        if self.is_stopped:
            # An idle connection may hold an unread request until it closes.
            return len(self._connections) + self._is_draining
        return self.count_requests()

    def count_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    def count_requests(self) -> int:
        """Return how many connections have a request in progress."""
        return sum(not connection.is_idle for connection in self._connections)

    def list_requests(self) -> list[str]:
        """Return the oldest requests in progress, each with its age."""
        busy = [one for one in self._connections if not one.is_idle]
        busy.sort(key=lambda one: one.received_at)
        now = trio.current_time()
        return [
            f"{one.call_id[:_MAX_ID_LENGTH] or 'unread'} "
            f"{now - one.received_at:.1f} s"
            for one in busy[:_MAX_LISTED]
        ]

    def begin_closing(self) -> None:
        """Have each connection close after its next answer."""
        self.is_closing = True

    def stop_accepting(self) -> None:
        """Accept the queued connections and no more; close idle ones."""
        self.is_closing = True
        self.is_stopped = True
        self._is_draining = True
        self._accept_scope.cancel()
        for connection in list(self._connections):
            connection.close_if_idle()

    def refuse_unfinished(self) -> None:
        """Refuse the requests that have not arrived, for a stop."""
        answer = own_answers.describe_unfinished()
        for connection in self._connections:
            connection.refuse_unfinished(answer)

    def listen(self) -> None:
        """Listen; connections wait until `run` accepts them.

        Raises:
            OSError: The address cannot be listened on.
        """
        self._raw_socket = listening.open_socket(
            self._address, _BACKLOG, keepalive.list_options(_KEEPALIVE)
        )

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections; return when all are closed after a stop.

        Args:
            task_status: Receives the address once the socket listens.
        """
        if self._raw_socket is None:
            self.listen()
        raw_socket, self._raw_socket = self._raw_socket, None
        listening_socket = trio.socket.from_stdlib_socket(raw_socket)
        bound_host, bound_port = listening_socket.getsockname()
        task_status.started(f"{bound_host}:{bound_port}")
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                while True:
                    await self._accept_one(listening_socket, nursery)
            # Closing the socket resets the connections in its accept queue,
            # which may already hold requests.
            with trio.move_on_after(_ACCEPT_DRAIN_S):
                while True:
                    await self._accept_one(listening_socket, nursery)
            self._accept_queued(raw_socket, nursery)
            listening_socket.close()
            self._is_draining = False

    async def _accept_one(
        self, listening_socket: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        try:
            sock, _ = await listening_socket.accept()
        except OSError as error:
            if error.errno in _RESOURCE_ERRNOS:
                _LOG.write(
                    "Cannot accept a connection: out of descriptors or buffers."
                )
                await trio.sleep(_ACCEPT_RETRY_DELAY_S)
            elif not isinstance(error, ConnectionError):
                _LOG.write(f"Cannot accept a connection: {error!r}.")
                await trio.sleep(_ACCEPT_RETRY_DELAY_S)
            return
        self._start_connection(sock, nursery)

    def _accept_queued(
        self, raw_socket: socket.socket, nursery: trio.Nursery
    ) -> None:
        """Accept what the kernel has queued, without waiting for more."""
        for _ in range(_BACKLOG):
            try:
                sock, _ = raw_socket.accept()
            except ConnectionError:
                continue
            except OSError as error:
                if error.errno in _RESOURCE_ERRNOS:
                    _LOG.write(
                        "Cannot accept queued connections at the stop: "
                        "out of descriptors or buffers."
                    )
                return
            self._start_connection(
                trio.socket.from_stdlib_socket(sock), nursery
            )

    def _start_connection(
        self, sock: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        if not self._has_room():
            sock.close()
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = caller_connection.CallerConnection(
                trio.SocketStream(sock), self._codec, self._handler, self
            )
        except Exception as error:  # noqa: BLE001
            # Otherwise the listener would end, and all other connections.
            _LOG.write(
                f"Cannot serve an accepted connection: {error!r}.",
                trace="".join(traceback.format_exception(error)),
            )
            sock.close()
            return
        # Added before its task runs, or a stop in between would miss it.
        self._connections.add(connection)
        nursery.start_soon(self._serve_connection, connection)

    def _has_room(self) -> bool:
        """Return whether another connection is served; close others for it."""
        if len(self._connections) < self.max_connections:
            return True
        # Several at once, as choosing takes longer than accepting.
        chosen = connection_limit.choose_connections(
            self._connections, 1 + self.max_connections // _CLOSED_FRACTION
        )
        for connection in chosen:
            connection.close_early()
            # It closes within a moment.
            self._connections.discard(connection)
        _LOG.write(
            f"Callers have {self.max_connections} connections: closing "
            f"{len(chosen)} of them.",
            is_refused=not chosen,
        )
        return bool(chosen)

    async def _serve_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        try:
            await connection.serve()
        except Exception as error:  # noqa: BLE001
            # Otherwise the nursery would end all other connections too.
            _LOG.write(
                f"Unexpected error on a caller's connection: {error!r}.",
                trace="".join(traceback.format_exception(error)),
            )
        finally:
            self._connections.discard(connection)
