"""Play an order to its end over drawn answers of an old and a new version."""

from __future__ import annotations

import dataclasses
import random

from martenquay_core.serving import rollouts, runners
from martenquay_daemon.rollouts import (
    plan,
    registry,
    tallies,
    verdict,
    versions,
)
from tests import serving_builders as builders

__all__ = ["Played", "RolloutDay", "Version", "play_day"]

_SERVICE = "model"
_ROUTES = ("r-long", "r-short", "r-chat")
_STEP_S = 0.25
_BOOT_S = 4.0
# Sums of others are so old when the keeper reads them.
_TOLD_S = 0.5
# How answers of one route differ in time: half of them by a factor of two.
_SPREAD = 0.8
_TYPICAL_S = 0.2
_USUAL_FAILURES = 0.01


@dataclasses.dataclass(frozen=True)
class Version:
    """How a new version answers.

    Attributes:
        failures: The part of its answers that are failures beside the usual.
        slowness: How many times as long it takes.
        from_s: It is so from this time after its first answer on.
        routes: The routes on which it is so.
    """

    failures: float = 0.0
    slowness: float = 1.0
    from_s: float = 0.0
    routes: tuple[str, ...] = _ROUTES

    @property
    def is_bad(self) -> bool:
        """Whether it should be rolled back."""
        return self.failures > 0 or self.slowness > 1


@dataclasses.dataclass(frozen=True)
class RolloutDay:
    """An order and what surrounds it.

    Attributes:
        version: The new version.
        daemons: How many share the requests.
        requests_per_s: Over all daemons.
        duration_s: Of the order.
        seed: Of all that is drawn.
        crash_at_s: When something befalls both versions alike; None for
            never.
        crash_failures: The part of all answers that fail for 2 s then.
        restart_at_s: When all daemons start anew; None for never.
    """

    version: Version
    daemons: int = 70
    requests_per_s: float = 65.0
    duration_s: float = 12.0
    seed: int = 1
    crash_at_s: float | None = None
    crash_failures: float = 0.3
    restart_at_s: float | None = None


@dataclasses.dataclass
class Played:
    """What became of an order.

    Attributes:
        phase: How it ended.
        decided_s: When it was decided for good.
        exposed: Requests that the new version got within the order's time.
        requests: All requests within the order's time.
        bad_answers: Failed or slow answers that it gave.
        why: What the keeper said.
    """

    phase: registry.Phase = registry.Phase.CANARY
    decided_s: float = 0.0
    exposed: int = 0
    requests: int = 0
    bad_answers: int = 0
    why: str = ""

    def find_excess(self) -> float:
        """Return by how much the users' bound on exposure is exceeded."""
        return max(0.0, self.exposed - 0.1 * self.requests - 50)


def play_day(day: RolloutDay) -> Played:
    """Play an order; needs a running clock, of which no time is taken."""
    return _Replay(day).play()


class _Replay:
    def __init__(self, day: RolloutDay) -> None:
        self._day = day
        self._rng = random.Random(day.seed)
        self._played = Played()
        self._old = _build_runners("v1")
        self._new = _build_runners("v2")
        self._book = registry.RolloutRegistry()
        order = rollouts.RolloutOrder(_SERVICE, "v2", day.duration_s)
        self._book.apply_order(7, order)
        self._take_step(registry.Phase.CANARY, "")
        self._start_daemons()
        self._told: list[tuple[float, tallies.Trial]] = []
        self._first_new_s: float | None = None
        self._ends: list[float] = []

    def play(self) -> Played:
        step = 0
        while step * _STEP_S < self._day.duration_s:
            now = step * _STEP_S
            if self._day.restart_at_s == now:
                self._start_daemons()
            for _ in range(self._draw_count()):
                self._send(now)
            self._decide(now + _STEP_S)
            step += 1
        return self._played

    def _start_daemons(self) -> None:
        count = self._day.daemons
        self._choosers = [
            versions.VersionChooser(self._book, self._rng, lambda: count)
            for _ in range(count)
        ]
        self._tables = [tallies.TallyTable() for _ in range(count)]

    def _draw_count(self) -> int:
        mean = self._day.requests_per_s * _STEP_S
        return max(0, round(self._rng.gauss(mean, mean**0.5)))

    def _send(self, now: float) -> None:
        number = self._rng.randrange(self._day.daemons)
        usable = [*self._old, *(self._new if now >= _BOOT_S else [])]
        chosen = self._choosers[number].choose(_SERVICE, usable)
        is_new = chosen[0].software == "v2"
        route = self._rng.choice(_ROUTES)
        took_s = self._draw_answer(now, route, is_new=is_new)
        self._played.requests += 1
        self._played.exposed += is_new
        if not is_new:
            self._ends.append(now + 2.0 * self._rng.random())
        if self._choosers[number].has_begun(_SERVICE, 7):
            table = self._tables[number]
            table.note(_SERVICE, 7, route, took_s, is_new=is_new)

    def _draw_answer(
        self, now: float, route: str, *, is_new: bool
    ) -> float | None:
        """Return how long an answer takes; None if it is a failure."""
        failures = _USUAL_FAILURES
        took_s = self._rng.lognormvariate(0.0, _SPREAD) * _TYPICAL_S
        crash_at_s = self._day.crash_at_s
        if crash_at_s is not None and crash_at_s <= now < crash_at_s + 2.0:
            failures += self._day.crash_failures
            took_s *= 3
        version = self._day.version
        if is_new:
            if self._first_new_s is None:
                self._first_new_s = now
            is_on = now >= self._first_new_s + version.from_s
            if is_on and route in version.routes:
                failures += version.failures
                took_s *= version.slowness
                is_failed = self._rng.random() < failures
                self._played.bad_answers += is_failed or version.slowness > 1
                return None if is_failed else took_s
        return None if self._rng.random() < failures else took_s

    def _decide(self, now: float) -> None:
        rollout = self._book.find(_SERVICE)
        assert rollout is not None, "the order was taken"
        total = tallies.Trial(7)
        for table in self._tables:
            total = total.add(table.find(_SERVICE, 7))
        self._told.append((now, total))
        known = [trial for at, trial in self._told if at <= now - _TOLD_S]
        phase, why = plan.decide_step(
            plan.Situation(
                rollout.phase,
                now,
                self._day.duration_s,
                verdict.judge_trial(known[-1] if known else tallies.Trial(7)),
                has_old=True,
                has_new=now >= _BOOT_S,
                old_requests=sum(end > now for end in self._ends),
            )
        )
        if phase is not rollout.phase:
            self._take_step(phase, why)
            self._played.phase = phase
            self._played.decided_s = now
            self._played.why = why

    def _take_step(self, phase: registry.Phase, why: str) -> None:
        refused = ("v2",) if phase is registry.Phase.ROLLED_BACK else ()
        self._book.apply_step(
            registry.Step(_SERVICE, 7, "v2", phase, 0, refused, why)
        )


def _build_runners(version: str) -> list[runners.Runner]:
    return [
        builders.build_runner(
            id=f"{version}-{number}", service=_SERVICE, software=version
        )
        for number in range(3)
    ]
