"""Send a request on to the engine that has the copy of its run."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core import logs
from martenquay_core.serving import calls
from martenquay_daemon.engines import placer
from martenquay_daemon.forwarding import exchange
from martenquay_daemon.migration.stream import MoveOutcome

if TYPE_CHECKING:
    from martenquay_daemon.forwarding import metrics

__all__ = ["Handovers"]

_LOG = logs.create_log("migration")


class Handovers:
    """Continues stopped runs at the target, or else at their source."""

    def __init__(self, counts: metrics.ForwardingMetrics) -> None:
        self._metrics = counts

    def take_placement(
        self, current: exchange.Exchange
    ) -> placer.Placement | None:
        """Return where a stopped run continues; None if there is none.

        The attempt there is the same run: it counts neither against
        `max_attempts` nor against the retry budget.
        """
        handover = current.handover
        if handover is None:
            return None
        current.kv_source = handover.kv_source
        # Two considered runners: if this one is silent, another may resume a
        # resumable stream.
        return placer.Placement(
            handover.runners[0], 0.0, 0, considered=2, same_version=2
        )

    def apply(
        self,
        current: exchange.Exchange,
        placement: placer.Placement,
        result: exchange.AttemptResult,
    ) -> bool:
        """Note the outcome of an attempt.

        Args:
            current: The request; where it continues is updated.
            placement: The runner of the attempt.
            result: The outcome.

        Returns:
            Whether the request goes on without counting the attempt as failed:
            the run was moved, or its copy was not accepted.
        """
        current.kv_source = None
        handover = current.handover
        match result:
            case exchange.Moved():
                self._begin(current, result)
                return True
            case (
                exchange.NotSent() | exchange.Withheld() | exchange.NotRun()
            ) if handover is not None:
                self._advance(current, handover, placement, result)
                return True
            case _:
                current.handover = None
                return False

    def _begin(self, current: exchange.Exchange, moved: exchange.Moved) -> None:
        current.moves += 1
        current.excluded_runners.add(moved.source.id)
        # A target that is the source itself is asked once.
        order = dict.fromkeys((moved.target, moved.source))
        current.handover = exchange.Handover(
            calls.KvSource(moved.source.address, moved.handle), tuple(order)
        )
        is_returned = moved.target == moved.source
        outcome = MoveOutcome.RETURNED if is_returned else MoveOutcome.MOVED
        self._metrics.count_stream_move(current.service, outcome.value)
        _LOG.write(
            "Continuing a stopped run at "
            + ("its source." if is_returned else "another runner."),
            request=current.call.id,
            runner=moved.source.id,
            target=moved.target.id,
            handle=moved.handle,
            last_event=current.last_event_id,
        )

    def _advance(
        self,
        current: exchange.Exchange,
        handover: exchange.Handover,
        placement: placer.Placement,
        result: exchange.AttemptResult,
    ) -> None:
        """Go on to the next runner that has the memory of the run."""
        rest = handover.runners[1:]
        current.excluded_runners.add(placement.runner.id)
        current.handover = (
            dataclasses.replace(handover, runners=rest) if rest else None
        )
        outcome = MoveOutcome.REJECTED if rest else MoveOutcome.LOST
        self._metrics.count_stream_move(current.service, outcome.value)
        _LOG.write(
            "A runner did not accept the copy of a run.",
            request=current.call.id,
            runner=placement.runner.id,
            result=type(result).__name__,
            next_runner=rest[0].id if rest else None,
        )
