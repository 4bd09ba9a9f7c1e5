"""Prometheus metrics of admission under overload."""

from __future__ import annotations

import aioprometheus

__all__ = ["OverloadMetrics", "create_metrics"]

_LEVEL_BUCKETS = [0.1, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0]
_WAIT_BUCKETS_S = [0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0]


class OverloadMetrics:
    """Counters and histograms of the overload gate."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._decisions = aioprometheus.Counter(
            "martenquay_overload_decisions_total",
            "Requests checked under overload, by service, urgency and outcome.",
            registry=registry,
        )
        self._level = aioprometheus.Histogram(
            "martenquay_overload_level",
            "Queueing time as a share of the time that a request may wait.",
            buckets=_LEVEL_BUCKETS,
            registry=registry,
        )
        self._retry_after_s = aioprometheus.Histogram(
            "martenquay_overload_retry_after_seconds",
            "When callers rejected under overload were asked to return.",
            buckets=_WAIT_BUCKETS_S,
            registry=registry,
        )

    def note_level(self, service: str, urgency: int, level: float) -> None:
        """Observe the overload level that a request met."""
        self._level.observe(
            {"service": service, "urgency": str(urgency)}, level
        )

    def count_decision(self, service: str, urgency: int, outcome: str) -> None:
        """Count a decision: `admitted`, or the reason of a rejection."""
        self._decisions.inc(
            {"service": service, "urgency": str(urgency), "outcome": outcome}
        )

    def note_retry_after(self, service: str, retry_after_s: float) -> None:
        """Observe the time after which a rejected caller is to return."""
        self._retry_after_s.observe({"service": service}, retry_after_s)


def create_metrics(registry: aioprometheus.Registry) -> OverloadMetrics:
    """Return metrics in a registry."""
    return OverloadMetrics(registry)
