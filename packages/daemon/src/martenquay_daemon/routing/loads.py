"""Estimate how busy each runner is from late reports and own placements."""

from __future__ import annotations

import collections
import dataclasses

import trio

__all__ = ["LoadBook", "RunnerLoad"]

_DEFAULT_SERVICE_S = 1.0
_DEFAULT_PREFILL_TOKENS_S = 20_000.0
_DECAY = 0.9


@dataclasses.dataclass
class RunnerLoad:
    """What is known of one runner's load.

    Attributes:
        running: Requests worked on, by the last report.
        queued: Requests waiting there, by the last report.
        reported_at: When that report came, in trio's time.
        placed_since: Own placements since then, as times.
        in_flight: Own requests there now.
        service_s: Mean time of a request there.
        prefill_tokens_s: Measured speed of reading prompts.
        is_gone: The runner is off the list.
    """

    running: int = 0
    queued: int = 0
    reported_at: float = 0.0
    placed_since: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    in_flight: int = 0
    service_s: float = _DEFAULT_SERVICE_S
    prefill_tokens_s: float = _DEFAULT_PREFILL_TOKENS_S
    is_gone: bool = False


class LoadBook:
    """The loads of all runners as this daemon sees them."""

    def __init__(self, lag_s: float = 0.5) -> None:
        self._lag_s = lag_s
        self._loads: dict[str, RunnerLoad] = {}

    def get(self, runner: str) -> RunnerLoad:
        """Return a runner's load."""
        load = self._loads.get(runner)
        if load is None:
            load = self._loads[runner] = RunnerLoad()
        return load

    def note_report(self, runner: str, running: int, queued: int) -> None:
        """Take in a report; it shows the runner as of some time ago."""
        load = self.get(runner)
        load.running = running
        load.queued = queued
        load.reported_at = trio.current_time()
        shown_until = load.reported_at - self._lag_s
        while load.placed_since and load.placed_since[0] <= shown_until:
            load.placed_since.popleft()

    def note_placed(self, runner: str) -> None:
        """Note an own request that goes to a runner."""
        load = self.get(runner)
        load.in_flight += 1
        load.placed_since.append(trio.current_time())
        if len(load.placed_since) > load.in_flight:
            load.placed_since.popleft()

    def note_done(self, runner: str, service_s: float | None) -> None:
        """Note that an own request has left a runner."""
        load = self.get(runner)
        load.in_flight -= 1
        while len(load.placed_since) > load.in_flight:
            load.placed_since.popleft()
        if service_s is not None:
            load.service_s = _DECAY * load.service_s + (1 - _DECAY) * service_s
        self._drop_if_idle(runner, load)

    def note_prefill(self, runner: str, tokens: int, seconds: float) -> None:
        """Note how fast a prompt was read on a runner with a free slot."""
        if tokens <= 0 or seconds <= 0:
            return
        load = self.get(runner)
        rate = tokens / seconds
        load.prefill_tokens_s = (
            _DECAY * load.prefill_tokens_s + (1 - _DECAY) * rate
        )

    def count_ahead(self, runner: str) -> int:
        """Return how many requests are at a runner, as well as is known."""
        load = self.get(runner)
        reported = load.running + load.queued + len(load.placed_since)
        return max(reported, load.in_flight)

    def forget(self, runner: str) -> None:
        """Drop a runner that is gone, once its own requests are done."""
        load = self._loads.get(runner)
        if load is None:
            return
        load.is_gone = True
        self._drop_if_idle(runner, load)

    def _drop_if_idle(self, runner: str, load: RunnerLoad) -> None:
        if load.is_gone and load.in_flight == 0:
            del self._loads[runner]
