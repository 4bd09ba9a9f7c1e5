"""Forecast a service's prompt token rate for when new runners will serve."""

from __future__ import annotations

import collections
import math

__all__ = ["DemandTrend"]

# A shorter window (2 s) mistakes bursts for trends more often, a longer one (4
# s) reacts a second later.
_TREND_WINDOW_S = 3.0
# A rise counts only beyond this many standard errors, or bursts of arrivals
# would be extrapolated. A fleet of six then holds 3% more than a steady demand
# needs instead of 33%.
_SIGNIFICANT_ERRORS = 1.25
_VARIANCE_SAMPLES = 20
# Fewer samples neither show a trend nor how much the rate varies.
_MIN_SAMPLES = 4
# Bound on the forecast: a zone that reconnects adds its whole demand at once,
# which is no trend.
_MAX_GROWTH = 2.0


class DemandTrend:
    """Extrapolates a rising rate; a falling rate is returned as it is.

    The rate is an exponential average that lags behind a steady rise by its
    decay time, and ordered runners serve only after their boot time.
    Extrapolating the slope over both makes up for the lag.
    """

    def __init__(self) -> None:
        self._rates: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # Mean square of the difference between successive changes of the rate.
        self._change_variance = 0.0
        self._last_change = 0.0

    def add_rate(self, now: float, rate: float) -> None:
        """Add the current rate, in tokens per second."""
        if self._rates:
            self._update_variance(rate - self._rates[-1][1])
        self._rates.append((now, rate))
        while now - self._rates[0][0] > _TREND_WINDOW_S:
            self._rates.popleft()

    def forecast_rate(self, horizon_s: float) -> float:
        """Return the expected rate, in tokens per second.

        Args:
            horizon_s: Decay time of the averaged rate plus the time until
                ordered runners serve.
        """
        if not self._rates:
            return 0.0
        first_at, first = self._rates[0]
        last_at, last = self._rates[-1]
        if last <= first or len(self._rates) < _MIN_SAMPLES:
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
        """Return the standard error of the change over the window.

        Successive changes of a trend are alike, so their differences are noise;
        each difference holds the noise of two samples.
        """
        changes = len(self._rates) - 1
        return math.sqrt(changes * self._change_variance / 2)
