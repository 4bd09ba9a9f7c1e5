"""Listen on addresses that another socket may hold for a moment."""

from __future__ import annotations

import dataclasses
import errno
import socket
from typing import TYPE_CHECKING, TypeVar

import trio
from expression import Error, Ok, Result

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Endpoint", "open_socket", "try_until"]

Opened = TypeVar("Opened")

_LOG = logs.create_log("listening")
_RETRY_INTERVAL_S = 0.1
# An address in use is freed when its holder ends, one that is not available
# appears once the network interface has it, and the machine's descriptors and
# buffers are freed by other processes.
_TEMPORARY_ERRNOS = frozenset(
    {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENFILE, errno.ENOBUFS}
)


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An address to listen on.

    Attributes:
        setting: Dotted path of the setting that names it.
        address: Host and port.
    """

    setting: str
    address: str

    def describe(self, error: OSError) -> str:
        """Return a text on an error of listening on it."""
        reason = error.strerror or str(error)
        return f"{self.address} (setting {self.setting}): {reason}"


def open_socket(
    address: str,
    backlog: int,
    options: Iterable[tuple[int, int, int]] = (),
) -> socket.socket:
    """Return a TCP socket that listens on an IPv4 address.

    Args:
        address: Host and port; port 0 lets the system choose.
        backlog: Maximum number of connections that wait to be accepted.
        options: Socket options as (level, option, value), which accepted
            sockets inherit.

    Raises:
        OSError: The address cannot be listened on.
    """
    host, _, port = address.rpartition(":")
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Connections of the previous process in TIME_WAIT hold the address
        # otherwise.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for option in options:
            opened.setsockopt(*option)
        opened.bind((host, int(port)))
        # Of several sockets that are bound with SO_REUSEADDR, only one can
        # listen.
        opened.listen(backlog)
    except OSError:
        opened.close()
        raise
    opened.setblocking(False)
    return opened


async def try_until(
    deadline: float, endpoint: Endpoint, listen: Callable[[], Opened]
) -> Result[Opened, str]:
    """Listen on an address; try again while it is taken.

    Args:
        deadline: When to give up, in trio's time.
        endpoint: The address, for log lines and the error.
        listen: Listens and returns the listening object; raises OSError.

    Returns:
        What `listen` returned, or why the address cannot be listened on.
    """
    started_at = trio.current_time()
    attempts = 0
    while True:
        attempts += 1
        try:
            opened = listen()
        except OSError as error:
            text = f"Cannot listen on {endpoint.describe(error)}"
            is_temporary = error.errno in _TEMPORARY_ERRNOS
            if not is_temporary or trio.current_time() >= deadline:
                return Error(text)
        else:
            break
        if attempts == 1:
            _LOG.write(
                f"{text}; trying again.",
                for_s=round(deadline - started_at, 3),
            )
        next_at = trio.current_time() + _RETRY_INTERVAL_S
        await trio.sleep_until(min(next_at, deadline))
    if attempts > 1:
        _LOG.write(
            f"Listening on {endpoint.address} (setting {endpoint.setting}).",
            attempts=attempts,
            took_s=round(trio.current_time() - started_at, 3),
        )
    return Ok(opened)
