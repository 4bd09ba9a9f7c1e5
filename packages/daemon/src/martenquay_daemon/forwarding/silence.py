"""Probe a runner whose connection is silent, to tell slow from dead.

A runner that reads a long prompt sends nothing, like one whose host is down.
A new TCP connection tells them apart, since the kernel of a live host accepts
it at once. A connection that broke while its runner lives is found only by a
limit on its silence.
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
_PROBE_TIMEOUT_S = 0.1
# A single probe may fail because a packet is lost.
_PROBE_ATTEMPTS = 2


class Verdict(enum.Enum):
    """Why an attempt is abandoned.

    Attributes:
        GONE: The runner accepts no connection.
        SILENT: The connection was silent for longer than its limit.
        STALLED: The runner sends bytes, but for longer than the limit on its
            silence none that complete a head or an event.
    """

    GONE = enum.auto()
    SILENT = enum.auto()
    STALLED = enum.auto()


def _never_retry() -> bool:
    return False


@dataclasses.dataclass(frozen=True)
class SilenceLimits:
    """How long a runner may be silent before it is probed or abandoned.

    Attributes:
        first_probe_s: Silence before a probe, until the response head.
        next_probe_s: Silence before a probe, after the response head.
        max_silence_s: Time without progress before the attempt is abandoned
            even if the runner is reachable, until the first event of a stream.
        max_pause_s: The same after the first event of a stream.
        may_retry: Returns whether another runner may get the request now.
            While it may not, silence alone doesn't end the attempt.
    """

    first_probe_s: float
    next_probe_s: float
    max_silence_s: float = math.inf
    max_pause_s: float = math.inf
    may_retry: Callable[[], bool] = _never_retry


async def wait_until_gone(
    connection: connections.RunnerConnection,
    placement: placer.Placement,
    limits: SilenceLimits,
) -> Verdict:
    """Return when the runner is unreachable or silent beyond its limit.

    Args:
        connection: The connection with the request in progress.
        placement: The runner that serves the request.
        limits: How long the connection may be silent.

    Returns:
        Why the attempt is to be abandoned.
    """
    probed_at = connection.last_activity_at
    while True:
        now = trio.current_time()
        abandon_at = connection.last_progress_at + _find_max_silence(
            connection, limits
        )
        if now >= abandon_at and limits.may_retry():
            if now - connection.last_activity_at < limits.next_probe_s:
                _log_unresponsive(
                    placement,
                    connection,
                    "sends bytes that complete neither a head nor an event",
                )
                return Verdict.STALLED
            _log_unresponsive(
                placement,
                connection,
                "is silent beyond its limit",
            )
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
        is_unreachable = await _is_unreachable(
            connection, placement.runner.address
        )
        # Bytes that arrived during the probe prove that the runner lives.
        if is_unreachable and connection.last_activity_at == last_activity_at:
            _log_unresponsive(
                placement, connection, "is silent and accepts no connection"
            )
            return Verdict.GONE
        probed_at = trio.current_time()


def _find_max_silence(
    connection: connections.RunnerConnection, limits: SilenceLimits
) -> float:
    if connection.has_first_event:
        return limits.max_pause_s
    return limits.max_silence_s


def _log_unresponsive(
    placement: placer.Placement,
    connection: connections.RunnerConnection,
    reason: str,
) -> None:
    now = trio.current_time()
    _LOG.write(
        f"Runner {placement.runner.id} {reason}.",
        runner=placement.runner.id,
        silent_s=round(now - connection.last_activity_at, 3),
        no_progress_s=round(now - connection.last_progress_at, 3),
    )


async def _is_unreachable(
    connection: connections.RunnerConnection, address: str
) -> bool:
    """Return whether no new connection opens over the connection's path."""
    for _ in range(_PROBE_ATTEMPTS):
        try:
            async with connections.connect_runner(
                address, _PROBE_TIMEOUT_S, opener=connection.reopen
            ):
                return False
        except connections.NotConnectedError:
            continue
    return True
