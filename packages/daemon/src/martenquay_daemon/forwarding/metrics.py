"""Count and time what is forwarded, for Prometheus.

Labels stay few and bounded: services, outcomes and result codes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import aioprometheus
from aioprometheus import renderer

if TYPE_CHECKING:
    from martenquay_core import results
    from martenquay_daemon.discovery import copy_age

__all__ = ["ForwardingMetrics", "create_metrics"]

_ASKED_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.2]
_AGE_BUCKETS_S = [0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 8.0]
_BUCKETS_S = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0]


class ForwardingMetrics:
    """The metrics of one daemon's forwarding."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._registry = registry
        self._own_answers = aioprometheus.Counter(
            "martenquay_own_answers_total",
            "Answers that no runner gave, by result code.",
            registry=registry,
        )
        self._attempts = aioprometheus.Counter(
            "martenquay_attempts_total",
            "Requests sent to runners, by service and outcome.",
            registry=registry,
        )
        self._answer_s = aioprometheus.Histogram(
            "martenquay_answer_seconds",
            "From a request's first byte to its answer's end, by service.",
            buckets=_BUCKETS_S,
            registry=registry,
        )

        self._first_event_s = aioprometheus.Histogram(
            "martenquay_first_event_seconds",
            "From the sending of a stream's request to its first event.",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._estimate_off_s = aioprometheus.Histogram(
            "martenquay_first_event_later_than_expected_seconds",
            "By how much first events came later than the estimate; 0 if not.",
            buckets=_BUCKETS_S,
            registry=registry,
        )

        self._copy_age_s = aioprometheus.Histogram(
            "martenquay_runner_entries_age_seconds",
            "Age of what is known of the runners, by step on its way.",
            buckets=_AGE_BUCKETS_S,
            registry=registry,
        )

        self._unusable_records = aioprometheus.Counter(
            "martenquay_unusable_records_total",
            "Records of the log that say nothing usable, by topic.",
            registry=registry,
        )

        self._strikes = aioprometheus.Counter(
            "martenquay_strikes_total",
            "Requests under which a runner ended without leaving.",
            registry=registry,
        )

        self._runner_signals = aioprometheus.Counter(
            "martenquay_runner_signals_total",
            "Changes of what runners say of themselves, by kind and source.",
            registry=registry,
        )

        self._units_asked_s = aioprometheus.Histogram(
            "martenquay_units_asked_seconds",
            "What it took to ask another daemon for units, by outcome.",
            buckets=_ASKED_BUCKETS_S,
            registry=registry,
        )

    def note_units_asked(self, outcome: str, took_s: float) -> None:
        """Note what became of a question for units and how long it took."""
        self._units_asked_s.observe({"outcome": outcome}, took_s)

    def count_unusable_record(self, topic: str) -> None:
        """Count a record of the log that says nothing usable."""
        self._unusable_records.inc({"topic": topic})

    def count_strike(self) -> None:
        """Count a request under which a runner ended."""
        self._strikes.inc({})

    def count_runner_signal(self, signal: str, source: str) -> None:
        """Count a change of what a runner says of itself."""
        self._runner_signals.inc({"signal": signal, "source": source})

    def count_own_answer(self, code: results.ResultCode) -> None:
        """Count an answer of the daemon itself."""
        self._own_answers.inc({"code": str(int(code))})

    def count_attempt(self, service: str, outcome: str) -> None:
        """Count an attempt at a runner."""
        self._attempts.inc({"service": service, "outcome": outcome})

    def note_answer(self, service: str, elapsed_s: float) -> None:
        """Note how long an answer took."""
        self._answer_s.observe({"service": service}, elapsed_s)

    def note_first_event(
        self, service: str, expected_s: float, took_s: float
    ) -> None:
        """Note a stream's first event and what was expected of it."""
        labels = {"service": service}
        self._first_event_s.observe(labels, took_s)
        self._estimate_off_s.observe(labels, max(0.0, took_s - expected_s))

    def note_copy_age(self, step: copy_age.AgeEvent, age_s: float) -> None:
        """Note how old the runners' entries were at a step."""
        self._copy_age_s.observe({"step": step.value}, age_s)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text form."""
        content, _ = renderer.render(self._registry, [])
        return content


def create_metrics() -> ForwardingMetrics:
    """Return metrics in a registry of their own."""
    return ForwardingMetrics(aioprometheus.Registry())
