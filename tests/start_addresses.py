"""Addresses of a daemon on a loopback host of its own."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import socket
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["ENDPOINTS", "StartAddresses", "create_addresses"]

ENDPOINTS = ("callers", "readiness", "peers", "relay")
# Below the ports of outgoing connections.
_FIRST_PORT = 7600


@dataclasses.dataclass(frozen=True)
class StartAddresses:
    """Where a daemon listens.

    Attributes:
        host: Loopback host that no other process uses.
    """

    host: str

    def find(self, endpoint: str) -> tuple[str, int]:
        """Return host and port of one of `ENDPOINTS`."""
        return self.host, _FIRST_PORT + ENDPOINTS.index(endpoint)

    def format(self, endpoint: str) -> str:
        """Return the address of one of `ENDPOINTS` as text."""
        host, port = self.find(endpoint)
        return f"{host}:{port}"

    def build_listen(self) -> dict[str, Any]:
        """Return the settings of these addresses."""
        return {
            "callers": self.format("callers"),
            "readiness": self.format("readiness"),
            "ip": self.host,
            "peer_port": self.find("peers")[1],
            "relay_port": self.find("relay")[1],
        }

    @contextlib.contextmanager
    def take(self, *endpoints: str) -> Iterator[None]:
        """Listen on addresses, so that the daemon cannot."""
        with contextlib.ExitStack() as stack:
            for endpoint in endpoints:
                holder = stack.enter_context(socket.socket())
                holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                holder.bind(self.find(endpoint))
                holder.listen()
            yield


def create_addresses(rng: random.Random | None = None) -> StartAddresses:
    """Return addresses on a drawn host in 127.0.0.0/8."""
    rng = rng or random.SystemRandom()
    octets = [rng.randint(1, 254) for _ in range(3)]
    return StartAddresses("127." + ".".join(map(str, octets)))
