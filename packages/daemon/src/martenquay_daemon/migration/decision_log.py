"""Log lines and metrics of the decisions about streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenquay_core import logs

if TYPE_CHECKING:
    from martenquay_daemon.forwarding import metrics
    from martenquay_daemon.migration import plan
    from martenquay_daemon.migration import stream as streams

__all__ = ["DecisionLog"]

_LOG = logs.create_log("migration")


class DecisionLog:
    """Logs each decision once and counts the outcomes."""

    def __init__(self, counts: metrics.ForwardingMetrics) -> None:
        self._metrics = counts

    def note_move(
        self,
        stream: streams.WatchedStream,
        move: plan.PlannedMove,
        time_left_s: float,
    ) -> None:
        """Log that a move begins."""
        stream.decision = None
        _LOG.write(
            "Moving a stream off a leaving runner.",
            request=stream.current.call.id,
            runner=stream.source.id,
            targets=list(move.targets),
            tokens=move.stream.tokens,
            copy_s=round(move.copy_s, 4),
            remaining_s=round(move.stream.remaining_s, 3),
            time_left_s=round(time_left_s, 3),
            is_resumable=move.stream.is_resumable,
        )

    def note_stay(
        self,
        stream: streams.WatchedStream,
        stay: plan.PlannedStay,
        time_left_s: float,
    ) -> None:
        """Log that a stream is not moved, unless the reason is the same."""
        if stream.decision is stay.reason:
            return
        stream.decision = stay.reason
        _LOG.write(
            f"A stream stays at a leaving runner: {stay.reason.value}.",
            request=stream.current.call.id,
            runner=stream.source.id,
            tokens=stay.stream.tokens,
            remaining_s=round(stay.stream.remaining_s, 3),
            time_left_s=round(time_left_s, 3),
            is_resumable=stay.stream.is_resumable,
        )

    def note_not_stopped(
        self, stream: streams.WatchedStream, outcome: streams.MoveOutcome
    ) -> None:
        """Log and count a move that did not stop the run."""
        self._metrics.count_stream_move(stream.current.service, outcome.value)
        _LOG.write(
            f"A run was not stopped for its move: {outcome.value}.",
            request=stream.current.call.id,
            runner=stream.source.id,
            copy_calls=stream.copy_calls,
        )
