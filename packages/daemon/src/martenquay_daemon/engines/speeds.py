"""Estimate each engine's speed relative to the others of its service."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.engines import event_gaps

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["SpeedResult", "SpeedSums", "SpeedTable"]

# Short enough to follow an engine that is replaced or throttled, long enough
# for some results of every engine at one request per engine and second.
_DECAY_TIME_S = 8.0
# Counts like this many results at the service's speed. With 3, the errors of 25
# to 70 daemons made more requests late in replays of equal engines.
_PRIOR_RESULTS = 8.0
# Share of the mean delay beside the prefill that does not depend on the engine,
# such as the network's. The rest is its steps, which a slow engine lengthens.
_FIXED_DELAY_SHARE = 0.5
# Results with this much more work queued ahead than their own are ignored, as
# their time depends on loads that are known late.
_MAX_AHEAD_S = 0.07
# Weight of a first event; that of a gap between later events is 1. A first
# event also depends on queues, which are known late.
_FIRST_EVENT_RESULTS = 0.5
# Bounds the cost of comparing engines; gaps are a fraction of it.
_COMPARE_INTERVAL_S = 0.1
_MIN_RATIO = 0.2
_MAX_RATIO = 5.0
# Less evidence than this is not worth its bytes in gossip.
_MIN_RESULTS = 0.1
# Gossip of a source that is silent for longer no longer counts. Digests and
# reports come every 0.25 to 0.8 s, and four in a row may be lost.
_MAX_SOURCE_AGE_S = 5.0
# Below the evidence of any gossiped entry.
_MIN_TOTAL_RESULTS = 1e-6
# Smaller differences change no choice of engine and are not gossiped.
_MIN_DIFFERENCE = 0.15


@dataclasses.dataclass(frozen=True)
class SpeedResult:
    """Time to the first event of a stream, and the work ahead of it.

    Attributes:
        service: Service of the engine.
        urgency: Priority of the request.
        work_s: Seconds in which an engine of the service's mean speed
            prefills the request and what was queued before it.
        took_s: Seconds from sending the request to the first event.
        own_s: The part of `work_s` for the request's own tokens.
    """

    service: str
    urgency: int
    work_s: float
    took_s: float
    own_s: float = 0.0


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


@dataclasses.dataclass
class _EngineSums:
    """Decaying sums over one engine's results, of this daemon."""

    updated_at: float
    results: float = 0.0
    mean_s: float = 0.0
    took_s: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp((self.updated_at - now) / _DECAY_TIME_S)
        self.updated_at = now
        self.results *= factor
        self.mean_s *= factor
        self.took_s *= factor

    def find_sums(self) -> SpeedSums:
        if self.mean_s <= 0:
            return SpeedSums()
        return SpeedSums(self.results, self.results * self.took_s / self.mean_s)


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
        # Kept up to date, as several speeds are looked up for each request.
        self._others_total: dict[str, SpeedSums] = {}
        self._received_at: dict[str, float] = {}
        self._delays: dict[tuple[str, int], _DelaySums] = {}
        self._gaps = event_gaps.GapTable()
        self._gap_sums: dict[str, SpeedSums] = {}
        self._gaps_compared_at = -math.inf

    def find(self, runner_id: str) -> float:
        """Return an engine's speed relative to its service's; 1 if unknown."""
        total = self._find_own(runner_id)
        gossiped = self._others_total.get(runner_id)
        if gossiped is not None:
            total = total.add(gossiped)
        ratio = total.find_ratio(_PRIOR_RESULTS)
        return ratio if abs(ratio - 1) > _MIN_DIFFERENCE else 1.0

    def find_delay_s(self, service: str, urgency: int) -> float:
        """Return the mean seconds to a first event beyond the prefill."""
        sums = self._delays.get((service, urgency))
        return 0.0 if sums is None else sums.find_mean_s()

    def note_first_event(self, runner_id: str, result: SpeedResult) -> None:
        """Record the first event of a stream that did not wait for a slot."""
        if result.work_s - result.own_s > result.own_s + _MAX_AHEAD_S:
            return
        now = trio.current_time()
        key = result.service, result.urgency
        delays = self._delays.setdefault(key, _DelaySums(now))
        delays.add(now, result.took_s - result.work_s)
        delay_s = delays.find_mean_s()
        fixed_s = _FIXED_DELAY_SHARE * delay_s
        sums = self._own.setdefault(runner_id, _EngineSums(now))
        sums.decay(now)
        sums.results += _FIRST_EVENT_RESULTS
        sums.mean_s += delay_s + result.work_s - fixed_s
        sums.took_s += max(0.0, result.took_s - fixed_s)

    def note_events(
        self,
        service: str,
        runner_id: str,
        window: event_gaps.EventWindow,
        count: int,
        at: float,
    ) -> None:
        """Record later events of a stream, which arrived together."""
        self._gaps.note_events(service, runner_id, window, count, at)

    def forget_runner(self, runner_id: str) -> None:
        """Drop an engine's results, as another process has replaced it."""
        self._own.pop(runner_id, None)
        self._gaps.forget_runner(runner_id)
        self._gap_sums.pop(runner_id, None)
        self._others_total.pop(runner_id, None)
        for source, gossiped in self._others.items():
            self._others[source] = {
                other: sums
                for other, sums in gossiped.items()
                if other != runner_id
            }

    def list_own(self) -> dict[str, SpeedSums]:
        """Return this daemon's sums for the engines that differ, by runner id.

        An engine counts as different by the results of all daemons. If daemons
        chose by their own results, only the largest errors would be gossiped.
        """
        now = trio.current_time()
        for runner_id, sums in list(self._own.items()):
            sums.decay(now)
            if sums.results < _MIN_RESULTS:
                del self._own[runner_id]
        self._compare_gaps(now)
        return {
            runner_id: self._find_own(runner_id)
            for runner_id in self._own.keys() | self._gap_sums.keys()
            if self.find(runner_id) != 1.0
        }

    def replace_source(
        self, source: str, speeds: Mapping[str, SpeedSums]
    ) -> None:
        """Replace the sums gossiped by a source; empty removes it."""
        self._add_total(self._others.pop(source, {}), -1)
        self._received_at.pop(source, None)
        if speeds:
            self._others[source] = speeds
            self._received_at[source] = trio.current_time()
            self._add_total(speeds, 1)

    def forget_sources(self) -> None:
        """Drop all gossiped sums."""
        self._others.clear()
        self._others_total.clear()
        self._received_at.clear()

    def _add_total(self, speeds: Mapping[str, SpeedSums], sign: int) -> None:
        for runner_id, sums in speeds.items():
            total = self._others_total.get(runner_id, SpeedSums())
            total = total.add(sums, sign)
            if total.results < _MIN_TOTAL_RESULTS:
                # Rounding errors of the subtraction may remain.
                self._others_total.pop(runner_id, None)
            else:
                self._others_total[runner_id] = total

    def _find_own(self, runner_id: str) -> SpeedSums:
        now = trio.current_time()
        if now - self._gaps_compared_at > _COMPARE_INTERVAL_S:
            self._compare_gaps(now)
        total = self._gap_sums.get(runner_id, SpeedSums())
        own = self._own.get(runner_id)
        if own is not None:
            own.decay(now)
            total = total.add(own.find_sums())
        return total

    def _drop_expired_sources(self, now: float) -> None:
        for source, received_at in list(self._received_at.items()):
            if now - received_at > _MAX_SOURCE_AGE_S:
                self.replace_source(source, {})

    def _compare_gaps(self, now: float) -> None:
        self._drop_expired_sources(now)
        self._gaps_compared_at = now
        self._gap_sums = {}
        for runner_id, (gaps, ratio) in self._gaps.compare().items():
            self._gap_sums[runner_id] = SpeedSums(gaps, gaps / ratio)
