"""Prometheus metrics of the forwarding path.

Labels have few values: services, outcomes, result codes, topics.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import aioprometheus
from aioprometheus import renderer

if TYPE_CHECKING:
    from martenquay_core import results
    from martenquay_daemon.discovery import copy_age

__all__ = ["ForwardingMetrics", "create_metrics"]

_QUOTA_REQUEST_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.2]
_AGE_BUCKETS_S = [0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 8.0]
_LATENCY_BUCKETS_S = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0]


class ForwardingMetrics:
    """Counters and histograms of one daemon.

    Attributes:
        registry: All metrics of the daemon, also those of other parts.
    """

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self.registry = registry
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
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )

        self._first_event_s = aioprometheus.Histogram(
            "martenquay_first_event_seconds",
            "From the sending of a stream's request to its first event.",
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._estimate_error_s = aioprometheus.Histogram(
            "martenquay_first_event_later_than_expected_seconds",
            "By how much first events came later than the estimate; 0 if not.",
            buckets=_LATENCY_BUCKETS_S,
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

        self._crashes = aioprometheus.Counter(
            "martenquay_strikes_total",
            "Requests under which a runner ended without leaving.",
            registry=registry,
        )

        self._runner_signals = aioprometheus.Counter(
            "martenquay_runner_signals_total",
            "Changes of what runners say of themselves, by kind and source.",
            registry=registry,
        )

        self._speed_changes = aioprometheus.Counter(
            "martenquay_runner_outliers_total",
            "Engines found slow (late, overdue) or readmitted, by reason.",
            registry=registry,
        )

        self._quota_request_s = aioprometheus.Histogram(
            "martenquay_units_asked_seconds",
            "What it took to ask another daemon for units, by outcome.",
            buckets=_QUOTA_REQUEST_BUCKETS_S,
            registry=registry,
        )

        self._platform_calls = aioprometheus.Counter(
            "martenquay_platform_calls_total",
            "Calls to the log and the cloud API, by kind, topic and outcome.",
            registry=registry,
        )
        self._stream_moves = aioprometheus.Counter(
            "martenquay_stream_moves_total",
            "Moves of streams off leaving runners, by service and outcome.",
            registry=registry,
        )

        self._resumed_streams = aioprometheus.Counter(
            "martenquay_resumed_streams_total",
            "Streams that callers resume, by service and how the version that"
            " began them was found.",
            registry=registry,
        )
        self._relayed = aioprometheus.Counter(
            "martenquay_relayed_connections_total",
            "Connections to runners through other daemons, by role and result.",
            registry=registry,
        )
        self._lost_paths = aioprometheus.Gauge(
            "martenquay_lost_runner_paths",
            "Runners that only other daemons reach.",
            registry=registry,
        )

    def count_dialed_relay(self, outcome: str) -> None:
        """Count a connection that another daemon should relay, by outcome."""
        self._relayed.inc({"role": "dialer", "outcome": outcome})

    def count_served_relay(self, outcome: str) -> None:
        """Count a connection relayed for another daemon, by outcome."""
        self._relayed.inc({"role": "relay", "outcome": outcome})

    def note_lost_paths(self, count: int) -> None:
        """Set the number of runners that only other daemons reach."""
        self._lost_paths.set({}, count)

    def count_platform_call(self, kind: str, topic: str, outcome: str) -> None:
        """Count a call to the log or the cloud API; topic "" for the latter."""
        self._platform_calls.inc(
            {"call": kind, "topic": topic, "outcome": outcome}
        )

    def count_stream_move(self, service: str, outcome: str) -> None:
        """Count a move of a stream off a leaving runner, by outcome."""
        self._stream_moves.inc({"service": service, "outcome": outcome})

    def count_resumed_stream(self, service: str, outcome: str) -> None:
        """Count a stream that a caller resumes.

        Args:
            service: The service.
            outcome: `any` version, `bound` to one, `unknown` or `gone`.
        """
        self._resumed_streams.inc({"service": service, "outcome": outcome})

    def observe_quota_request(self, outcome: str, took_s: float) -> None:
        """Observe a quota request to another daemon: outcome and duration."""
        self._quota_request_s.observe({"outcome": outcome}, took_s)

    def count_unusable_record(self, topic: str) -> None:
        """Count a log record that could not be decoded or applied."""
        self._unusable_records.inc({"topic": topic})

    def count_crash(self) -> None:
        """Count a request during which its runner crashed."""
        self._crashes.inc({})

    def count_runner_signal(self, signal: str, source: str) -> None:
        """Count a change of a signal that a runner reports about itself."""
        self._runner_signals.inc({"signal": signal, "source": source})

    def count_speed_change(self, runner_id: str, reason: str) -> None:
        """Count an engine found slow or readmitted, by reason."""
        del runner_id
        self._speed_changes.inc({"reason": reason})

    def count_own_answer(self, code: results.ResultCode) -> None:
        """Count an answer that the daemon gave itself, by result code."""
        self._own_answers.inc({"code": str(int(code))})

    def count_attempt(self, service: str, outcome: str) -> None:
        """Count an attempt at a runner, by outcome."""
        self._attempts.inc({"service": service, "outcome": outcome})

    def note_answer(self, service: str, elapsed_s: float) -> None:
        """Observe the time from a request's first byte to its answer's end."""
        self._answer_s.observe({"service": service}, elapsed_s)

    def note_first_event(
        self, service: str, expected_s: float, took_s: float
    ) -> None:
        """Observe the time to a stream's first event and its estimate."""
        labels = {"service": service}
        self._first_event_s.observe(labels, took_s)
        self._estimate_error_s.observe(labels, max(0.0, took_s - expected_s))

    def note_copy_age(self, step: copy_age.AgeEvent, age_s: float) -> None:
        """Observe the age of the runner entries at a propagation step."""
        self._copy_age_s.observe({"step": step.value}, age_s)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = renderer.render(self.registry, [])
        return content


def create_metrics() -> ForwardingMetrics:
    """Return metrics in a new registry."""
    return ForwardingMetrics(aioprometheus.Registry())
