"""Foresee what callers bring by the time that a runner has booted."""

from __future__ import annotations

import collections
import math

__all__ = ["DemandTrend"]

# The slope is taken over so long: with 2 s arrivals in clumps pass for waves
# more often, with 4 s a rise is believed a second later.
_TREND_WINDOW_S = 3.0
# Arrivals come in clumps, which make the rate jump from look to look. A slope
# is taken for a rise by what it has beyond so many standard errors of that: of
# steady demand a fleet of six then holds 3% more than it takes in place of 33%,
# and on a wave a large one lacks 9% in place of 15% (drawn arrivals).
_SIGNIFICANT_ERRORS = 1.25
# Jumps are remembered over so many looks.
_VARIANCE_SAMPLES = 20
# A zone that is heard again brings its whole demand at once, which is no rise.
_MAX_GROWTH = 2.0


class DemandTrend:
    """The newest rates of one service and where they lead.

    A rate that fades over its memory is behind a steady rise by just that
    memory, and a runner serves one boot later. So on a rise the rate is taken
    on by its slope for both: with a wave of two fifths over 40 s the fading
    rate was 31 to 41% below what callers brought when the runners served, and
    3% below with the slope (two days' arrivals, rates of 8 s, boots of 4 s).
    A falling rate is not taken on: runners are given up late on purpose.
    """

    def __init__(self) -> None:
        self._rates: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # The mean square by which one change of the rate differs from the last.
        self._change_variance = 0.0
        self._last_change = 0.0

    def add_rate(self, now: float, rate: float) -> None:
        """Note the rate now, in tokens a second."""
        if self._rates:
            self._update_variance(rate - self._rates[-1][1])
        self._rates.append((now, rate))
        while now - self._rates[0][0] > _TREND_WINDOW_S:
            self._rates.popleft()

    def forecast_rate(self, horizon_s: float) -> float:
        """Return the rate to expect.

        Args:
            horizon_s: How far to look beyond the rate as noted: its memory and
                the time until what is ordered serves.
        """
        if not self._rates:
            return 0.0
        first_at, first = self._rates[0]
        last_at, last = self._rates[-1]
        if last <= first or last_at <= first_at:
            return last
        rise = last - first - _SIGNIFICANT_ERRORS * self._find_standard_error()
        slope = max(0.0, rise) / (last_at - first_at)
        return min(_MAX_GROWTH * last, last + horizon_s * slope)

    def _update_variance(self, change: float) -> None:
        difference = change - self._last_change
        self._last_change = change
        self._change_variance += (
            difference * difference - self._change_variance
        ) / _VARIANCE_SAMPLES

    def _find_standard_error(self) -> float:
        """Return the standard error of the change over all that is kept.

        A wave's changes from look to look are alike, so what they differ by is
        chance; two looks' chances make up one difference.
        """
        changes = len(self._rates) - 1
        return math.sqrt(changes * self._change_variance / 2)
