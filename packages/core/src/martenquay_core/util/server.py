"""Serve ASGI apps with hypercorn under trio."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import hypercorn.config
import hypercorn.trio
import trio

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

__all__ = ["ServerOptions", "serve_app"]


@dataclasses.dataclass(frozen=True)
class ServerOptions:
    """How a server listens and stops.

    Attributes:
        address: Host and port; port 0 lets the system choose.
        listening_socket: Socket that listens already; replaces `address`.
        graceful_s: Seconds for requests in progress after the stop.
        max_header_bytes: Maximum size of a request's headers.
    """

    address: str = ""
    graceful_s: float = 1.0
    max_header_bytes: int = 32_768
    listening_socket: socket.socket | None = None


async def serve_app(
    app: Any,
    options: ServerOptions,
    *,
    stop: Callable[[], Awaitable[None]] | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI app until `stop` returns.

    Args:
        app: The ASGI app; it must answer lifespan events.
        options: How to listen and stop.
        stop: Returns when the server must accept no more connections.
        task_status: Started with the bound address.
    """
    config = hypercorn.config.Config()
    config.bind = [options.address]
    if options.listening_socket is not None:
        config.bind = [f"fd://{options.listening_socket.detach()}"]
    config.graceful_timeout = options.graceful_s
    config.shutdown_timeout = options.graceful_s
    config.h11_max_incomplete_size = options.max_header_bytes
    config.errorlog = None
    config.keep_alive_timeout = 30
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(_serve, app, config, stop)
        task_status.started(binds[0].removeprefix("http://"))


async def _serve(
    app: Any,
    config: hypercorn.config.Config,
    stop: Callable[[], Awaitable[None]] | None,
    *,
    task_status: trio.TaskStatus[list[str]],
) -> None:
    await hypercorn.trio.serve(
        app,
        config,
        shutdown_trigger=stop or trio.sleep_forever,
        task_status=task_status,
    )
