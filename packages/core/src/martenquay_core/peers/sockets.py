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

_NO_LINGER = 0
_QUEUE_LENGTH = 10_000
_RECONNECT_MS = 100
_RECONNECT_MAX_MS = 1000
# A peer without power, or behind a cut, says nothing: give up a connection
# whose bytes are not acknowledged, and one that does not come up. The first
# is past the second time that they are sent again (0.6 s), and short since a
# daemon unheard for 1.2 s counts as silent.
_UNACKNOWLEDGED_MS = 800
_CONNECT_MS = 1000
# A link may also be acknowledged on the way and yet deliver nothing. Asking
# this often and waiting this long for a word finds it within 2.25 s;
# the wait covers two lost packets (0.2 s and 0.4 s till they are sent again).
_ASK_MS = 1500
_WORD_MS = 750
# The listening side holds a descriptor for each link that it was not told the
# end of. They are few between two losses, so it need not ask often.
_HELD_ASK_MS = 5000
# A handshake takes two ways there and back; one that falls silent would keep
# the link down for ZeroMQ's 30 s.
_HANDSHAKE_MS = 1000


class PeerSocket:
    """Send and receive multipart messages in one trio run.

    Attributes:
        address: Where a bound socket listens; empty for others.
    """

    def __init__(self, inner: zmq.Socket[bytes], address: str = "") -> None:
        self.address = address
        self._inner = inner
        # A duplicate, so that trio's registration never meets libzmq's own.
        self._waiter = os.dup(inner.getsockopt(zmq.FD))
        self._wait: trio.CancelScope | None = None

    def send(self, frames: list[bytes]) -> bool:
        """Queue a message; False if the peer's queue is full or it is gone."""
        try:
            self._inner.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            self._wake_receiver()
        return True

    async def receive(self) -> list[bytes]:
        """Return the next message."""
        while not self._has_message():
            with trio.CancelScope() as self._wait:
                await trio.lowlevel.wait_readable(self._waiter)
        await trio.lowlevel.checkpoint()
        return self._inner.recv_multipart(zmq.NOBLOCK)

    def close(self) -> None:
        """Close without waiting for queued messages."""
        trio.lowlevel.notify_closing(self._waiter)
        os.close(self._waiter)
        self._inner.close(_NO_LINGER)

    def _has_message(self) -> bool:
        return bool(self._inner.getsockopt(zmq.EVENTS) & zmq.POLLIN)

    def _wake_receiver(self) -> None:
        # A send may swallow the edge that announced an incoming message.
        if self._wait is not None and self._has_message():
            self._wait.cancel()


def bind_router(
    context: zmq.Context[zmq.Socket[bytes]], address: str
) -> PeerSocket:
    """Return a socket that takes messages from any number of peers."""
    inner = context.socket(zmq.ROUTER)
    inner.setsockopt(zmq.RCVHWM, _QUEUE_LENGTH)
    inner.setsockopt(zmq.SNDHWM, _QUEUE_LENGTH)
    _bound_silence(inner, _HELD_ASK_MS)
    host, port = address.rsplit(":", 1)
    inner.bind(f"tcp://{host}:{'*' if port == '0' else port}")
    endpoint = inner.getsockopt(zmq.LAST_ENDPOINT).decode().rstrip("\x00")
    return PeerSocket(inner, endpoint.removeprefix("tcp://"))


def connect_dealer(
    context: zmq.Context[zmq.Socket[bytes]],
    address: str,
    *,
    queue_length: int = _QUEUE_LENGTH,
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
    inner = context.socket(zmq.DEALER)
    inner.setsockopt(zmq.SNDHWM, queue_length)
    inner.setsockopt(zmq.IMMEDIATE, 0 if waits_for_peer else 1)
    _bound_silence(inner, _ASK_MS)
    inner.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_MS)
    inner.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
    inner.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
    try:
        inner.connect(f"tcp://{address}")
    except zmq.ZMQError:
        inner.close(_NO_LINGER)
        raise
    return PeerSocket(inner)


def _bound_silence(inner: zmq.Socket[bytes], ask_ms: int) -> None:
    """Have connections given up that are not heard or not acknowledged."""
    inner.setsockopt(zmq.TCP_MAXRT, _UNACKNOWLEDGED_MS)
    inner.setsockopt(zmq.HEARTBEAT_IVL, ask_ms)
    inner.setsockopt(zmq.HEARTBEAT_TIMEOUT, _WORD_MS)
    inner.setsockopt(zmq.HANDSHAKE_IVL, _HANDSHAKE_MS)
