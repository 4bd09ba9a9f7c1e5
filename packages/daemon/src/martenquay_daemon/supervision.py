"""Keep a daemon's background tasks running beside its requests."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["keep_running"]

_LOG = logs.create_log("gateway")
# A task that fails again and again costs one start and one line a second.
_RESTART_DELAY_S = 1.0


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task; start it anew after a fault.

    Without it one fault in a duty or follower ends the process, and every
    request in progress with it.

    Args:
        name: Stands in the log.
        run: The task; it keeps its state outside of this call.
    """
    while True:
        try:
            await run()
        except Exception as error:  # noqa: BLE001
            trace = traceback.format_exception(error)
            _LOG.write(
                f"Task {name} failed and starts anew: {error!r}.",
                task=name,
                trace="".join(trace),
            )
        else:
            return
        await trio.sleep(_RESTART_DELAY_S)
