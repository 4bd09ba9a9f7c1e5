"""Have the kernel end TCP connections whose other side has gone silent."""

from __future__ import annotations

import dataclasses
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio

__all__ = ["KeepAlive", "enable_keepalive", "list_options"]

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class KeepAlive:
    """How long a connection may be silent.

    The kernel counts in whole seconds and looks only when it asks, so a
    silent connection ends after `idle_s + asks`.

    Attributes:
        idle_s: Nothing has come for so long: the kernel asks.
        asks: Times that it asks, once a second; lost packets must not look
            like the end.
    """

    idle_s: int
    asks: int

    @property
    def unacknowledged_s(self) -> float:
        """How long what was sent may go without an acknowledgement.

        The kernel ends its asking by this too, instead of by the count, so
        it lies within the second that follows the last ask.
        """
        return self.idle_s + self.asks - 0.5


def list_options(limits: KeepAlive) -> list[tuple[int, int, int]]:
    """Return the options of a socket."""
    wait_ms = int(limits.unacknowledged_s * _MS_PER_S)
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, limits.asks),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, wait_ms),
    ]


def enable_keepalive(sock: trio.socket.SocketType, limits: KeepAlive) -> None:
    """Set the options on a socket."""
    for level, option, value in list_options(limits):
        sock.setsockopt(level, option, value)
