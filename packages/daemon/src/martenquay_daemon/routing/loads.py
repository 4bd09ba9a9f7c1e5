"""Estimate the load of runners from delayed reports and own placements."""

from __future__ import annotations

import collections
import dataclasses

import trio

__all__ = ["LoadBook", "RunnerLoad"]

_DEFAULT_SERVICE_TIME_S = 1.0
_DEFAULT_PREFILL_TOKENS_PER_S = 20_000.0
_DECAY = 0.9


@dataclasses.dataclass
class RunnerLoad:
    """Load of one runner; times are trio's, in seconds.

    Attributes:
        running: Running requests in the last report.
        queued: Queued requests in the last report.
        reported_at: When the last report arrived.
        placed_since: Times of this daemon's placements not in a report yet.
        in_flight: Requests of this daemon at the runner.
        service_s: Mean time of a request.
        prefill_tokens_s: Mean prefill speed in tokens per second.
        is_gone: Whether the runner is no longer listed.
    """

    running: int = 0
    queued: int = 0
    reported_at: float = 0.0
    placed_since: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    in_flight: int = 0
    service_s: float = _DEFAULT_SERVICE_TIME_S
    prefill_tokens_s: float = _DEFAULT_PREFILL_TOKENS_PER_S
    is_gone: bool = False


class LoadBook:
    """Loads of all runners as estimated by this daemon."""

    def __init__(self, lag_s: float = 0.5) -> None:
        self._lag_s = lag_s
        self._loads: dict[str, RunnerLoad] = {}

    def get(self, runner: str) -> RunnerLoad:
        """Return the load of a runner, which is created if unknown."""
        load = self._loads.get(runner)
        if load is None:
            load = self._loads[runner] = RunnerLoad()
        return load

    def note_report(self, runner: str, running: int, queued: int) -> None:
        """Record a report, which omits placements of the last `lag_s`."""
        load = self.get(runner)
        load.running = running
        load.queued = queued
        load.reported_at = trio.current_time()
        reported_until = load.reported_at - self._lag_s
        while load.placed_since and load.placed_since[0] <= reported_until:
            load.placed_since.popleft()

    def note_placed(self, runner: str) -> None:
        """Record a request of this daemon sent to a runner."""
        load = self.get(runner)
        load.in_flight += 1
        load.placed_since.append(trio.current_time())
        if len(load.placed_since) > load.in_flight:
            load.placed_since.popleft()

    def note_done(self, runner: str, service_s: float | None) -> None:
        """Record the end of a request of this daemon."""
        load = self.get(runner)
        load.in_flight -= 1
        while len(load.placed_since) > load.in_flight:
            load.placed_since.popleft()
        if service_s is not None:
            load.service_s = _DECAY * load.service_s + (1 - _DECAY) * service_s
        self._drop_if_idle(runner, load)

    def note_prefill(self, runner: str, tokens: int, seconds: float) -> None:
        """Record the prefill time of a prompt on a runner with a free slot."""
        if tokens <= 0 or seconds <= 0:
            return
        load = self.get(runner)
        rate = tokens / seconds
        load.prefill_tokens_s = (
            _DECAY * load.prefill_tokens_s + (1 - _DECAY) * rate
        )

    def count_ahead(self, runner: str) -> int:
        """Return the estimated number of requests at a runner."""
        load = self.get(runner)
        reported = load.running + load.queued + len(load.placed_since)
        return max(reported, load.in_flight)

    def forget(self, runner: str) -> None:
        """Drop a runner once the requests of this daemon have ended."""
        load = self._loads.get(runner)
        if load is None:
            return
        load.is_gone = True
        self._drop_if_idle(runner, load)

    def _drop_if_idle(self, runner: str, load: RunnerLoad) -> None:
        if load.is_gone and load.in_flight == 0:
            del self._loads[runner]
