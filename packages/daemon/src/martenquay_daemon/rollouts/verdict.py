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
_MORE_FAILURES = (0.05, 0.15, 0.5)
# The odds, as a logarithm, at which a version is rolled back while it is
# tried: one good version in a thousand.
_BAD_ODDS = math.log(1000.0)
# At the end fewer proofs are asked for: what fails visibly more often is not
# given all requests. One good version in a hundred.
_DOUBT_ODDS = math.log(100.0)
# One failure may befall any version.
_LEAST_FAILURES = 3
# A version is slow that takes so many times as long on some route.
_SLOWER = 1.8
# That far, in standard errors, the difference has to lie above none. All
# routes are looked at twice a second: at 4 one good version in some thousand is
# taken for slow.
_SURE_ERRORS = 4.0
# With fewer times the standard error itself is not known.
_LEAST_TIMES = 6
# Answers that it takes to call a version good.
_ENOUGH_ANSWERS = 15


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
    odds = _weigh_failures(total)
    slow_route, errors = _find_slowest(trial)
    is_slow = errors > _SURE_ERRORS
    has_failed = total.new.failures >= _LEAST_FAILURES
    why = (
        f"{total.new.failures} of {total.new.answers} failed, "
        f"{total.old.failures} of {total.old.answers} before"
    )
    if is_slow:
        why += f"; slower on {slow_route} by {errors:.1f} standard errors"
    return Verdict(
        is_bad=is_slow or (has_failed and odds > _BAD_ODDS),
        is_doubtful=is_slow or (has_failed and odds > _DOUBT_ODDS),
        has_enough=total.new.answers >= _ENOUGH_ANSWERS,
        why=why,
    )


def _weigh_failures(total: tallies.RouteTally) -> float:
    """Return the log odds that it fails more often, against equally often."""
    # With few answers the old version's rate is not known to be 0.
    usual = (total.old.failures + 0.5) / (total.old.answers + 5.0)
    usual = min(usual, 0.8)
    odds = [_compare(total.new, usual, more) for more in _MORE_FAILURES]
    most = max(odds)
    mean = sum(math.exp(one - most) for one in odds) / len(odds)
    return most + math.log(mean)


def _compare(side: tallies.OutcomeTally, usual: float, more: float) -> float:
    """Return the log odds of failing so much more often than usual."""
    worse = min(0.95, usual + more)
    good = side.answers - side.failures
    return side.failures * math.log(worse / usual) + good * math.log(
        (1 - worse) / (1 - usual)
    )


def _find_slowest(trial: tallies.Trial) -> tuple[str, float]:
    """Return the route with the surest slowness, in standard errors."""
    found = [
        (name, _count_errors(tally)) for name, tally in trial.routes.items()
    ]
    return max(found, key=lambda one: one[1], default=("", 0.0))


def _count_errors(tally: tallies.RouteTally) -> float:
    if min(tally.old.timed, tally.new.timed) < _LEAST_TIMES:
        return 0.0
    old_mean, old_error = _find_mean(tally.old)
    new_mean, new_error = _find_mean(tally.new)
    difference = new_mean - old_mean
    if difference < math.log(_SLOWER):
        return 0.0
    return difference / math.hypot(old_error, new_error)


def _find_mean(side: tallies.OutcomeTally) -> tuple[float, float]:
    """Return the mean of the logarithms and its standard error."""
    mean = side.log_sum / side.timed
    variance = max(0.0, side.log_squares / side.timed - mean * mean)
    # Times that are alike by chance must not look exact.
    variance = max(variance, 0.05)
    return mean, math.sqrt(variance / (side.timed - 1))
