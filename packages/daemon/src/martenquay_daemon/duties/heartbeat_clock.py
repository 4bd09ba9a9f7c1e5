"""Measure the age of a log record by the runners' heartbeats.

Instances have no common clock, and the log's records carry no time that could
be compared with one. Runners append heartbeats to one topic at a constant
rate, also while no daemon runs, so the growth of that topic tells the time.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import msgspec
import trio

from martenquay_core.serving import positions

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["HeartbeatClock", "HeartbeatMark"]

# Runners that were started together write together, so the number of records
# in a sample is uncertain by one heartbeat of each: 0.5 s.
_SAMPLE_TIME_S = 20.0
_MIN_SAMPLE_S = 8.0


class HeartbeatMark(msgspec.Struct, frozen=True, array_like=True):
    """A point in time, as the runners' topic shows it.

    Attributes:
        end: End offset of the topic.
        runners: Number of runners.
        records_per_s: Records that they append in a second.
    """

    end: int
    runners: int
    records_per_s: float


class HeartbeatClock:
    """Measures the growth of the runners' topic."""

    def __init__(
        self, find_end: Callable[[], int], count_runners: Callable[[], int]
    ) -> None:
        """Create the clock.

        Args:
            find_end: Returns the end of the runners' topic as far as known
                here; -1 before the first read.
            count_runners: Returns the number of runners.
        """
        self._find_end = find_end
        self._count_runners = count_runners
        self._samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def observe(self) -> None:
        """Sample the end of the topic; called every second or so."""
        end = self._find_end()
        if end < 0:
            return
        now = trio.current_time()
        if self._samples and not _is_same_era(self._samples[-1][1], end):
            self.reset()
        self._samples.append((now, end))
        while now - self._samples[0][0] > _SAMPLE_TIME_S:
            self._samples.popleft()

    def reset(self) -> None:
        """Drop the samples, as the end may be outdated from now on."""
        self._samples.clear()

    def create_mark(self) -> HeartbeatMark | None:
        """Return the present as a mark; None if the rate is unknown."""
        if not self._samples:
            return None
        first_at, first = self._samples[0]
        last_at, last = self._samples[-1]
        runners = self._count_runners()
        if last_at - first_at < _MIN_SAMPLE_S or last <= first or not runners:
            return None
        rate = (last - first) / (last_at - first_at)
        return HeartbeatMark(last, runners, round(rate, 3))

    def find_age_s(self, mark: HeartbeatMark) -> float | None:
        """Return the seconds since a mark; None if unknown.

        If the number of runners has changed, the lower number counts, so the
        age is rather too high.
        """
        end = self._find_end()
        grown = end - mark.end
        runners = min(mark.runners, self._count_runners())
        if not _is_same_era(mark.end, end):
            return None
        if grown < 0 or runners <= 0 or not mark.records_per_s > 0:
            return None
        rate = mark.records_per_s * runners / mark.runners
        age_s = grown / rate
        return age_s if math.isfinite(age_s) else None


def _is_same_era(one: int, other: int) -> bool:
    """Return whether the growth between two ends tells a time."""
    return positions.find_era(one) == positions.find_era(other)
