"""Estimate whether a new request can finish before a graceful stop ends."""

from __future__ import annotations

import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_core.serving import catalog
from martenquay_daemon.forwarding import disconnects

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from martenquay_daemon.engines import durations, placer
    from martenquay_daemon.forwarding import exchange

__all__ = ["NewRequest", "StopWindow", "create_request"]

# Longest duration of a stream as a multiple of the mean for its token count.
# Generous, since a truncated stream costs its caller more than a rejected one:
# of 2,467 chats 1% took more than 2.3 times the mean, of 8,514 streams of all
# lengths 5% more than 2.6 times.
_MAX_DURATION_FACTOR = 3.0
# From a request's deadline to the end of the answer that tells of it: a
# runner's own answer is waited for 0.08 s longer.
_DEADLINE_ANSWER_S = 0.1


@dataclasses.dataclass(frozen=True)
class NewRequest:
    """A request that is not sent to a runner yet.

    Attributes:
        service: The service that it is for.
        kind: The kind of its route.
        max_tokens: Limit of generated tokens; None if the request has none.
        time_left_s: Time until its deadline.
        first_event_s: Expected seconds to the first event at the chosen
            runner; 0 before one is chosen.
        speed: Speed of that runner relative to the service's mean.
    """

    service: str
    kind: catalog.CallKind
    max_tokens: int | None
    time_left_s: float
    first_event_s: float = 0.0
    speed: float = 1.0


class StopWindow:
    """Time that a graceful stop leaves for new requests."""

    def __init__(self, stream_durations: durations.StreamDurations) -> None:
        self._stream_durations = stream_durations
        self._find_deadline: Callable[[], float] | None = None
        self._began_at = math.inf
        self._is_notice_over = False
        # By identity, since an exchange is mutable.
        self._in_progress: dict[int, exchange.Exchange] = {}

    def begin(self, find_deadline: Callable[[], float]) -> None:
        """Start the stop.

        Args:
            find_deadline: Returns when all requests must have ended, on trio's
                clock; operators may change it during the stop.
        """
        self._find_deadline = find_deadline
        self._began_at = trio.current_time()

    def end_notice(self) -> None:
        """Rely on deadlines alone, as new connections end up elsewhere now.

        A request that is rejected then costs its caller a connection; one that
        is cut off costs it the answer.
        """
        self._is_notice_over = True

    def find_age(self) -> float | None:
        """Return how long ago the stop began in seconds; None without one."""
        if self._find_deadline is None:
            return None
        return trio.current_time() - self._began_at

    @contextlib.contextmanager
    def track(self, current: exchange.Exchange) -> Iterator[None]:
        """Use the pace of a request while the context is open."""
        self._in_progress[id(current)] = current
        try:
            yield
        finally:
            del self._in_progress[id(current)]

    def find_overrun(self, request: NewRequest) -> float:
        """Return by how many seconds a request may outlast the stop.

        Args:
            request: A request that is not sent to a runner yet.

        Returns:
            Seconds; 0 if there is no stop or the request fits into it.
        """
        if self._find_deadline is None:
            return 0.0
        left_s = self._find_deadline() - trio.current_time()
        return max(0.0, self._estimate_max_duration(request) - left_s)

    def _estimate_max_duration(self, request: NewRequest) -> float:
        """Return the longest expected duration of a request in seconds."""
        is_stream = request.kind is catalog.CallKind.STREAM
        budget_s = request.time_left_s + _DEADLINE_ANSWER_S
        if not is_stream or request.max_tokens is None or self._is_notice_over:
            return budget_s
        tokens = request.max_tokens
        mean_s = self._stream_durations.find_mean_s(request.service, tokens)
        slowest_s = self._stream_durations.find_slowest_s(
            request.service, tokens
        )
        if mean_s is None or slowest_s is None:
            return budget_s
        slowdown = self._find_slowdown(request.service) / min(
            1.0, request.speed
        )
        usual_s = max(_MAX_DURATION_FACTOR * mean_s, slowest_s)
        return min(budget_s, request.first_event_s + slowdown * usual_s)

    def _find_slowdown(self, service: str) -> float:
        """Return the slowdown of the slowest stream in progress."""
        now = trio.current_time()
        factors = [1.0]
        for current in self._in_progress.values():
            if (
                current.service == service
                and current.stage is disconnects.Stage.STREAMING
                and current.first_event_s is not None
            ):
                factors.append(
                    self._stream_durations.find_slowdown(
                        service,
                        current.call.tokens_out or 0,
                        current.attempt_events,
                        now - current.sent_at - current.first_event_s,
                    )
                )
        return max(factors)


def create_request(
    current: exchange.Exchange, placement: placer.Placement | None
) -> NewRequest:
    """Return what the decision on a request needs.

    Args:
        current: The request.
        placement: The chosen runner; None before one is chosen.
    """
    return NewRequest(
        current.service,
        current.route.kind,
        current.call.tokens_out,
        current.deadline - trio.current_time(),
        first_event_s=placement.expected_s if placement else 0.0,
        speed=placement.speed if placement else 1.0,
    )
