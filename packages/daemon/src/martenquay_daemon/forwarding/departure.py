"""Notice that a caller has closed its connection.

Reading finds a close only behind all that the caller sent before it. The
kernel knows of it as soon as it has arrived, and can be asked.
"""

from __future__ import annotations

import enum
import select
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from trio.socket import SocketType

__all__ = ["Stage", "has_left", "log_departure", "wait_until_left"]

_LOG = logs.create_log("callers")


class Stage(enum.Enum):
    """How far a request has come."""

    READING = "reading"
    QUEUED = "queued"
    CONNECTING = "connecting"
    SENDING = "sending"
    WAITING = "waiting"
    STREAMING = "streaming"


def has_left(sock: SocketType) -> bool:
    """Tell whether the other side has closed or reset the connection."""
    kernel = select.poll()
    kernel.register(sock, select.POLLRDHUP)
    return bool(kernel.poll(0))


async def wait_until_left(sock: SocketType) -> None:
    """Return when the other side has closed or reset the connection."""
    # trio waits for bytes only, which may be there long before the close.
    with select.epoll() as kernel:
        kernel.register(sock, select.EPOLLRDHUP)
        await trio.lowlevel.wait_readable(kernel.fileno())


def log_departure(
    call_id: str, stage: Stage, received_at: float, **fields: object
) -> None:
    """Log that a caller left before its answer was whole.

    Args:
        call_id: The request; empty if it was not read that far.
        stage: How far it had come.
        received_at: When its first byte came, in trio's time.
        **fields: What else is known of it.
    """
    elapsed_s = trio.current_time() - received_at
    _LOG.write(
        "A caller left.",
        request=call_id,
        stage=stage.value,
        elapsed_ms=round(elapsed_s * 1000, 1),
        **fields,
    )
