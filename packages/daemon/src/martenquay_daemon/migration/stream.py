"""State of one relayed stream that may be moved to another engine."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.forwarding import exchange
from martenquay_daemon.migration import lengths

if TYPE_CHECKING:
    from martenquay_core.serving import runners
    from martenquay_daemon.forwarding import runner_connection as connections
    from martenquay_daemon.migration import plan

__all__ = ["Copy", "MoveOutcome", "WatchedStream"]


class MoveOutcome(enum.Enum):
    """How a move ended; the values are those of the metric.

    Attributes:
        MOVED: The request is sent to the target.
        RETURNED: The target refused the last copy, so the request is sent to
            the source again.
        ENDED: The run ended by itself, or its caller left, before it was
            stopped.
        REFUSED: No target accepted a copy; the run continues.
        FAILED: The source did not answer; the run continues if it can.
        REJECTED: The target accepted the copy and rejected the request.
        LOST: Neither the target nor the source continued the run.
    """

    MOVED = "moved"
    RETURNED = "returned"
    ENDED = "ended"
    REFUSED = "refused"
    FAILED = "failed"
    REJECTED = "rejected"
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class Copy:
    """A copy of a run at another engine.

    Attributes:
        target: The engine that holds it.
        handle: Its id.
    """

    target: runners.Runner
    handle: str


class WatchedStream:
    """One stream that this daemon relays, and the move of it.

    Attributes:
        current: The request.
        source: The runner that serves it.
        connection: The connection to this runner.
        copy_calls: Copies that were asked for.
        decision: Reason that was last logged for not moving it.
        copy: Copy of the run as it was some time ago; None without one.
        stopped: Where the run continues, once the source has stopped it.
        is_stopping: The call that stops the run has been sent, and no answer
            says that it did not.
        may_be_stopped: The answer to the call that stops the run was lost, so
            an end of the stream does not tell that the run is complete.
        is_moving: A move is in progress.
        is_over: The stream has ended here.
        is_ended_there: The source has no such run any more.
        continued: Where the request is sent next; None if nowhere.
        call_ended: Set while no call for the run is in progress.
    """

    def __init__(
        self,
        current: exchange.Exchange,
        source: runners.Runner,
        connection: connections.RunnerConnection,
    ) -> None:
        self.current = current
        self.source = source
        self.connection = connection
        self.copy_calls = 0
        self.decision: plan.StayReason | None = None
        self.copy: Copy | None = None
        self.stopped: exchange.Moved | None = None
        self.is_stopping = False
        self.may_be_stopped = False
        self.is_moving = False
        self.is_over = False
        self.is_ended_there = False
        self.continued: exchange.Moved | None = None
        self.call_ended = trio.Event()
        self.call_ended.set()
        self._events_before = current.events_delivered

    @property
    def has_begun(self) -> bool:
        """Whether the runner has sent an event to go on after."""
        return (
            self.current.events_delivered > self._events_before
            and self.current.last_event_id is not None
        )

    def find_progress(self) -> lengths.StreamProgress:
        """Return how far the stream has come."""
        current = self.current
        began_at = current.sent_at + (current.first_event_s or 0.0)
        return lengths.StreamProgress(
            current.call.tokens_out,
            current.events_delivered + (current.call.resume_after or 0),
            current.events_delivered - self._events_before,
            trio.current_time() - began_at,
        )

    def find_continuation(self) -> exchange.Moved | None:
        """Return where the run goes on, now that its stream has broken off.

        Without the call that stops the run, a copy may be used only if the
        source itself has closed the stream: after a timeout the run may still
        be at work there.
        """
        if self.stopped is not None:
            return self.stopped
        is_closed = self.connection.has_peer_closed or self.may_be_stopped
        if self.copy is not None and is_closed:
            return exchange.Moved(
                self.source, self.copy.target, self.copy.handle
            )
        return None
