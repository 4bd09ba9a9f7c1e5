"""ASGI types and helpers for reading requests and sending responses."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import trio

__all__ = [
    "BodyTooLargeError",
    "CallerGoneError",
    "Receive",
    "Scope",
    "Send",
    "answer_lifespan",
    "find_header",
    "read_body",
    "send_answer",
]

# From the ASGI specification, version 3.
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class CallerGoneError(Exception):
    """The caller closed the connection before its body was complete."""


@dataclasses.dataclass
class BodyTooLargeError(Exception):
    """The request body exceeds the limit.

    Attributes:
        limit: Maximum bytes allowed.
    """

    limit: int


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Answer ASGI lifespan events.

    Without the answer hypercorn may accept a request before it has started.
    """
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        if message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


async def read_body(
    receive: Receive,
    *,
    limit: int,
    timeout_s: float,
    note_size: Callable[[int], None] | None = None,
) -> bytes:
    """Read a whole request body.

    Args:
        receive: The ASGI receive callable.
        limit: Maximum bytes allowed.
        timeout_s: Seconds until the body must be complete.
        note_size: Called with the number of bytes read so far.

    Raises:
        BodyTooLargeError: The body has more than `limit` bytes.
        trio.TooSlowError: The body was not complete after `timeout_s`.
        CallerGoneError: The caller closed the connection.
    """
    pieces: list[bytes] = []
    size = 0
    with trio.fail_after(timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError
            piece = message.get("body", b"")
            size += len(piece)
            if size > limit:
                raise BodyTooLargeError(limit)
            pieces.append(piece)
            if note_size is not None:
                note_size(size)
            if not message.get("more_body", False):
                return b"".join(pieces)


async def send_answer(
    send: Send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a complete response."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*(headers or []), length],
        }
    )
    await send({"type": "http.response.body", "body": body})


def find_header(scope: Scope, name: bytes) -> str | None:
    """Return the first header with a name in lower case, or None."""
    for key, value in scope["headers"]:
        if key == name:
            return value.decode("latin-1")
    return None
