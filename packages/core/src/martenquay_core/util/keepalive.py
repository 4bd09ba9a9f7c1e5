"""TCP keep-alive options that close connections to unreachable peers."""

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
    """When TCP keep-alive closes a silent connection.

    The kernel counts in whole seconds and checks only when it sends a probe,
    so a silent connection closes after `idle_s + probes` seconds.

    Attributes:
        idle_s: Seconds without data until the first probe.
        probes: Number of probes, one a second; a single one could be lost.
    """

    idle_s: int
    probes: int

    @property
    def unacknowledged_s(self) -> float:
        """Seconds that sent data may stay unacknowledged.

        TCP_USER_TIMEOUT also overrides the probe count, so it must lie in
        the second after the last probe.
        """
        return self.idle_s + self.probes - 0.5


def list_options(limits: KeepAlive) -> list[tuple[int, int, int]]:
    """Return the socket options as (level, option, value)."""
    wait_ms = int(limits.unacknowledged_s * _MS_PER_S)
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, limits.probes),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, wait_ms),
    ]


def enable_keepalive(sock: trio.socket.SocketType, limits: KeepAlive) -> None:
    """Set the keep-alive options on a socket."""
    for level, option, value in list_options(limits):
        sock.setsockopt(level, option, value)
