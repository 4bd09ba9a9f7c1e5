"""Count results of canary trials, by route and version, over all daemons."""

from __future__ import annotations

import dataclasses
import math

__all__ = ["OutcomeTally", "RouteTally", "TallyTable", "Trial"]

# Keeps the logarithm of a zero latency finite.
_MIN_LATENCY_S = 0.001


@dataclasses.dataclass(frozen=True)
class OutcomeTally:
    """Results of the new version's runners, or of all others.

    Latencies are summed as logarithms, since a slow version is slower by a
    factor, for short answers and for long ones.

    Attributes:
        answers: Requests that were answered or broke off.
        failures: Failed requests among them.
        timed: Successful answers with a latency.
        log_sum: Sum of the logarithms of their latencies in seconds.
        log_squares: Sum of the squared logarithms.
    """

    answers: int = 0
    failures: int = 0
    timed: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    def add(self, other: OutcomeTally) -> OutcomeTally:
        """Return the sum of both."""
        return OutcomeTally(
            self.answers + other.answers,
            self.failures + other.failures,
            self.timed + other.timed,
            self.log_sum + other.log_sum,
            self.log_squares + other.log_squares,
        )

    def with_answer(self, latency_s: float | None) -> OutcomeTally:
        """Return the tally with one more answer.

        Args:
            latency_s: Time to the first event or the end; None for a failure.
        """
        if latency_s is None:
            return self.add(OutcomeTally(1, 1))
        log_latency = math.log(max(_MIN_LATENCY_S, latency_s))
        return self.add(
            OutcomeTally(1, 0, 1, log_latency, log_latency * log_latency)
        )


@dataclasses.dataclass(frozen=True)
class RouteTally:
    """Results on one route.

    Attributes:
        old: Results of runners of other versions.
        new: Results of runners of the new version.
    """

    old: OutcomeTally = OutcomeTally()
    new: OutcomeTally = OutcomeTally()

    def add(self, other: RouteTally) -> RouteTally:
        """Return the sum of both."""
        return RouteTally(self.old.add(other.old), self.new.add(other.new))


@dataclasses.dataclass(frozen=True)
class Trial:
    """Results of one order's canary trial.

    Attributes:
        order: Offset of the order.
        routes: Results by route.
    """

    order: int
    routes: dict[str, RouteTally] = dataclasses.field(default_factory=dict)

    def add(self, other: Trial) -> Trial:
        """Return the sum of both; another order's trial is ignored."""
        if other.order != self.order:
            return self
        routes = dict(self.routes)
        for name, tally in other.routes.items():
            routes[name] = routes.get(name, RouteTally()).add(tally)
        return Trial(self.order, routes)

    def find_total(self) -> RouteTally:
        """Return the sum over all routes."""
        total = RouteTally()
        for tally in self.routes.values():
            total = total.add(tally)
        return total


class TallyTable:
    """Canary trials by service: own results and those gossiped."""

    def __init__(self) -> None:
        self._own: dict[str, Trial] = {}
        self._others: dict[str, dict[str, Trial]] = {}

    def note(
        self,
        service: str,
        order: int,
        route: str,
        latency_s: float | None,
        *,
        is_new: bool,
    ) -> None:
        """Count one answer.

        Args:
            service: The service whose runner answered.
            order: Offset of the open order.
            route: The request's route.
            latency_s: Time to the first event or the end; None for a failure.
            is_new: The runner has the new version.
        """
        trial = self._own.get(service)
        if trial is None or trial.order != order:
            trial = Trial(order)
        outcome = OutcomeTally().with_answer(latency_s)
        tally = RouteTally(new=outcome) if is_new else RouteTally(old=outcome)
        self._own[service] = trial.add(Trial(order, {route: tally}))

    def list_own(self) -> dict[str, Trial]:
        """Return this daemon's own trials."""
        return self._own

    def forget(self, service: str) -> None:
        """Drop this daemon's own results of a decided order."""
        self._own.pop(service, None)

    def replace_source(self, source: str, trials: dict[str, Trial]) -> None:
        """Replace the trials that a source gossiped; drop them if empty."""
        if trials:
            self._others[source] = trials
        else:
            self._others.pop(source, None)

    def forget_sources(self) -> None:
        """Drop all gossiped trials."""
        self._others.clear()

    def find(self, service: str, order: int) -> Trial:
        """Return the results of all daemons for an order."""
        total = Trial(order)
        for trials in [self._own, *self._others.values()]:
            if service in trials:
                total = total.add(trials[service])
        return total
