"""Relay other daemons' connections to runners that they do not reach."""

from __future__ import annotations

import contextlib
import functools
import http
import socket
import struct
import traceback
from typing import TYPE_CHECKING

import h11
import trio

from martenquay_core import logs
from martenquay_core.util import keepalive, listening
from martenquay_daemon import supervision
from martenquay_daemon.forwarding import runner_connection as connections

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.relay import paths

__all__ = ["RelayServer"]

_LOG = logs.create_log("relay")
_RECEIVE_BYTES = 65_536
_BACKLOG = 128
# Between attempts to listen on an address that is taken.
_LISTEN_RETRY_S = 1.0
_HEAD_TIMEOUT_S = 1.0
# Connections may be without a tunnel yet at the same time, one for so many
# tunnels, and at least so many.
_TUNNELS_PER_PENDING = 4
_MIN_PENDING = 4
_CONNECT_TIMEOUT_S = 0.1
_RESTART_DELAY_S = 0.1
# SO_LINGER with a timeout of 0 s: closing resets, also when the process ends,
# so that the other side does not take it for the end of an answer.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Must find a lost peer no later than the connections that are relayed.
_KEEPALIVE = keepalive.KeepAlive(idle_s=1, probes=2)


class RelayServer:
    """Connects tunnels from other daemons to runners, over one hop.

    Attributes:
        is_closing: Refuse new tunnels; open ones go on.
        address: Address that it listens on; empty until then.
        listening: Set once it listens.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        runner_paths: paths.RunnerPaths,
        is_runner: Callable[[str], bool],
        count_outcome: Callable[[str], None],
        max_tunnels: int,
    ) -> None:
        """Create the server.

        Args:
            ip: Address to listen at.
            port: Port to listen at; 0 for any.
            runner_paths: Paths that this daemon has itself lost.
            is_runner: Returns whether an address is that of a known runner.
            count_outcome: Called with the outcome of each request.
            max_tunnels: Limit of open tunnels, each of two connections.
        """
        self.is_closing = False
        self.address = ""
        self.listening = trio.Event()
        self._ip = ip
        self._port = port
        self._paths = runner_paths
        self._is_runner = is_runner
        self._count_outcome = count_outcome
        self._max_tunnels = max_tunnels
        self._tunnels = 0
        self._opening = 0
        # Connections that have asked for no tunnel yet, the oldest first.
        self._pending: dict[trio.SocketStream, trio.CancelScope] = {}
        self._raw_socket: socket.socket | None = None
        self._is_refused = False

    def count_tunnels(self) -> int:
        """Return the number of open tunnels."""
        return self._tunnels

    def listen(self) -> bool:
        """Listen for tunnels, which `run` serves; False if that fails."""
        endpoint = listening.Endpoint(
            "listen.relay_port", f"{self._ip}:{self._port}"
        )
        try:
            opened = listening.open_socket(endpoint.address, _BACKLOG)
        except OSError as error:
            if not self._is_refused:
                self._is_refused = True
                _LOG.write(
                    "Cannot listen for tunnels yet; trying again: "
                    f"{endpoint.describe(error)}."
                )
            return False
        host, port = opened.getsockname()
        self.address = f"{host}:{port}"
        if self._is_refused:
            self._is_refused = False
            _LOG.write(f"Listening for tunnels at {self.address}.")
        self._raw_socket = opened
        self.listening.set()
        return True

    async def run(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the daemon serves without a relay until then.

        Args:
            task_status: Receives the address, or an empty text if it does not
                listen yet.
        """
        is_listening = self._raw_socket is not None or self.listen()
        task_status.started(self.address)
        while not is_listening:
            await trio.sleep(_LISTEN_RETRY_S)
            is_listening = self.listen()
        raw_socket, self._raw_socket = self._raw_socket, None
        with raw_socket:
            async with trio.open_nursery() as tunnels:
                await supervision.keep_running(
                    "relay",
                    functools.partial(self._accept, raw_socket, tunnels),
                    _RESTART_DELAY_S,
                )

    async def _accept(
        self, raw_socket: socket.socket, tunnels: trio.Nursery
    ) -> None:
        """Accept tunnels; a fault ends none that is open."""
        listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(raw_socket.dup())
        )
        async with listener:
            await trio.serve_listeners(
                self._serve, [listener], handler_nursery=tunnels
            )

    async def _serve(self, stream: trio.SocketStream) -> None:
        sock = stream.socket
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            keepalive.enable_keepalive(sock, _KEEPALIVE)
            await self._serve_tunnel(stream)
        except (trio.BrokenResourceError, h11.RemoteProtocolError) as error:
            _LOG.write(f"A tunnel broke: {error}.")
        except Exception as error:  # noqa: BLE001
            # Otherwise the nursery would end all other tunnels too.
            _LOG.write(
                f"Unexpected error on a tunnel: {error!r}.",
                trace="".join(traceback.format_exception(error)),
            )
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_tunnel(self, stream: trio.SocketStream) -> None:
        protocol = h11.Connection(h11.SERVER)
        target = None
        self._make_room()
        with trio.move_on_after(_HEAD_TIMEOUT_S) as scope:
            self._pending[stream] = scope
            try:
                target = await _read_target(protocol, stream)
            finally:
                self._pending.pop(stream, None)
        if target is None:
            return
        opened = await self._open_runner(target)
        match opened:
            case connections.OpenedStream(stream=runner):
                self._count_outcome("served")
                self._tunnels += 1
                try:
                    await _respond(protocol, stream, http.HTTPStatus.OK)
                    await _join(stream, runner)
                finally:
                    self._tunnels -= 1
                    await trio.aclose_forcefully(runner)
            case http.HTTPStatus():
                self._count_outcome("refused")
                await _respond(protocol, stream, opened)
                # A reset could overtake the response.
                await stream.send_eof()
                with trio.move_on_after(_HEAD_TIMEOUT_S):
                    await stream.receive_some(_RECEIVE_BYTES)

    def _make_room(self) -> None:
        """Close the connection that has asked for nothing for longest."""
        if len(self._pending) >= max(
            _MIN_PENDING, self._max_tunnels // _TUNNELS_PER_PENDING
        ):
            oldest = next(iter(self._pending))
            self._pending.pop(oldest).cancel()

    async def _open_runner(
        self, target: str
    ) -> connections.OpenedStream | http.HTTPStatus:
        """Return a direct stream to the runner, or why there is none."""
        if not self._is_runner(target):
            return http.HTTPStatus.FORBIDDEN
        if (
            self.is_closing
            or self._tunnels + self._opening >= self._max_tunnels
            or self._paths.is_lost(target)
        ):
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        self._opening += 1
        try:
            # Direct only: a tunnel has one hop.
            return await connections.open_stream(
                target, _CONNECT_TIMEOUT_S, _KEEPALIVE.unacknowledged_s + 1
            )
        except connections.NotConnectedError as error:
            if error.is_refused:
                return http.HTTPStatus.BAD_GATEWAY
            return http.HTTPStatus.GATEWAY_TIMEOUT
        finally:
            self._opening -= 1


async def _read_target(
    protocol: h11.Connection, stream: trio.SocketStream
) -> str | None:
    """Return the address in a CONNECT request; None without such a request."""
    address = None
    while True:
        event = protocol.next_event()
        match event:
            case h11.Request(method=b"CONNECT", target=target):
                address = target.decode("ascii")
            case h11.EndOfMessage():
                return address
            case h11.NEED_DATA:
                protocol.receive_data(await stream.receive_some(_RECEIVE_BYTES))
            case _:
                return None


async def _respond(
    protocol: h11.Connection,
    stream: trio.SocketStream,
    status: http.HTTPStatus,
) -> None:
    headers = []
    if status is not http.HTTPStatus.OK:
        headers = [("content-length", "0"), ("connection", "close")]
    response = h11.Response(status_code=status, headers=headers)
    await stream.send_all(protocol.send(response) or b"")


async def _join(client: trio.SocketStream, runner: trio.SocketStream) -> None:
    """Copy both ways until the client closes or either side resets.

    The client is the daemon that opened the tunnel.
    """
    async with trio.open_nursery() as nursery:

        async def copy_requests() -> None:
            with contextlib.suppress(trio.BrokenResourceError):
                await _copy(client, runner)
            # The client closes when it has the answer or gives up.
            nursery.cancel_scope.cancel()

        async def copy_answers() -> None:
            try:
                await _copy(runner, client)
            except trio.BrokenResourceError:
                nursery.cancel_scope.cancel()
                return
            # The end of an answer without a length; a reset must not look so.
            with contextlib.suppress(trio.BrokenResourceError):
                await client.send_eof()

        nursery.start_soon(copy_requests)
        nursery.start_soon(copy_answers)


async def _copy(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    while data := await source.receive_some(_RECEIVE_BYTES):
        await sink.send_all(data)
