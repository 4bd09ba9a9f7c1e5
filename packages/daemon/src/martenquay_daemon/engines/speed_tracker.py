"""Combine the usual speed of engines with what slows them for a moment."""

from __future__ import annotations

import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING

from martenquay_daemon.engines import event_gaps, outliers, speeds

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from martenquay_daemon.engines import placer

__all__ = ["SpeedTracker", "Watch", "create_speed_tracker"]


@dataclasses.dataclass(frozen=True)
class Watch:
    """A request that is watched until its first event.

    Attributes:
        placement: The chosen engine and its estimate.
        service: Service of the engine.
        urgency: Priority of the request.
        pending: The expected first event; None if it is not watched.
    """

    placement: placer.Placement
    service: str
    urgency: int
    pending: outliers.Pending | None
    window: event_gaps.EventWindow


class SpeedTracker:
    """Current speed of each engine, learnt from the requests sent there.

    Attributes:
        table: Usual speeds, shared with other daemons.
        detector: Engines that are slow for a moment, as seen by this daemon.
    """

    def __init__(
        self,
        table: speeds.SpeedTable,
        detector: outliers.OutlierDetector,
        *,
        is_enabled: bool,
    ) -> None:
        self.table = table
        self.detector = detector
        self._is_enabled = is_enabled

    @property
    def is_enabled(self) -> bool:
        """Whether speeds are learnt and used."""
        return self._is_enabled

    def find(self, runner_id: str) -> float:
        """Return the current speed relative to the service's mean."""
        if not self._is_enabled:
            return 1.0
        usual = self.table.find(runner_id)
        return usual * self.detector.find_factor(runner_id)

    def find_usual(self, runner_id: str) -> float:
        """Return the speed without what slows the engine for a moment."""
        return self.table.find(runner_id) if self._is_enabled else 1.0

    @contextlib.contextmanager
    def watch(
        self,
        placement: placer.Placement,
        service: str,
        urgency: int,
        *,
        is_expected: bool = True,
    ) -> Iterator[Watch]:
        """Watch for the events of a request while the context is open.

        Args:
            placement: The chosen engine and its estimate.
            service: Service of the engine.
            urgency: Priority of the request.
            is_expected: Whether the estimate holds for its first event.
        """
        window = event_gaps.EventWindow(math.inf)
        # A wait for a slot depends on the length of other streams.
        is_expected &= placement.work_s > 0 and placement.has_free_slot
        if not self._is_enabled or not is_expected:
            yield Watch(placement, service, urgency, None, window)
            return
        runner_id = placement.runner.id
        usual_s = placement.work_s / self.table.find(runner_id)
        delay_s = self.table.find_delay_s(service, urgency)
        with self.detector.watch(runner_id, usual_s + delay_s) as pending:
            yield Watch(placement, service, urgency, pending, window)

    def note_first_event(self, watch: Watch, took_s: float, at: float) -> None:
        """Record a first event.

        Args:
            watch: The request.
            took_s: Seconds from sending the request to the first event.
            at: When it arrived, in trio's time.
        """
        watch.window.started_at = at
        if watch.pending is None:
            return
        runner_id = watch.placement.runner.id
        is_current = self.detector.note_first_event(
            runner_id, watch.pending, took_s
        )
        if is_current:
            placement = watch.placement
            result = speeds.SpeedResult(
                watch.service,
                watch.urgency,
                placement.work_s,
                took_s,
                placement.read_s * placement.speed,
            )
            self.table.note_first_event(runner_id, result)

    def note_events(self, watch: Watch, count: int, at: float) -> None:
        """Record events after the first one.

        Args:
            watch: The request.
            count: Number of events that arrived together.
            at: When they arrived, in trio's time.
        """
        if self._is_enabled:
            runner_id = watch.placement.runner.id
            self.table.note_events(
                watch.service, runner_id, watch.window, count, at
            )

    def forget_runner(self, runner_id: str) -> None:
        """Drop an engine's results, as another process has replaced it."""
        self.table.forget_runner(runner_id)
        self.detector.forget(runner_id)

    def list_own(self) -> dict[str, speeds.SpeedSums]:
        """Return this daemon's own sums by runner id; empty if disabled."""
        return self.table.list_own() if self._is_enabled else {}

    def replace_source(
        self, source: str, sums: Mapping[str, speeds.SpeedSums]
    ) -> None:
        """Replace the sums gossiped by a source; empty removes it."""
        self.table.replace_source(source, sums)

    def forget_sources(self) -> None:
        """Drop all gossiped sums."""
        self.table.forget_sources()


def create_speed_tracker(
    *,
    is_enabled: bool = True,
    on_change: Callable[[str, str], None] | None = None,
) -> SpeedTracker:
    """Return a tracker without results.

    Args:
        is_enabled: Whether speeds are learnt; otherwise all are 1.
        on_change: Called with a runner id and the reason when an engine is
            found slow or readmitted.
    """
    detector = outliers.OutlierDetector()
    if on_change is not None:
        detector.on_change = on_change
    return SpeedTracker(speeds.SpeedTable(), detector, is_enabled=is_enabled)
