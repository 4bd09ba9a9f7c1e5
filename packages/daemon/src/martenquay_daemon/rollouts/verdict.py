"""Compare the results of a new version with those of the old ones.

Failures are compared by the odds that the new version fails more often, and
latencies by the difference of the mean logarithms on each route. Both compare
answers of the same period, so that overload or an outage, which affect both
versions, don't count against the new one.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_daemon.rollouts import tallies

__all__ = ["Verdict", "judge_trial"]

# Increases of the failure rate to test for, with equal prior probability.
_FAILURE_INCREASES = (0.05, 0.15, 0.5)
# Odds to roll back during the trial: one good version in a thousand.
_ROLLBACK_LOG_ODDS = math.log(1000.0)
# Odds to roll back at the end of the trial, where a switch would expose all
# callers: one good version in a hundred.
_DOUBT_LOG_ODDS = math.log(100.0)
_MIN_FAILURES = 3
# Factor by which the mean latency on some route must rise.
_MIN_SLOWDOWN = 1.8
# High, since every route is tested many times per trial.
_MIN_Z_SCORE = 4.0
# With fewer samples the standard error is unreliable.
_MIN_LATENCY_SAMPLES = 6
_MIN_ANSWERS = 15


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Result of the comparison.

    Attributes:
        is_bad: The new version is certainly worse.
        is_doubtful: It may be worse and must not get all requests.
        has_enough: There are enough answers to accept it.
        why: The figures, for operators.
    """

    is_bad: bool
    is_doubtful: bool
    has_enough: bool
    why: str


def judge_trial(trial: tallies.Trial) -> Verdict:
    """Return the verdict on a new version."""
    total = trial.find_total()
    odds = _find_failure_log_odds(total)
    slow_route, z_score = _find_slowest_route(trial)
    is_slow = z_score > _MIN_Z_SCORE
    has_failed = total.new.failures >= _MIN_FAILURES
    why = (
        f"{total.new.failures} of {total.new.answers} failed, "
        f"{total.old.failures} of {total.old.answers} before"
    )
    if is_slow:
        why += f"; slower on {slow_route} by {z_score:.1f} standard errors"
    return Verdict(
        is_bad=is_slow or (has_failed and odds > _ROLLBACK_LOG_ODDS),
        is_doubtful=is_slow or (has_failed and odds > _DOUBT_LOG_ODDS),
        has_enough=total.new.answers >= _MIN_ANSWERS,
        why=why,
    )


def _find_failure_log_odds(total: tallies.RouteTally) -> float:
    """Return the log odds that the new version fails more often."""
    # Pseudo-counts keep the rate above 0 while there are few answers.
    base_rate = (total.old.failures + 0.5) / (total.old.answers + 5.0)
    base_rate = min(base_rate, 0.8)
    odds = [
        _find_log_likelihood_ratio(total.new, base_rate, increase)
        for increase in _FAILURE_INCREASES
    ]
    max_odds = max(odds)
    mean = sum(math.exp(one - max_odds) for one in odds) / len(odds)
    return max_odds + math.log(mean)


def _find_log_likelihood_ratio(
    outcomes: tallies.OutcomeTally, base_rate: float, increase: float
) -> float:
    """Return the log likelihood ratio of the raised to the base rate."""
    raised_rate = min(0.95, base_rate + increase)
    good = outcomes.answers - outcomes.failures
    return outcomes.failures * math.log(
        raised_rate / base_rate
    ) + good * math.log((1 - raised_rate) / (1 - base_rate))


def _find_slowest_route(trial: tallies.Trial) -> tuple[str, float]:
    """Return the route with the most significant slowdown and its z-score."""
    z_scores = [
        (name, _find_slowdown_z_score(tally))
        for name, tally in trial.routes.items()
    ]
    return max(z_scores, key=lambda one: one[1], default=("", 0.0))


def _find_slowdown_z_score(tally: tallies.RouteTally) -> float:
    if min(tally.old.timed, tally.new.timed) < _MIN_LATENCY_SAMPLES:
        return 0.0
    old_mean, old_error = _find_log_mean(tally.old)
    new_mean, new_error = _find_log_mean(tally.new)
    difference = new_mean - old_mean
    if difference < math.log(_MIN_SLOWDOWN):
        return 0.0
    return difference / math.hypot(old_error, new_error)


def _find_log_mean(outcomes: tallies.OutcomeTally) -> tuple[float, float]:
    """Return the mean log latency and its standard error."""
    mean = outcomes.log_sum / outcomes.timed
    variance = max(0.0, outcomes.log_squares / outcomes.timed - mean * mean)
    # Similar latencies by chance must not make the error vanish.
    variance = max(variance, 0.05)
    return mean, math.sqrt(variance / (outcomes.timed - 1))
