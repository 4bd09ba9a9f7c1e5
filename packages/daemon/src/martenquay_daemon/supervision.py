"""Limit a fault to the task or message in which it occurs."""

from __future__ import annotations

import contextlib
import traceback
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

__all__ = ["contain_faults", "keep_running", "run_contained"]

# Its lines are exempt from the log's rate limit.
_LOG = logs.create_log("gateway")
# Callers and other daemons may repeat what causes these lines.
_FAULT_LOG = logs.create_log("faults")
# Bounds the load and the log lines of a task that fails at each start.
_RESTART_DELAY_S = 1.0


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    delay_s: float = _RESTART_DELAY_S,
) -> None:
    """Run a task and restart it after each exception.

    An unhandled exception of a background task would end the process and all
    requests in progress.

    Args:
        name: Name of the task in log lines.
        run: The task; state that a restart needs must outlive the call.
        delay_s: Seconds before each restart.
    """
    while True:
        with _catch_faults() as faults:
            await run()
            return
        for error in faults:
            _LOG.write(
                f"Task {name} failed and will be restarted: {error!r}.",
                task=name,
                trace="".join(traceback.format_exception(error)),
            )
        await trio.sleep(delay_s)


async def run_contained(
    name: str, run: Callable[[], Awaitable[None]], **fields: object
) -> None:
    """Run a task once; an exception ends only this task.

    Args:
        name: Name of the task in the log line.
        run: The task.
        **fields: Further fields of the log line.
    """
    with contain_faults(f"Task {name} failed", task=name, **fields):
        await run()


@contextlib.contextmanager
def contain_faults(text: str, **fields: object) -> Iterator[None]:
    """Log an exception of the block and go on behind it.

    Args:
        text: What failed; the log line adds the exception and its traceback.
        **fields: Further fields of the log line.
    """
    with _catch_faults() as faults:
        yield
    for error in faults:
        _FAULT_LOG.write(
            f"{text}: {error!r}.",
            trace="".join(traceback.format_exception(error)),
            **fields,
        )


@contextlib.contextmanager
def _catch_faults() -> Iterator[list[Exception]]:
    """Catch the exception of a block, but no cancellation.

    Yields:
        A list that has the exception behind the block. What was cancelled and
        failed at its end raises a group of both: the cancellation goes on.
    """
    faults: list[Exception] = []
    try:
        yield faults
    except BaseExceptionGroup as group:
        caught, others = group.split(Exception)
        faults += [caught] if caught is not None else []
        if others is None:
            return
        for error in faults:
            _FAULT_LOG.write(
                f"A task failed while it was cancelled: {error!r}.",
                trace="".join(traceback.format_exception(error)),
            )
        raise others from None
    except Exception as error:  # noqa: BLE001
        faults.append(error)
