"""Say what is true of a request that no runner answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core import results
from martenquay_daemon.forwarding import answers

if TYPE_CHECKING:
    from martenquay_daemon.forwarding import exchange

__all__ = [
    "describe_backpressure",
    "describe_failure",
    "describe_overload",
    "describe_quarantine",
    "describe_stop",
    "describe_timeout",
]

_Code = results.ResultCode
# When to come back: by then another runner may be known, the configuration
# read, a slot free. Callers wait a third of their time at most, and plain
# calls have 0.6 s.
_NO_RUNNER_RETRY_AFTER_S = 0.3
_OVERLOADED_RETRY_AFTER_S = 0.25
# Nobody is told to come back within a round trip.
_MIN_RETRY_AFTER_S = 0.05
# A new connection goes to another daemon, or comes to this one again while the
# balancer still counts it in.
_STOPPING_RETRY_AFTER_S = 0.0
_GATEWAY_TIMEOUT_STATUS = 504
_UNAVAILABLE_STATUS = 503


def describe_failure(
    current: exchange.Exchange,
) -> answers.OwnAnswer:
    """Return the answer if no runner is left to try."""
    if current.may_have_run:
        return answers.create_own_answer(
            _Code.UNKNOWN_ANSWER_LOST, "the runner's answer was lost"
        )
    if current.attempts:
        return answers.create_own_answer(
            _Code.NOT_RUN_OVERLOADED,
            "the runners are full",
            status=_UNAVAILABLE_STATUS,
            retry_after_s=_OVERLOADED_RETRY_AFTER_S,
        )
    return answers.create_own_answer(
        _Code.NOT_RUN_NO_RUNNER,
        f"no runner of {current.service} could be reached",
        retry_after_s=_NO_RUNNER_RETRY_AFTER_S,
    )


def describe_backpressure(
    current: exchange.Exchange, retry_s: float
) -> answers.OwnAnswer:
    """Return the answer if all runners have said that they take none now.

    Args:
        current: The request; nobody has run it.
        retry_s: Until one of them takes a request.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_OVERLOADED,
        f"the runners of {current.service} take no request now",
        status=_UNAVAILABLE_STATUS,
        retry_after_s=max(_MIN_RETRY_AFTER_S, retry_s),
    )


def describe_overload(
    current: exchange.Exchange, lateness_s: float
) -> answers.OwnAnswer:
    """Return the answer if no runner can begin before the time is over.

    Args:
        current: The request, sent to nobody.
        lateness_s: By how much the soonest would be too late; the queues have
            drained by that much then.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_OVERLOADED,
        f"the runners of {current.service} would answer too late",
        status=_UNAVAILABLE_STATUS,
        retry_after_s=max(_OVERLOADED_RETRY_AFTER_S, lateness_s),
    )


def describe_quarantine(hold_s: float) -> answers.OwnAnswer:
    """Return the answer to a request that crashes its runners.

    The configuration allows the request, so it is not told to be a bad one;
    nor does it help to come back before the quarantine is over.

    Args:
        hold_s: Until it may be tried again.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_QUARANTINED,
        "runners ended under this request again and again",
        retry_after_s=hold_s,
    )


def describe_stop(overrun_s: float) -> answers.OwnAnswer:
    """Return the answer to a request that this daemon's stop would cut off.

    Args:
        overrun_s: By how much it may outlast the stop.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_STOPPING,
        f"this daemon stops up to {overrun_s:.1f} s before the answer's end",
        retry_after_s=_STOPPING_RETRY_AFTER_S,
    )


def describe_timeout(
    current: exchange.Exchange,
) -> answers.OwnAnswer:
    """Return the answer if the time is over."""
    if current.may_have_run:
        return answers.create_own_answer(
            _Code.UNKNOWN_ANSWER_LOST,
            "the time was over before the answer came",
            status=_GATEWAY_TIMEOUT_STATUS,
        )
    return answers.create_own_answer(
        _Code.NOT_RUN_DEADLINE,
        "the time was over before a runner took it",
        status=_UNAVAILABLE_STATUS,
        retry_after_s=_NO_RUNNER_RETRY_AFTER_S,
    )
