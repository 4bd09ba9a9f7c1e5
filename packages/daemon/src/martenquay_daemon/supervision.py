"""Limit a fault to the task or message in which it occurs."""

from __future__ import annotations

import contextlib
import traceback
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs

if TYPE_CHECKING:
    import types
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


def contain_faults(text: str, **fields: object) -> _FaultContainer:
    """Return a context that logs an exception of its block and goes on.

    Args:
        text: What failed; the log line adds the exception and its traceback.
        **fields: Further fields of the log line.
    """
    return _FaultContainer(text, fields)


class _FaultContainer:
    """Context for each message and step; a generator would cost several times.

    A cancellation goes on, also if the block fails while it is cancelled.
    """

    __slots__ = ("_fields", "_text")

    def __init__(self, text: str, fields: dict[str, object]) -> None:
        self._text = text
        self._fields = fields

    def __enter__(self) -> None:
        """Begin the block."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool:
        """Log an exception; return whether it ends here."""
        if error is None:
            return False
        with _catch_faults() as faults:
            raise error
        for fault in faults:
            _FAULT_LOG.write(
                f"{self._text}: {fault!r}.",
                trace="".join(traceback.format_exception(fault)),
                **self._fields,
            )
        return True


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
