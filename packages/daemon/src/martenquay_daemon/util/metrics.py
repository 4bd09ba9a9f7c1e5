"""Define the daemon's Prometheus metrics.

Labels have few distinct values, such as routes, teams and causes: a label with
request ids would add a time series per request.
"""

from __future__ import annotations

import aioprometheus
from aioprometheus import renderer

__all__ = ["DaemonMetrics", "create_metrics"]


class DaemonMetrics:
    """The daemon's metrics.

    Attributes:
        requests: Number of answers by route, urgency and result code.
        decisions: Number of routing decisions by pool and reason.
        recomputed: Prompt tokens that were prefilled again, by cause.
        generated: Tokens generated, by pool.
        first_token_s: Time to first token in seconds, by pool.
        settled: Number of claims by outcome.
    """

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._registry = registry
        self.requests = self._count("requests_total", "Answers to callers.")
        self.decisions = self._count("decisions_total", "Placements.")
        self.recomputed = self._count(
            "recomputed_tokens_total", "Prompt tokens computed again."
        )
        self.generated = self._count("tokens_total", "Tokens generated.")
        self.settled = self._count("claims_total", "Claims settled.")
        self.first_token_s = aioprometheus.Histogram(
            "martenquay_first_token_seconds",
            "Time to the first token.",
            buckets=[0.05, 0.1, 0.2, 0.3, 0.4, 0.57, 0.8, 1.2, 2.0, 5.0],
            registry=registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = renderer.render(self._registry, [])
        return content

    def _count(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f"martenquay_{name}", text, registry=self._registry
        )


def create_metrics() -> DaemonMetrics:
    """Return metrics in a new registry."""
    return DaemonMetrics(aioprometheus.Registry())
