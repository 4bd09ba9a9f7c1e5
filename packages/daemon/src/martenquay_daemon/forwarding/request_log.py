"""Log lines and metrics of each request and each attempt at it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.forwarding import disconnects, exchange

if TYPE_CHECKING:
    from martenquay_daemon.discovery import catalog_store
    from martenquay_daemon.engines import placer
    from martenquay_daemon.forwarding import metrics

__all__ = ["RequestLog"]

_LOG = logs.create_log("forwarding")
# Callers choose the ids and their number.
_MAX_LOGGED_PARTS = 8
# Of its own kind, so that a busy second's other lines do not crowd it out.
_STOP_LOG = logs.create_log("stops")
# The line on the stop's end has the number of all.
_MAX_CUT_OFF_LINES = 100
_SENT_STAGES = frozenset(
    {
        disconnects.Stage.SENDING,
        disconnects.Stage.WAITING,
        disconnects.Stage.STREAMING,
        disconnects.Stage.DELIVERING,
    }
)


class RequestLog:
    """Logs and counts the outcomes of requests and their attempts."""

    def __init__(
        self,
        store: catalog_store.CatalogStore,
        counts: metrics.ForwardingMetrics,
    ) -> None:
        self._store = store
        self._metrics = counts
        self._cut_off_lines = 0

    def log_attempt(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        result: exchange.AttemptResult,
    ) -> None:
        """Log an attempt: its runner, why it was chosen and the outcome."""
        outcome = type(result).__name__
        self._metrics.count_attempt(current.service, outcome)
        first_event_s = current.first_event_s
        if first_event_s is not None:
            self._metrics.note_first_event(
                current.service, placement.expected_s, first_event_s
            )
        _LOG.write(
            f"Attempt {current.attempts}: {outcome}.",
            request=current.call.id,
            runner=placement.runner.id,
            zone=placement.runner.zone,
            software=placement.runner.software or None,
            resume_after=current.call.resume_after,
            resumed_request=current.call.resumed_id or None,
            relay=current.relay or None,
            expected_ms=round(placement.expected_s * 1000, 1),
            considered=placement.considered,
            first_event_ms=first_event_s and round(first_event_s * 1000, 1),
            uncached=placement.uncached_tokens,
            unread=placement.unread_tokens,
            speed=round(placement.speed, 3),
            has_free_slot=placement.has_free_slot,
            entries_age_ms=current.entries_age_ms,
            events=current.events_delivered,
            detail=getattr(result, "reason", None)
            or getattr(result, "status", None),
            content=current.content_digest or None,
            has_runner_ended=current.has_runner_ended,
            parts=_list_parts(current) if current.has_runner_ended else None,
            runner_limit_per_s=current.reported_signals.limit_per_s,
            runner_leaves=current.reported_signals.is_leaving or None,
            runner_rest_s=current.reported_signals.retry_after_s,
        )

    def log_disconnect(self, current: exchange.Exchange) -> None:
        """Log that the caller disconnected before its answer was complete."""
        disconnects.log_disconnect(
            current.call.id,
            current.stage,
            current.received_at,
            route=current.route.name,
            team=current.team and current.team.name,
            attempts=current.attempts,
            events=current.events_delivered,
        )

    def log_cut_off(
        self, current: exchange.Exchange, stop_age_s: float | None
    ) -> None:
        """Log that the daemon's end cut off a request.

        Args:
            current: The request.
            stop_age_s: Seconds since the stop began; None if the daemon ends
                without one.
        """
        self._cut_off_lines += 1
        if self._cut_off_lines > _MAX_CUT_OFF_LINES:
            return
        now = trio.current_time()
        reason = "the daemon ends without a stop"
        taken_s = None
        if stop_age_s is not None:
            reason = "the stop's grace time is over"
            taken_s = round(current.received_at - now + stop_age_s, 3)
        was_sent = current.stage in _SENT_STAGES
        _STOP_LOG.write(
            f"Cut off a request: {reason}.",
            request=current.call.id,
            route=current.route.name,
            stage=current.stage.value,
            attempts=current.attempts,
            events=current.events_delivered,
            tokens=current.call.tokens_out,
            relay=current.relay or None,
            # Negative for a request that was taken before the stop began.
            taken_s=taken_s,
            elapsed_s=round(now - current.received_at, 3),
            runner_s=round(now - current.sent_at, 3) if was_sent else None,
            time_left_s=round(current.deadline - now, 3),
        )

    def log_end(
        self, current: exchange.Exchange, outcome: str, status: int
    ) -> None:
        """Log the end of a request.

        Args:
            current: The request.
            outcome: How it ended, for the text of the line.
            status: The HTTP status of a runner's answer; 0 for a stream,
                complete or cut off.
        """
        elapsed_s = trio.current_time() - current.received_at
        self._metrics.note_answer(current.service, elapsed_s)
        _LOG.write(
            f"Request {outcome}.",
            request=current.call.id,
            route=current.route.name,
            team=current.team and current.team.name,
            status=status,
            units=current.units,
            kept_at=current.admission.kept_at,
            there=round(current.admission.units.there),
            owed=round(current.admission.units.owed),
            attempts=current.attempts,
            events=current.events_delivered,
            elapsed_ms=round(elapsed_s * 1000, 1),
            version=self._store.version,
        )


def _list_parts(current: exchange.Exchange) -> list[str]:
    """Return the ids of the prompt's first parts."""
    return [part.id[:64] for part in current.call.prompt[:_MAX_LOGGED_PARTS]]
