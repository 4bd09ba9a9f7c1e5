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
_PROBE_TIMEOUT_S = 0.1
# After this many probes without an answer the runner is taken as gone; one
# packet may be lost on the way.
_PROBE_ATTEMPTS = 2


class Verdict(enum.Enum):
    """Why a runner is not waited for any longer."""

    GONE = enum.auto()
    SILENT = enum.auto()


def _never_move() -> bool:
    return False


@dataclasses.dataclass(frozen=True)
class SilenceLimits:
    """How long a runner may be silent before it is asked.

    Attributes:
        first_probe_s: Before the answer's head has come.
        next_probe_s: After that, and after each time that it was there.
        max_silence_s: However live it is, before a stream has begun.
        max_pause_s: The same between a stream's events.
        may_move: Asked when the last two are over: whether another runner
            may take the request now. If not, silence is no reason to end it.
    """

    first_probe_s: float
    next_probe_s: float
    max_silence_s: float = math.inf
    max_pause_s: float = math.inf
    may_move: Callable[[], bool] = _never_move


async def wait_until_gone(
    connection: connections.RunnerConnection,
    placement: placer.Placement,
    limits: SilenceLimits,
) -> Verdict:
    """Return when the runner is gone, or the connection silent too long."""
    probed_at = connection.last_activity_at
    while True:
        now = trio.current_time()
        abandon_at = connection.last_activity_at + _find_max_silence(
            connection, limits
        )
        if now >= abandon_at and limits.may_move():
            _log_unresponsive(placement, connection, "is silent for too long")
            return Verdict.SILENT
        probe_after_s = (
            limits.next_probe_s
            if connection.has_response_head
            else limits.first_probe_s
        )
        probe_at = max(probed_at, connection.last_activity_at) + probe_after_s
        if now < abandon_at:
            probe_at = min(probe_at, abandon_at)
        if now < probe_at:
            await trio.sleep_until(probe_at)
            continue
        last_activity_at = connection.last_activity_at
        is_unreachable = await _is_unreachable(placement.runner.address)
        # What came while it was asked says more than the probe.
        if is_unreachable and connection.last_activity_at == last_activity_at:
            _log_unresponsive(
                placement, connection, "is silent and takes no connection"
            )
            return Verdict.GONE
        probed_at = trio.current_time()


def _find_max_silence(
    connection: connections.RunnerConnection, limits: SilenceLimits
) -> float:
    if connection.has_begun:
        return limits.max_pause_s
    return limits.max_silence_s


def _log_unresponsive(
    placement: placer.Placement,
    connection: connections.RunnerConnection,
    reason: str,
) -> None:
    silent_s = trio.current_time() - connection.last_activity_at
    _LOG.write(
        f"Runner {placement.runner.id} {reason}.",
        runner=placement.runner.id,
        silent_s=round(silent_s, 3),
    )


async def _is_unreachable(address: str) -> bool:
    for _ in range(_PROBE_ATTEMPTS):
        try:
            async with connections.connect_runner(address, _PROBE_TIMEOUT_S):
                return False
        except connections.NotConnectedError:
            continue
    return True
