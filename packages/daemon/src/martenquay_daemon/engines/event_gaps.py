"""Compare engines by the time between the events of their streams."""

from __future__ import annotations

import collections
import dataclasses

import trio

__all__ = ["EventWindow", "GapTable"]

# Events of a stream over which one gap is measured; shorter windows shrink when
# a busy daemon reads two events at once.
_WINDOW_EVENTS = 3
# Prefill of other prompts lengthens some gaps, so that a low quantile compares
# the engines' steps alone.
_QUANTILE = 0.25
# An engine's newest gaps, of at most this age, are compared.
_MAX_GAPS = 16
_MAX_AGE_S = 10.0
# With fewer, the quantile may be a gap with prefill of another prompt.
_MIN_GAPS = 3


@dataclasses.dataclass
class EventWindow:
    """Events of one stream since its last measured gap.

    Attributes:
        started_at: Time of the event before them, in trio's time.
        events: Number of events since then.
    """

    started_at: float
    events: int = 0


class _EngineGaps:
    """Newest gaps of one engine, with the times when they were measured."""

    def __init__(self) -> None:
        self._gaps: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_MAX_GAPS
        )

    def add(self, now: float, gap_s: float) -> None:
        self._gaps.append((now, gap_s))

    def count(self, now: float) -> int:
        while self._gaps and self._gaps[0][0] < now - _MAX_AGE_S:
            self._gaps.popleft()
        return len(self._gaps)

    def find_quantile_s(self) -> float:
        gaps = sorted(gap_s for _, gap_s in self._gaps)
        return gaps[int(_QUANTILE * len(gaps))]


class GapTable:
    """Time between events by service and engine, of this daemon's streams."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, _EngineGaps]] = {}

    def note_events(
        self,
        service: str,
        runner_id: str,
        window: EventWindow,
        count: int,
        at: float,
    ) -> None:
        """Record events that arrived together, and advance the window."""
        window.events += count
        if window.events < _WINDOW_EVENTS or at <= window.started_at:
            return
        gap_s = (at - window.started_at) / window.events
        window.started_at = at
        window.events = 0
        engines = self._services.setdefault(service, {})
        engines.setdefault(runner_id, _EngineGaps()).add(at, gap_s)

    def forget_runner(self, runner_id: str) -> None:
        """Drop an engine's gaps, as another process has replaced it."""
        for engines in self._services.values():
            engines.pop(runner_id, None)

    def compare(self) -> dict[str, tuple[int, float]]:
        """Return each engine's number of gaps and its relative speed."""
        found = {}
        for engines in self._services.values():
            found.update(_compare(engines))
        return found


def _compare(
    engines: dict[str, _EngineGaps],
) -> dict[str, tuple[int, float]]:
    """Compare the engines of a service with their mean gap."""
    now = trio.current_time()
    counts = {name: gaps.count(now) for name, gaps in engines.items()}
    for runner_id, count in counts.items():
        if not count:
            del engines[runner_id]
    quantiles = {
        name: gaps.find_quantile_s()
        for name, gaps in engines.items()
        if counts[name] >= _MIN_GAPS
    }
    total = sum(counts[name] for name in quantiles)
    if not total:
        return {}
    mean_s = sum(counts[n] * gap_s for n, gap_s in quantiles.items()) / total
    return {
        name: (counts[name], mean_s / gap_s)
        for name, gap_s in quantiles.items()
    }
