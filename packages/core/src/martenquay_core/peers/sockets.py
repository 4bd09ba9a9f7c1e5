"""Use ZeroMQ sockets under trio.

pyzmq has no trio support. A socket's descriptor is edge-triggered: it tells
only that something may have changed, so the events are read again after each
send and each receive, and before each wait.
"""

from __future__ import annotations

import os

import trio
import zmq

__all__ = ["PeerSocket", "bind_router", "connect_dealer"]

_LINGER_MS = 0
_QUEUE_MESSAGES = 10_000
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 1000
# A peer without power, or behind a cut, says nothing: give up a connection
# whose bytes are not acknowledged, and one that does not come up. The first
# is past the second time that they are sent again (0.6 s), and short since a
# daemon unheard for 1.2 s counts as silent.
_UNACKNOWLEDGED_TIMEOUT_MS = 800
_CONNECT_TIMEOUT_MS = 1000
# A link may also be acknowledged on the way and yet deliver nothing. Asking
# this often and waiting this long for a word finds it within 2.25 s;
# the wait covers two lost packets (0.2 s and 0.4 s till they are sent again).
_HEARTBEAT_INTERVAL_MS = 1500
_HEARTBEAT_TIMEOUT_MS = 750
# The listening side holds a descriptor for each link that it was not told the
# end of. They are few between two losses, so it need not ask often.
_LISTENER_HEARTBEAT_INTERVAL_MS = 5000
# A handshake takes two ways there and back; one that falls silent would keep
# the link down for ZeroMQ's 30 s.
_HANDSHAKE_TIMEOUT_MS = 1000


class PeerSocket:
    """Send and receive multipart messages in one trio run.

    Attributes:
        address: Where a bound socket listens; empty for others.
    """

    def __init__(
        self, raw_socket: zmq.Socket[bytes], address: str = ""
    ) -> None:
        self.address = address
        self._raw_socket = raw_socket
        # A duplicate, so that trio's registration never meets libzmq's own.
        self._event_fd = os.dup(raw_socket.getsockopt(zmq.FD))
        self._receive_scope: trio.CancelScope | None = None

    def send(self, frames: list[bytes]) -> bool:
        """Queue a message; False if the peer's queue is full or it is gone."""
        try:
            self._raw_socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            self._wake_receiver()
        return True

    async def receive(self) -> list[bytes]:
        """Return the next message."""
        while not self._has_message():
            with trio.CancelScope() as self._receive_scope:
                await trio.lowlevel.wait_readable(self._event_fd)
        await trio.lowlevel.checkpoint()
        return self._raw_socket.recv_multipart(zmq.NOBLOCK)

    def close(self) -> None:
        """Close without waiting for queued messages."""
        trio.lowlevel.notify_closing(self._event_fd)
        os.close(self._event_fd)
        self._raw_socket.close(_LINGER_MS)

    def _has_message(self) -> bool:
        return bool(self._raw_socket.getsockopt(zmq.EVENTS) & zmq.POLLIN)

    def _wake_receiver(self) -> None:
        # A send may swallow the edge that announced an incoming message.
        if self._receive_scope is not None and self._has_message():
            self._receive_scope.cancel()


def bind_router(
    context: zmq.Context[zmq.Socket[bytes]], address: str
) -> PeerSocket:
    """Return a socket that takes messages from any number of peers."""
    raw_socket = context.socket(zmq.ROUTER)
    raw_socket.setsockopt(zmq.RCVHWM, _QUEUE_MESSAGES)
    raw_socket.setsockopt(zmq.SNDHWM, _QUEUE_MESSAGES)
    _set_timeouts(raw_socket, _LISTENER_HEARTBEAT_INTERVAL_MS)
    host, port = address.rsplit(":", 1)
    raw_socket.bind(f"tcp://{host}:{'*' if port == '0' else port}")
    endpoint = raw_socket.getsockopt(zmq.LAST_ENDPOINT).decode().rstrip("\x00")
    return PeerSocket(raw_socket, endpoint.removeprefix("tcp://"))


def connect_dealer(
    context: zmq.Context[zmq.Socket[bytes]],
    address: str,
    *,
    queue_length: int = _QUEUE_MESSAGES,
    waits_for_peer: bool = True,
) -> PeerSocket:
    """Return a socket that talks to one peer and reconnects by itself.

    Args:
        context: The process's ZeroMQ context.
        address: Host and port of the peer.
        queue_length: Messages that wait for the peer before more are refused.
        waits_for_peer: Messages also wait while there is no connection;
            without, they are refused then, so that none comes late.

    Raises:
        zmq.ZMQError: The address is none, or no socket is free.
    """
    raw_socket = context.socket(zmq.DEALER)
    raw_socket.setsockopt(zmq.SNDHWM, queue_length)
    raw_socket.setsockopt(zmq.IMMEDIATE, 0 if waits_for_peer else 1)
    _set_timeouts(raw_socket, _HEARTBEAT_INTERVAL_MS)
    raw_socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
    raw_socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MIN_MS)
    raw_socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
    try:
        raw_socket.connect(f"tcp://{address}")
    except zmq.ZMQError:
        raw_socket.close(_LINGER_MS)
        raise
    return PeerSocket(raw_socket)


def _set_timeouts(
    raw_socket: zmq.Socket[bytes], heartbeat_interval_ms: int
) -> None:
    """Have connections given up that are not heard or not acknowledged."""
    raw_socket.setsockopt(zmq.TCP_MAXRT, _UNACKNOWLEDGED_TIMEOUT_MS)
    raw_socket.setsockopt(zmq.HEARTBEAT_IVL, heartbeat_interval_ms)
    raw_socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
    raw_socket.setsockopt(zmq.HANDSHAKE_IVL, _HANDSHAKE_TIMEOUT_MS)
