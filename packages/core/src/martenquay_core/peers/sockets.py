"""ZeroMQ sockets for trio.

pyzmq has no trio support. A socket's descriptor is edge-triggered: it signals
only that the state may have changed, so ZMQ_EVENTS is read after each send and
before each wait.
"""

from __future__ import annotations

import contextlib
import os

import trio
import zmq

__all__ = ["MAX_FRAME_BYTES", "PeerSocket", "bind_router", "connect_dealer"]

# A message holds records of the log, each of 262,144 bytes at most
# (`RecordBytes`), or a state of some kilobytes. A connection that brings a
# larger frame is closed; without a bound its announced length is allocated.
MAX_FRAME_BYTES = 16_777_216
_LINGER_MS = 0
_QUEUE_MESSAGES = 10_000
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 1000
# Detects a peer that lost power or its network. Longer than two TCP
# retransmissions (0.6 s), shorter than the 1.2 s without a message after which
# a daemon counts as silent.
_UNACKNOWLEDGED_TIMEOUT_MS = 800
_CONNECT_TIMEOUT_MS = 1000
# ZeroMQ heartbeats detect a link that something on the path acknowledges but
# does not deliver. The timeout covers two lost packets (retransmitted after
# 0.2 s and 0.4 s).
_HEARTBEAT_INTERVAL_MS = 1500
_HEARTBEAT_TIMEOUT_MS = 750
# Frees the listening side's descriptors of links that ended without a FIN.
_LISTENER_HEARTBEAT_INTERVAL_MS = 5000
# ZeroMQ's default of 30 s would keep the link down that long if the peer went
# silent during the handshake.
_HANDSHAKE_TIMEOUT_MS = 1000


class PeerSocket:
    """Sends and receives multipart messages under trio.

    Attributes:
        address: Host and port that a bound socket listens on; empty for
            others.
    """

    def __init__(
        self, raw_socket: zmq.Socket[bytes], address: str = ""
    ) -> None:
        self.address = address
        self._raw_socket = raw_socket
        # libzmq owns and polls the original; trio must register another.
        self._event_fd = os.dup(raw_socket.getsockopt(zmq.FD))
        self._receive_scope: trio.CancelScope | None = None

    def send(self, frames: list[bytes]) -> bool:
        """Queue a message; False if the queue is full or the peer gone."""
        try:
            self._raw_socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            self._wake_receiver()
        return True

    async def receive(self) -> list[bytes]:
        """Wait for the next message and return its frames."""
        await trio.lowlevel.checkpoint()
        while True:
            if not self._has_message():
                with trio.CancelScope() as self._receive_scope:
                    await trio.lowlevel.wait_readable(self._event_fd)
                continue
            # A connection that ends takes its unread messages along, so there
            # may be none although there was one just now.
            with contextlib.suppress(zmq.Again):
                return self._raw_socket.recv_multipart(zmq.NOBLOCK)

    def close(self) -> None:
        """Close the socket and drop queued messages."""
        trio.lowlevel.notify_closing(self._event_fd)
        os.close(self._event_fd)
        self._raw_socket.close(_LINGER_MS)

    def _has_message(self) -> bool:
        return bool(self._raw_socket.getsockopt(zmq.EVENTS) & zmq.POLLIN)

    def _wake_receiver(self) -> None:
        # A send may clear the descriptor's edge for an incoming message; the
        # receiver would then wait for the next one.
        if self._receive_scope is not None and self._has_message():
            self._receive_scope.cancel()


def bind_router(
    context: zmq.Context[zmq.Socket[bytes]], address: str
) -> PeerSocket:
    """Return a bound ROUTER socket that receives from any number of peers.

    Raises:
        OSError: The address cannot be listened on.
    """
    raw_socket = context.socket(zmq.ROUTER)
    raw_socket.setsockopt(zmq.RCVHWM, _QUEUE_MESSAGES)
    raw_socket.setsockopt(zmq.SNDHWM, _QUEUE_MESSAGES)
    _set_limits(raw_socket, _LISTENER_HEARTBEAT_INTERVAL_MS)
    host, port = address.rsplit(":", 1)
    try:
        raw_socket.bind(f"tcp://{host}:{'*' if port == '0' else port}")
        endpoint = raw_socket.getsockopt(zmq.LAST_ENDPOINT).decode()
        bound = endpoint.rstrip("\x00").removeprefix("tcp://")
        return _create_socket(raw_socket, bound)
    except zmq.ZMQError as error:
        raw_socket.close(_LINGER_MS)
        # pyzmq's own text repeats the address.
        raise OSError(error.errno, zmq.strerror(error.errno)) from error


def connect_dealer(
    context: zmq.Context[zmq.Socket[bytes]],
    address: str,
    *,
    queue_length: int = _QUEUE_MESSAGES,
    waits_for_peer: bool = True,
) -> PeerSocket:
    """Return a DEALER socket that connects to one peer and reconnects.

    Args:
        context: The process's ZeroMQ context.
        address: Host and port of the peer.
        queue_length: Maximum queued messages; further ones are refused.
        waits_for_peer: Also queue messages while there is no connection.
            Otherwise they are refused, so that none is delivered late.

    Raises:
        zmq.ZMQError: The address is invalid, or no socket is available.
    """
    raw_socket = context.socket(zmq.DEALER)
    raw_socket.setsockopt(zmq.SNDHWM, queue_length)
    raw_socket.setsockopt(zmq.IMMEDIATE, 0 if waits_for_peer else 1)
    _set_limits(raw_socket, _HEARTBEAT_INTERVAL_MS)
    raw_socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
    raw_socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MIN_MS)
    raw_socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
    try:
        raw_socket.connect(f"tcp://{address}")
    except zmq.ZMQError:
        raw_socket.close(_LINGER_MS)
        raise
    return _create_socket(raw_socket)


def _create_socket(
    raw_socket: zmq.Socket[bytes], address: str = ""
) -> PeerSocket:
    try:
        return PeerSocket(raw_socket, address)
    except OSError as error:
        # Without a free descriptor; callers handle ZeroMQ's errors.
        raw_socket.close(_LINGER_MS)
        raise zmq.ZMQError(error.errno, error.strerror) from error


def _set_limits(
    raw_socket: zmq.Socket[bytes], heartbeat_interval_ms: int
) -> None:
    """Close connections whose peer is silent, stuck or sends too much."""
    raw_socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    raw_socket.setsockopt(zmq.TCP_MAXRT, _UNACKNOWLEDGED_TIMEOUT_MS)
    raw_socket.setsockopt(zmq.HEARTBEAT_IVL, heartbeat_interval_ms)
    raw_socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
    raw_socket.setsockopt(zmq.HANDSHAKE_IVL, _HANDSHAKE_TIMEOUT_MS)
