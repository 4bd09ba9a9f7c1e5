"""Say how long a runner may be silent, by what a request allows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from martenquay_core.serving import catalog
from martenquay_daemon.forwarding import silence

if TYPE_CHECKING:
    from collections.abc import Callable

    from martenquay_daemon.engines import placer
    from martenquay_daemon.forwarding import exchange

__all__ = ["find_silence_limits"]

# Events of a busy engine are up to 0.2 s apart, and a pause of 0.5 s makes an
# answer late; a runner that is gone has to be found out in between.
_STREAM_PROBE_AFTER_S = 0.25
# Longer than nearly all plain calls work (22 ms on average, 110 ms at most).
_CALL_PROBE_AFTER_S = 0.15
# A connection may be silent for good while its runner takes others. Events of
# a runner eight times slower than a busy one are up to 1.6 s apart.
_MAX_EVENT_GAP_S = 2.0
# Before the answer has begun a runner may be silent for good reasons, so most
# of the time is waited; what is left is enough for another to do the work.
_MAX_SILENCE_FRACTION = 2 / 3


def find_silence_limits(
    current: exchange.Exchange,
    placement: placer.Placement,
    may_retry: Callable[[], bool],
) -> silence.SilenceLimits:
    """Return the bounds for one attempt.

    Args:
        current: The request.
        placement: The runner.
        may_retry: Whether it might be sent once more.
    """
    max_silence_s = max_event_gap_s = math.inf
    has_next = current.attempts + 1 < current.route.max_attempts
    if has_next and placement.considered > 1:
        # Another runner may do what this one seems not to.
        max_silence_s = _MAX_SILENCE_FRACTION * (
            current.deadline - trio.current_time()
        )
        max_event_gap_s = _MAX_EVENT_GAP_S
    if current.route.kind is catalog.CallKind.STREAM:
        first_probe_s = _STREAM_PROBE_AFTER_S + placement.expected_s
        return silence.SilenceLimits(
            first_probe_s,
            _STREAM_PROBE_AFTER_S,
            max_silence_s,
            max_event_gap_s,
            may_retry,
        )
    return silence.SilenceLimits(
        _CALL_PROBE_AFTER_S,
        _CALL_PROBE_AFTER_S,
        max_silence_s,
        may_retry=may_retry,
    )
