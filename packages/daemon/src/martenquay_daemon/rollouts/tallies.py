"""Count what a new version and the old one answer, over all daemons."""

from __future__ import annotations

import dataclasses
import math

__all__ = ["RouteTally", "OutcomeTally", "TallyTable", "Trial"]

# What took no time that could be measured.
_LEAST_S = 0.001


@dataclasses.dataclass(frozen=True)
class OutcomeTally:
    """What runners of one version, or of all others, answered.

    Times are counted by their logarithms: a version that is several times
    slower is so for short answers and long ones.

    Attributes:
        answers: Requests that were answered or broke off.
        failures: Of these, those that failed.
        timed: Good answers whose time was taken.
        log_sum: Sum of the logarithms of their times in seconds.
        log_squares: Sum of the squares of these.
    """

    answers: int = 0
    failures: int = 0
    timed: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    def add(self, other: OutcomeTally) -> OutcomeTally:
        """Return both together."""
        return OutcomeTally(
            self.answers + other.answers,
            self.failures + other.failures,
            self.timed + other.timed,
            self.log_sum + other.log_sum,
            self.log_squares + other.log_squares,
        )

    def note(self, took_s: float | None) -> OutcomeTally:
        """Return it with one answer more.

        Args:
            took_s: Until its first event, or its end; None if it failed.
        """
        if took_s is None:
            return self.add(OutcomeTally(1, 1))
        taken = math.log(max(_LEAST_S, took_s))
        return self.add(OutcomeTally(1, 0, 1, taken, taken * taken))


@dataclasses.dataclass(frozen=True)
class RouteTally:
    """What was answered on one route.

    Attributes:
        old: By runners of the versions before.
        new: By those of the version on trial.
    """

    old: OutcomeTally = OutcomeTally()
    new: OutcomeTally = OutcomeTally()

    def add(self, other: RouteTally) -> RouteTally:
        """Return both together."""
        return RouteTally(self.old.add(other.old), self.new.add(other.new))


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is known of one order's version.

    Attributes:
        order: The order's offset.
        routes: By route.
    """

    order: int
    routes: dict[str, RouteTally] = dataclasses.field(default_factory=dict)

    def add(self, other: Trial) -> Trial:
        """Return both together; of another order nothing is taken."""
        if other.order != self.order:
            return self
        routes = dict(self.routes)
        for name, tally in other.routes.items():
            routes[name] = routes.get(name, RouteTally()).add(tally)
        return Trial(self.order, routes)

    def find_total(self) -> RouteTally:
        """Return all routes together."""
        total = RouteTally()
        for tally in self.routes.values():
            total = total.add(tally)
        return total


class TallyTable:
    """Trials by service: this daemon's own and what others have told."""

    def __init__(self) -> None:
        self._own: dict[str, Trial] = {}
        self._others: dict[str, dict[str, Trial]] = {}

    def note(
        self,
        service: str,
        order: int,
        route: str,
        took_s: float | None,
        *,
        is_new: bool,
    ) -> None:
        """Note one answer.

        Args:
            service: Whose runner gave it.
            order: The offset of the order that is open.
            route: The request's route.
            took_s: Until its first event, or its end; None if it failed.
            is_new: The runner has the version on trial.
        """
        trial = self._own.get(service)
        if trial is None or trial.order != order:
            trial = Trial(order)
        side = OutcomeTally().note(took_s)
        tally = RouteTally(new=side) if is_new else RouteTally(old=side)
        self._own[service] = trial.add(Trial(order, {route: tally}))

    def list_own(self) -> dict[str, Trial]:
        """Return this daemon's own trials."""
        return self._own

    def forget(self, service: str) -> None:
        """Drop what this daemon has counted of a decided order."""
        self._own.pop(service, None)

    def replace_source(self, source: str, trials: dict[str, Trial]) -> None:
        """Replace what one source has told of others; empty if it is gone."""
        if trials:
            self._others[source] = trials
        else:
            self._others.pop(source, None)

    def forget_sources(self) -> None:
        """Forget all that was told of others."""
        self._others.clear()

    def find(self, service: str, order: int) -> Trial:
        """Return what all daemons know of an order's version."""
        total = Trial(order)
        for trials in [self._own, *self._others.values()]:
            if service in trials:
                total = total.add(trials[service])
        return total
