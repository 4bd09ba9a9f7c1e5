"""Runner that answers each connection with scripted bytes."""

from __future__ import annotations

import dataclasses
import socket
import struct

import trio

from martenquay_standins import loopback

__all__ = ["Script", "ScriptedRunner"]

_RECEIVE_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Sent before a crash, so that the request counts as started.
_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class Script:
    """Script of one connection.

    Attributes:
        pieces: Bytes to send, in one write each.
        is_reset: Reset the connection after them instead of closing it.
        ends_sending: End its sending side after them, before the close.
        is_held: Keep the connection open after them.
        reads_all: Read the whole request head before the first piece.
        resume: Event to wait for before the last piece.
    """

    pieces: tuple[bytes, ...] = ()
    is_reset: bool = False
    ends_sending: bool = False
    is_held: bool = False
    reads_all: bool = True
    resume: trio.Event | None = None


class ScriptedRunner:
    """Fake runner on loopback that plays a script for each connection.

    Args:
        scripts: Scripts by order of connection; the last one repeats.
        lethal: A request with these bytes crashes the runner after the
            response head is sent; empty for none.

    Attributes:
        address: Host and port.
        requests: The bytes received on each connection.
        heard: Set when a whole request head has been received.
        closed: Set when the client or `crash` has closed a connection.
        has_ended: The runner accepts no more connections.
    """

    def __init__(self, scripts: list[Script], lethal: bytes = b"") -> None:
        self.address = ""
        self.requests: list[bytes] = []
        self.heard = trio.Event()
        self.closed = trio.Event()
        self.has_ended = False
        self._hold_scopes: set[trio.CancelScope] = set()
        self._scripts = scripts
        self._lethal = lethal
        self._open_streams: set[trio.SocketStream] = set()
        self._listen_scope = trio.CancelScope()

    def stop_listening(self) -> None:
        """Accept no more connections; open ones stay."""
        self.has_ended = True
        self._listen_scope.cancel()

    def replace_scripts(self, scripts: list[Script]) -> None:
        """Play other scripts for the connections from now on."""
        self._scripts = scripts

    def crash(self) -> None:
        """Stop listening and reset all connections, as a killed process."""
        self.stop_listening()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections, as a lost path does."""
        for stream in self._open_streams:
            _reset(stream)

    def close_held_connections(self) -> None:
        """Close the connections that scripts hold open."""
        for hold in self._hold_scopes:
            hold.cancel()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=loopback.HOST)
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        async with trio.open_nursery() as nursery:
            with self._listen_scope:
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._open_streams.add(stream)
        try:
            await self._answer(stream)
        except trio.ClosedResourceError:
            # crash() has closed the stream.
            self.closed.set()
        finally:
            self._open_streams.discard(stream)

    async def _answer(self, stream: trio.SocketStream) -> None:
        number = len(self.requests)
        self.requests.append(b"")
        script = self._scripts[min(number, len(self._scripts) - 1)]
        try:
            while script.reads_all and b"\r\n\r\n" not in self.requests[number]:
                data = await stream.receive_some(_RECEIVE_BYTES)
                if not data:
                    return
                self.requests[number] += data
            if script.reads_all:
                self.heard.set()
            if self._lethal and self._lethal in self.requests[number]:
                await stream.send_all(_RESPONSE_HEAD)
                self.crash()
                return
            *first, last = script.pieces or (b"",)
            for piece in first:
                await stream.send_all(piece)
            if script.resume is not None:
                await script.resume.wait()
            await stream.send_all(last)
            if script.is_held:
                await self._hold(stream)
            if script.ends_sending:
                await stream.send_eof()
        except trio.BrokenResourceError:
            # Connect probes reset too and must not count as closed requests.
            if self.requests[number]:
                self.closed.set()
        if script.is_reset:
            _reset(stream)
        await trio.aclose_forcefully(stream)

    async def _hold(self, stream: trio.SocketStream) -> None:
        """Wait for a close by the client or by `close_held_connections`."""
        with trio.CancelScope() as hold:
            self._hold_scopes.add(hold)
            while await stream.receive_some(_RECEIVE_BYTES):
                pass
            self.closed.set()
        self._hold_scopes.discard(hold)


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() < 0:
        return
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    stream.socket.close()
