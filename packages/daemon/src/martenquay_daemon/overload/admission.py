"""Derive from the overload level which share of the requests to admit."""

from __future__ import annotations

import math

__all__ = ["find_admitted_share", "find_slack_s"]

# Up to this share of the time that a request may wait, nothing is rejected: a
# rejected caller has at most half of the value left, so a request that is
# likely on time must not be rejected.
_START_LEVEL = 0.9
# Callers that return are rejected only from this level on. Between the two
# levels, the capacity left goes to them before it goes to new requests.
_RETRY_START_LEVEL = 1.0
# The share falls by a factor of e for each further level of this size. Sizes
# from 0.05 to 0.35 gave the same value in replays, within what seeds differ.
_FALL_LEVEL = 0.1
# The queue differs by about one prompt between daemons that have other reports.
_MIN_FALL_S = 0.057
# Time from the end of the prefill to the first event, and to the caller.
_FIRST_EVENT_S = 0.05
# The largest requests are granted at least this share of the target to wait;
# their own prefill would otherwise leave none. At four times the capacity the
# largest tenth of the drafts was served 0.40, 0.45 and 0.64 times as often as
# all with 0.5, 0.55 and 0.6, and half as often is required.
_MIN_SLACK = 0.6


def find_slack_s(target_s: float, elapsed_s: float, read_s: float) -> float:
    """Return how long a request may wait in a queue and still be on time.

    Args:
        target_s: Target time to the first event in seconds.
        elapsed_s: Time since the request arrived in seconds.
        read_s: Time to prefill the request itself in seconds.
    """
    slack_s = target_s - elapsed_s - read_s - _FIRST_EVENT_S
    return max(slack_s, _MIN_SLACK * target_s)


def find_admitted_share(
    level: float, slack_s: float, *, is_retrying: bool
) -> float:
    """Return the share of such requests to admit, from 0 to 1.

    It falls exponentially with the level, so that a fleet settles at any
    overload: the level at which the admitted part of the demand equals the
    capacity grows only with its logarithm.

    Args:
        level: Overload level for the request.
        slack_s: Seconds that the request may wait.
        is_retrying: Whether its caller has been rejected before.
    """
    start = _RETRY_START_LEVEL if is_retrying else _START_LEVEL
    fall = max(_FALL_LEVEL, _MIN_FALL_S / slack_s)
    return min(1.0, math.exp((start - level) / fall))
