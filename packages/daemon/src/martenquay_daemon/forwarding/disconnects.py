"""Detect and log that a caller has closed its connection.

Reading returns the end of the stream only after all bytes sent before it; the
kernel reports the close as soon as it arrives.
"""

from __future__ import annotations

import enum
import select
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from trio.socket import SocketType

__all__ = [
    "Stage",
    "has_disconnected",
    "log_disconnect",
    "wait_until_disconnected",
]

_LOG = logs.create_log("callers")
# Runners have to stop working on a request soon after its caller has left.
_POLL_INTERVAL_S = 0.1


class Stage(enum.Enum):
    """Progress of a request; the values are logged."""

    READING = "reading"
    QUEUED = "queued"
    CONNECTING = "connecting"
    SENDING = "sending"
    WAITING = "waiting"
    STREAMING = "streaming"
    # The runner's answer is complete; the caller has not received all of it.
    DELIVERING = "delivering"


def has_disconnected(sock: SocketType) -> bool:
    """Return whether the peer has closed or reset the connection."""
    kernel = select.poll()
    kernel.register(sock, select.POLLRDHUP)
    return bool(kernel.poll(0))


async def wait_until_disconnected(sock: SocketType) -> None:
    """Wait until the peer has closed or reset the connection."""
    # trio can wait for readability only, which unread bytes cause as well. An
    # epoll for each connection would take a descriptor more of each.
    while not has_disconnected(sock):
        await trio.sleep(_POLL_INTERVAL_S)


def log_disconnect(
    call_id: str, stage: Stage, received_at: float, **fields: object
) -> None:
    """Log that a caller disconnected before its answer was complete.

    Args:
        call_id: The request's id; empty if its head was not yet read.
        stage: Progress of the request.
        received_at: When its first byte arrived, on trio's clock.
        **fields: Further fields of the log line.
    """
    elapsed_s = trio.current_time() - received_at
    _LOG.write(
        "A caller left.",
        request=call_id,
        stage=stage.value,
        elapsed_ms=round(elapsed_s * 1000, 1),
        **fields,
    )
