"""Restart background tasks that fail."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["keep_running"]

_LOG = logs.create_log("gateway")
# Bounds the load and the log lines of a task that fails at each start.
_RESTART_DELAY_S = 1.0


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task and restart it after each exception.

    An unhandled exception of a background task would end the process and all
    requests in progress.

    Args:
        name: Name of the task in log lines.
        run: The task; state that a restart needs must outlive the call.
    """
    while True:
        try:
            await run()
        except Exception as error:  # noqa: BLE001
            trace_lines = traceback.format_exception(error)
            _LOG.write(
                f"Task {name} failed and will be restarted: {error!r}.",
                task=name,
                trace="".join(trace_lines),
            )
        else:
            return
        await trio.sleep(_RESTART_DELAY_S)
