"""Build evidence on engines' speeds."""

from __future__ import annotations

from martenquay_daemon.engines import event_gaps, placer, speeds
from tests import serving_builders as builders

__all__ = ["build_placement", "build_result", "note_gaps"]


def build_result(
    took_s: float, work_s: float = 0.1, **changes
) -> speeds.SpeedResult:
    """Return the result of a request that queued behind no other."""
    fields = {
        "service": "model",
        "urgency": 0,
        "work_s": work_s,
        "took_s": took_s,
        "own_s": work_s,
    }
    return speeds.SpeedResult(**(fields | changes))


def build_placement(runner_id: str = "r-0", **changes) -> placer.Placement:
    """Return a placement at an idle engine."""
    fields = {
        "runner": builders.build_runner(id=runner_id, service="model"),
        "expected_s": 0.1,
        "uncached_tokens": 3000,
        "considered": 3,
        "read_s": 0.1,
        "work_s": 0.1,
    }
    return placer.Placement(**(fields | changes))


def note_gaps(
    table: speeds.SpeedTable,
    runner_id: str,
    gap_s: float,
    count: int,
    now: float,
) -> None:
    """Record a stream whose events come at regular gaps and end now."""
    begun_at = now - gap_s * count
    window = event_gaps.EventWindow(begun_at)
    for number in range(1, count + 1):
        at = begun_at + number * gap_s
        table.note_events("model", runner_id, window, 1, at)
