"""Write what became of a request, and of each attempt at it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.forwarding import departure, exchange

if TYPE_CHECKING:
    from martenquay_daemon.discovery import catalog_store
    from martenquay_daemon.engines import placer
    from martenquay_daemon.forwarding import metrics

__all__ = ["RequestLines"]

_LOG = logs.create_log("forwarding")


class RequestLines:
    """The lines and counts of one daemon's requests."""

    def __init__(
        self,
        store: catalog_store.CatalogStore,
        counts: metrics.ForwardingMetrics,
    ) -> None:
        self._store = store
        self._metrics = counts

    def note_attempt(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        result: exchange.AttemptResult,
    ) -> None:
        """Note an attempt, what decided it and what came of it."""
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
            expected_ms=round(placement.expected_s * 1000, 1),
            considered=placement.considered,
            first_event_ms=first_event_s and round(first_event_s * 1000, 1),
            uncached=placement.uncached_tokens,
            unread=placement.unread_tokens,
            has_free_slot=placement.has_free_slot,
            entries_age_ms=current.entries_age_ms,
            events=current.events,
            detail=getattr(result, "reason", None)
            or getattr(result, "status", None),
            content=current.content or None,
            has_runner_ended=current.has_runner_ended,
            runner_limit_per_s=current.told.limit_per_s,
            runner_leaves=current.told.is_leaving or None,
            runner_rest_s=current.told.backoff_s,
        )

    def note_departure(self, current: exchange.Exchange) -> None:
        """Note that the caller has left."""
        departure.log_departure(
            current.call.id,
            current.stage,
            current.received_at,
            route=current.route.name,
            team=current.team and current.team.name,
            attempts=current.attempts,
            events=current.events,
        )

    def note_end(
        self, current: exchange.Exchange, outcome: str, status: int
    ) -> None:
        """Note how the request ended."""
        elapsed_s = trio.current_time() - current.received_at
        self._metrics.note_answer(current.service, elapsed_s)
        _LOG.write(
            f"Request {outcome}.",
            request=current.call.id,
            route=current.route.name,
            team=current.team and current.team.name,
            status=status,
            units=current.units,
            kept_at=current.granted.kept_at,
            there=round(current.granted.units.there),
            owed=round(current.granted.units.owed),
            attempts=current.attempts,
            events=current.events,
            elapsed_ms=round(elapsed_s * 1000, 1),
            version=self._store.version,
        )
