"""Record outcomes of attempts during a rollout, by old and new version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.forwarding import exchange

if TYPE_CHECKING:
    from martenquay_core.serving import runners
    from martenquay_daemon.rollouts import registry, tallies, versions

__all__ = ["TrialRecorder"]

_MIN_SERVER_ERROR_STATUS = 500


class TrialRecorder:
    """Adds attempts to the tallies of a canary trial while it is open."""

    def __init__(
        self,
        orders: registry.RolloutRegistry,
        trials: tallies.TallyTable,
        chooser: versions.VersionChooser,
    ) -> None:
        self._orders = orders
        self._chooser = chooser
        self._trials = trials

    def note_result(
        self,
        current: exchange.Exchange,
        runner: runners.Runner,
        result: exchange.AttemptResult,
    ) -> None:
        """Count an attempt at a runner if it reflects the runner's version."""
        rollout = self._orders.find(current.service)
        if rollout is None or rollout.phase.is_final:
            self._trials.forget(current.service)
            return
        if not self._chooser.has_seen_canary(current.service, rollout.offset):
            return
        if not _counts_for_version(current, result):
            return
        self._trials.note(
            current.service,
            rollout.offset,
            current.route.name,
            _find_latency(current, result),
            is_new=runner.software == rollout.order.version,
        )


def _counts_for_version(
    current: exchange.Exchange, result: exchange.AttemptResult
) -> bool:
    if current.kv_source is not None:
        # The time to its first event says nothing about prefill or queue.
        return False
    match result:
        case (
            exchange.NotSent()
            | exchange.NotRun()
            | exchange.Moved()
            | exchange.NoRoom()
        ):
            return False
        case exchange.Broken():
            # A crash breaks all requests of a runner at once, and a runner of
            # either version may lose its machine.
            return not current.has_runner_ended
        case _:
            return current.sent_at > 0


def _find_latency(
    current: exchange.Exchange, result: exchange.AttemptResult
) -> float | None:
    """Return the latency of a successful answer in seconds, else None."""
    match result:
        case exchange.Delivered():
            return current.first_event_s
        case exchange.Whole(head=head) if (
            head.status < _MIN_SERVER_ERROR_STATUS
        ):
            return trio.current_time() - current.sent_at
        case _:
            return None
