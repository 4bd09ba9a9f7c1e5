"""Choose how long a runner may be silent during one attempt."""

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

# Above the gap between events of a busy engine (up to 0.2 s), below the pause
# that makes a stream late (0.5 s).
_STREAM_PROBE_AFTER_S = 0.25
# Longer than nearly all plain calls take (22 ms on average, 110 ms at most).
_CALL_PROBE_AFTER_S = 0.15
# Above the gap between events of a very slow engine: 1.6 s if it is eight times
# slower than a busy one. A connection may be stuck though its runner accepts
# others.
_MAX_EVENT_GAP_S = 2.0
# Of the remaining time, before the first event; the rest is left for another
# runner to do the work.
_MAX_SILENCE_FRACTION = 2 / 3


def find_silence_limits(
    current: exchange.Exchange,
    placement: placer.Placement,
    may_retry: Callable[[], bool],
) -> silence.SilenceLimits:
    """Return the limits for one attempt.

    Args:
        current: The request.
        placement: The chosen runner.
        may_retry: Returns whether the retry budget allows one more attempt.
    """
    max_silence_s = max_event_gap_s = math.inf
    has_next = current.attempts + 1 < current.route.max_attempts
    if has_next and placement.considered > 1:
        # Without another runner to retry at, waiting is all that helps.
        max_silence_s = _MAX_SILENCE_FRACTION * (
            current.deadline - trio.current_time()
        )
        if placement.same_version > 1:
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
