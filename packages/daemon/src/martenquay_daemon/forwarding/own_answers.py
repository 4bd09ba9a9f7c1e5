"""Answers to requests that no runner answered, by reason."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core import results
from martenquay_daemon.forwarding import answers

if TYPE_CHECKING:
    from martenquay_daemon.forwarding import exchange
    from martenquay_daemon.overload import gate

__all__ = [
    "describe_backpressure",
    "describe_failure",
    "describe_lost_version",
    "describe_overload",
    "describe_quarantine",
    "describe_shed",
    "describe_stop",
    "describe_timeout",
    "describe_unfinished",
    "describe_unknown_version",
]

_Code = results.ResultCode
# Short enough for a retry within the budget of a plain call (0.6 s); callers
# wait for a third of their time at most.
_NO_RUNNER_RETRY_AFTER_S = 0.3
_OVERLOADED_RETRY_AFTER_S = 0.25
# At least one round trip.
_MIN_RETRY_AFTER_S = 0.05
# A retry over a new connection usually reaches another daemon.
_STOPPING_RETRY_AFTER_S = 0.0
_GATEWAY_TIMEOUT_STATUS = 504
_UNAVAILABLE_STATUS = 503


def describe_failure(
    current: exchange.Exchange,
) -> answers.OwnAnswer:
    """Return the answer if all attempts failed or no runner is known."""
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
    """Return the answer if all runners have reported that they accept none.

    Args:
        current: The request; no runner has executed it.
        retry_s: Seconds until one of them accepts a request.
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
    """Return the answer if no runner can begin before the deadline.

    Args:
        current: The request; no runner has received it.
        lateness_s: Seconds by which the soonest runner misses the deadline;
            after this time the queues are shorter by as much.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_OVERLOADED,
        f"the runners of {current.service} would answer too late",
        status=_UNAVAILABLE_STATUS,
        retry_after_s=max(_OVERLOADED_RETRY_AFTER_S, lateness_s),
    )


def describe_shed(
    current: exchange.Exchange, shed: gate.Shed
) -> answers.OwnAnswer:
    """Return the answer to a request that is rejected under overload.

    Args:
        current: The request; no runner has received it.
        shed: Why it is rejected, and when its caller should return.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_OVERLOADED,
        f"the runners of {current.service} would answer too late",
        status=_UNAVAILABLE_STATUS,
        retry_after_s=max(_MIN_RETRY_AFTER_S, shed.retry_after_s),
    )


def describe_quarantine(hold_s: float) -> answers.OwnAnswer:
    """Return the answer to a request whose content is quarantined.

    Args:
        hold_s: Seconds until the quarantine ends.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_QUARANTINED,
        "runners ended under this request again and again",
        retry_after_s=hold_s,
    )


def describe_unknown_version(*, is_log_read: bool) -> answers.OwnAnswer:
    """Return the answer to a resumed stream of an unknown version.

    Args:
        is_log_read: Whether the log with the versions of all streams was read;
            if so, a retry would not find more.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_VERSION_LOST,
        "it is not known which software version began this stream",
        retry_after_s=None if is_log_read else _NO_RUNNER_RETRY_AFTER_S,
    )


def describe_lost_version(service: str, software: str) -> answers.OwnAnswer:
    """Return the answer to a resumed stream whose version has no runner left.

    Args:
        service: The service.
        software: The version that began the stream.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_VERSION_LOST,
        f"{service} has no runner of version {software}, which began this"
        " stream",
    )


def describe_stop(overrun_s: float) -> answers.OwnAnswer:
    """Return the answer to a request that this daemon's stop would cut off.

    Args:
        overrun_s: Seconds by which its answer may end after the stop.
    """
    return answers.create_own_answer(
        _Code.NOT_RUN_STOPPING,
        f"this daemon stops up to {overrun_s:.1f} s before the answer's end",
        retry_after_s=_STOPPING_RETRY_AFTER_S,
    )


def describe_unfinished() -> answers.OwnAnswer:
    """Return the answer to a request that has not arrived when a stop ends."""
    return answers.create_own_answer(
        _Code.NOT_RUN_STOPPING,
        "this daemon stops, and the request is not complete",
        retry_after_s=_STOPPING_RETRY_AFTER_S,
    )


def describe_timeout(
    current: exchange.Exchange,
) -> answers.OwnAnswer:
    """Return the answer if the deadline has passed."""
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
