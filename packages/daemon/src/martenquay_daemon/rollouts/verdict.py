"""Judge a version by what it and the old one answered in the same seconds.

Failures are weighed as they come, by the odds that the version fails more often
by some part, against as often; times by the difference of their logarithms'
means on each route. Both compare with the old version, so that overload, a
greedy team or a cut, which befall both, do not speak against the new one.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_daemon.rollouts import tallies

__all__ = ["Verdict", "judge_trial"]

# A bad version fails by one of these parts more often than the old one; each is
# as likely. Smaller ones need more answers than an order's time brings.
_FAILURE_INCREASES = (0.05, 0.15, 0.5)
# The odds, as a logarithm, at which a version is rolled back while it is
# tried: one good version in a thousand.
_ROLLBACK_LOG_ODDS = math.log(1000.0)
# At the end fewer proofs are asked for: what fails visibly more often is not
# given all requests. One good version in a hundred.
_DOUBT_LOG_ODDS = math.log(100.0)
# One failure may befall any version.
_MIN_FAILURES = 3
# A version is slow that takes so many times as long on some route.
_MIN_SLOWDOWN = 1.8
# That far, in standard errors, the difference has to lie above none. All
# routes are looked at twice a second: at 4 one good version in some thousand is
# taken for slow.
_MIN_Z_SCORE = 4.0
# With fewer times the standard error itself is not known.
_MIN_LATENCY_SAMPLES = 6
# Answers that it takes to call a version good.
_MIN_ANSWERS = 15


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What the answers say.

    Attributes:
        is_bad: The version is surely worse than the old one.
        is_doubtful: It may be worse; not what should get all requests.
        has_enough: There are answers enough to call it good.
        why: The figures, for people.
    """

    is_bad: bool
    is_doubtful: bool
    has_enough: bool
    why: str


def judge_trial(trial: tallies.Trial) -> Verdict:
    """Return what is to be said of a version."""
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
    """Return the log odds that it fails more often, against equally often."""
    # With few answers the old version's rate is not known to be 0.
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
    """Return the log odds of failing so much more often than usual."""
    raised_rate = min(0.95, base_rate + increase)
    good = outcomes.answers - outcomes.failures
    return outcomes.failures * math.log(
        raised_rate / base_rate
    ) + good * math.log((1 - raised_rate) / (1 - base_rate))


def _find_slowest_route(trial: tallies.Trial) -> tuple[str, float]:
    """Return the route with the surest slowness, in standard errors."""
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
    """Return the mean of the logarithms and its standard error."""
    mean = outcomes.log_sum / outcomes.timed
    variance = max(0.0, outcomes.log_squares / outcomes.timed - mean * mean)
    # Times that are alike by chance must not look exact.
    variance = max(variance, 0.05)
    return mean, math.sqrt(variance / (outcomes.timed - 1))
