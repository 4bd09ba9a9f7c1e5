"""Find out whether a runner that has fallen silent is still there.

A runner without power says nothing, and neither does one that reads a long
prompt. A connection tells them apart: the machine of a live runner takes it
within milliseconds, however busy the runner is. But a connection may also be
silent for good while its runner lives; then only its silence itself tells.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.forwarding import runner_connection as connections

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.engines import placer

__all__ = ["SilenceLimits", "Verdict", "wait_until_gone"]

_LOG = logs.create_log("forwarding")
# As for requests: a live machine answers in a few ms.
_CONNECT_S = 0.1
# After this many probes without an answer the runner is taken as gone; one
# packet may be lost on the way.
_PROBES = 2


class Verdict(enum.Enum):
    """Why a runner is not waited for any longer."""

    GONE = enum.auto()
    SILENT = enum.auto()


def _move_never() -> bool:
    return False


@dataclasses.dataclass(frozen=True)
class SilenceLimits:
    """How long a runner may be silent before it is asked.

    Attributes:
        first_s: Before the answer's head has come.
        next_s: After that, and after each time that it was there.
        longest_s: However live it is, before a stream has begun.
        longest_pause_s: The same between a stream's events.
        may_retry: Asked when the last two are over: whether another runner
            may take the request now. If not, silence is no reason to end it.
    """

    first_s: float
    next_s: float
    longest_s: float = math.inf
    longest_pause_s: float = math.inf
    may_retry: Callable[[], bool] = _move_never


async def wait_until_gone(
    connection: connections.RunnerConnection,
    placement: placer.Placement,
    patience: SilenceLimits,
) -> Verdict:
    """Return when the runner is gone, or the connection silent too long."""
    asked_at = connection.heard_at
    while True:
        now = trio.current_time()
        end = connection.heard_at + _find_longest(connection, patience)
        if now >= end and patience.may_retry():
            _note(placement, connection, "is silent for too long")
            return Verdict.SILENT
        quiet_s = (
            patience.next_s if connection.has_answered else patience.first_s
        )
        due = max(asked_at, connection.heard_at) + quiet_s
        if now < end:
            due = min(due, end)
        if now < due:
            await trio.sleep_until(due)
            continue
        heard_at = connection.heard_at
        is_gone = await _is_gone(placement.runner.address)
        # What came while it was asked says more than the probe.
        if is_gone and connection.heard_at == heard_at:
            _note(placement, connection, "is silent and takes no connection")
            return Verdict.GONE
        asked_at = trio.current_time()


def _find_longest(
    connection: connections.RunnerConnection, patience: SilenceLimits
) -> float:
    if connection.has_begun:
        return patience.longest_pause_s
    return patience.longest_s


def _note(
    placement: placer.Placement,
    connection: connections.RunnerConnection,
    what: str,
) -> None:
    silent_s = trio.current_time() - connection.heard_at
    _LOG.write(
        f"Runner {placement.runner.id} {what}.",
        runner=placement.runner.id,
        silent_s=round(silent_s, 3),
    )


async def _is_gone(address: str) -> bool:
    for _ in range(_PROBES):
        try:
            async with connections.connect_runner(address, _CONNECT_S):
                return False
        except connections.NotConnectedError:
            continue
    return True
