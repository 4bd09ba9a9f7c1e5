"""Estimate each engine's speed relative to the others of its service."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["MAX_ENTRIES", "SpeedResult", "SpeedSums", "SpeedTable"]

# Short enough to follow an engine that is replaced or throttled, long enough
# for some results of every engine at one request per engine and second.
_DECAY_TIME_S = 8.0
# Counts like this many results at the service's speed, so that one request
# that waited behind unknown load does not make its engine slow.
_PRIOR_RESULTS = 2.0
# A result with less work than this counts only in proportion: the time of a
# short prefill is mostly network and batching delay.
_FULL_WEIGHT_WORK_S = 0.03
# Results queued behind more work than this depend on loads known late.
_MAX_WORK_S = 1.0
_MIN_RATIO = 0.2
_MAX_RATIO = 5.0
# Less evidence than this is not worth its bytes in gossip.
_MIN_RESULTS = 0.1
# Smaller differences change no choice of engine and are not gossiped.
_MIN_DIFFERENCE = 0.15
# Bounds the bytes of a message.
MAX_ENTRIES = 64


@dataclasses.dataclass(frozen=True)
class SpeedResult:
    """Time to the first event of a stream, and the work ahead of it.

    Attributes:
        service: Service of the engine.
        urgency: Priority of the request.
        work_s: Seconds in which an engine of the service's mean speed
            prefills the request and what was queued before it.
        took_s: Seconds from sending the request to the first event.
    """

    service: str
    urgency: int
    work_s: float
    took_s: float


@dataclasses.dataclass(frozen=True)
class SpeedSums:
    """Evidence on the speed of one engine; sums of several daemons add up.

    Attributes:
        results: Number of results, decayed and weighted by their work.
        durations: Sum over the results of time taken divided by the time
            at the service's speed.
    """

    results: float = 0.0
    durations: float = 0.0

    def add(self, other: SpeedSums, sign: int = 1) -> SpeedSums:
        """Return the sums over both, or the difference with a sign of -1."""
        return SpeedSums(
            self.results + sign * other.results,
            self.durations + sign * other.durations,
        )

    def find_ratio(self, prior_results: float = 0.0) -> float:
        """Return the speed relative to the service's.

        Args:
            prior_results: Number of results at ratio 1 to add.
        """
        durations = self.durations + prior_results
        if durations <= 0:
            return 1.0
        ratio = (self.results + prior_results) / durations
        return min(max(ratio, _MIN_RATIO), _MAX_RATIO)

    def is_notable(self) -> bool:
        """Return whether the speed differs enough to be gossiped."""
        return (
            self.results >= _MIN_RESULTS
            and abs(self.find_ratio() - 1) > _MIN_DIFFERENCE
        )


@dataclasses.dataclass
class _EngineSums:
    """Decaying sums over one engine's results, of this daemon."""

    updated_at: float
    results: float = 0.0
    work_s: float = 0.0
    prefill_s: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp((self.updated_at - now) / _DECAY_TIME_S)
        self.updated_at = now
        self.results *= factor
        self.work_s *= factor
        self.prefill_s *= factor

    def find_sums(self) -> SpeedSums:
        if self.work_s <= 0:
            return SpeedSums()
        return SpeedSums(
            self.results, self.results * self.prefill_s / self.work_s
        )


@dataclasses.dataclass
class _DelaySums:
    """Decaying mean of the time that is no prefill: network and first step."""

    updated_at: float
    results: float = 0.0
    delay_s: float = 0.0

    def add(self, now: float, delay_s: float) -> None:
        factor = math.exp((self.updated_at - now) / _DECAY_TIME_S)
        self.updated_at = now
        self.results = self.results * factor + 1
        self.delay_s = self.delay_s * factor + delay_s

    def find_mean_s(self) -> float:
        return max(0.0, self.delay_s / self.results) if self.results else 0.0


class SpeedTable:
    """Speeds of engines from own results and from gossip.

    One daemon of a large fleet sees less than one result per engine and
    second, so daemons share their sums. A speed is relative to the service's
    mean in `engines.model`, which is weighted by results.
    """

    def __init__(self) -> None:
        self._own: dict[str, _EngineSums] = {}
        self._others: dict[str, Mapping[str, SpeedSums]] = {}
        self._delays: dict[tuple[str, int], _DelaySums] = {}

    def find(self, runner_id: str) -> float:
        """Return an engine's speed relative to its service's; 1 if unknown."""
        total = SpeedSums()
        own = self._own.get(runner_id)
        if own is not None:
            own.decay(trio.current_time())
            total = own.find_sums()
        for gossiped in self._others.values():
            sums = gossiped.get(runner_id)
            if sums is not None:
                total = total.add(sums)
        return total.find_ratio(_PRIOR_RESULTS)

    def find_delay_s(self, service: str, urgency: int) -> float:
        """Return the mean seconds to a first event beyond the prefill."""
        sums = self._delays.get((service, urgency))
        return 0.0 if sums is None else sums.find_mean_s()

    def note_first_event(self, runner_id: str, result: SpeedResult) -> None:
        """Record the first event of a stream that did not wait for a slot."""
        if result.work_s <= 0 or result.work_s > _MAX_WORK_S:
            return
        now = trio.current_time()
        key = result.service, result.urgency
        delays = self._delays.setdefault(key, _DelaySums(now))
        delays.add(now, result.took_s - result.work_s / self.find(runner_id))
        sums = self._own.setdefault(runner_id, _EngineSums(now))
        sums.decay(now)
        sums.results += min(1.0, result.work_s / _FULL_WEIGHT_WORK_S)
        sums.work_s += result.work_s
        sums.prefill_s += max(0.0, result.took_s - delays.find_mean_s())

    def forget_runner(self, runner_id: str) -> None:
        """Drop an engine's results, as another process has replaced it."""
        self._own.pop(runner_id, None)
        for source, gossiped in self._others.items():
            self._others[source] = {
                other: sums
                for other, sums in gossiped.items()
                if other != runner_id
            }

    def list_own(self) -> dict[str, SpeedSums]:
        """Return this daemon's sums by runner id, without gossiped ones."""
        now = trio.current_time()
        for runner_id, sums in list(self._own.items()):
            sums.decay(now)
            if sums.results < _MIN_RESULTS:
                del self._own[runner_id]
        return {
            runner_id: sums.find_sums() for runner_id, sums in self._own.items()
        }

    def replace_source(
        self, source: str, speeds: Mapping[str, SpeedSums]
    ) -> None:
        """Replace the sums gossiped by a source; empty removes it."""
        if speeds:
            self._others[source] = speeds
        else:
            self._others.pop(source, None)

    def forget_sources(self) -> None:
        """Drop all gossiped sums."""
        self._others.clear()
