"""Simulate rollouts over drawn answers of an old and a new version."""

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

__all__ = ["RolloutOutcome", "RolloutScenario", "Version", "simulate_rollout"]

_SERVICE = "model"
_ROUTES = ("r-long", "r-short", "r-chat")
_STEP_S = 0.25
_BOOT_S = 4.0
# Age of the gossiped tallies when the controller reads them.
_GOSSIP_DELAY_S = 0.5
# Standard deviation of the log latencies.
_LATENCY_SIGMA = 0.8
_MEDIAN_LATENCY_S = 0.2
_BASE_FAILURE_RATE = 0.01


@dataclasses.dataclass(frozen=True)
class Version:
    """How the new version differs from the old one.

    Attributes:
        failures: Fraction of answers that fail in addition to the base rate.
        slowness: Factor on the latency.
        from_s: Time from its first answer until it differs.
        routes: Routes on which it differs.
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
class RolloutScenario:
    """An order and its surroundings.

    Attributes:
        version: The new version.
        daemons: Number of daemons that share the requests.
        requests_per_s: Request rate over all daemons.
        duration_s: Duration of the order.
        seed: Seed of all draws.
        crash_at_s: Start of 2 s in which both versions fail and are slow; None
            for never.
        crash_failures: Fraction of answers that fail in addition then.
        restart_at_s: When all daemons restart; None for never.
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
class RolloutOutcome:
    """Outcome of a simulated rollout.

    Attributes:
        phase: The last phase.
        decided_s: When the last phase began.
        canary_requests: Requests sent to the new version while the order ran.
        requests: All requests while the order ran.
        bad_answers: Failed or slow answers of the new version.
        why: The controller's reason.
    """

    phase: registry.Phase = registry.Phase.CANARY
    decided_s: float = 0.0
    canary_requests: int = 0
    requests: int = 0
    bad_answers: int = 0
    why: str = ""

    def find_excess(self) -> float:
        """Return the requests beyond the bound on canary requests."""
        return max(0.0, self.canary_requests - 0.1 * self.requests - 50)


def simulate_rollout(scenario: RolloutScenario) -> RolloutOutcome:
    """Simulate a rollout; needs a trio clock but takes no time of it."""
    return _Simulation(scenario).run()


class _Simulation:
    def __init__(self, scenario: RolloutScenario) -> None:
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._outcome = RolloutOutcome()
        self._old = _build_runners("v1")
        self._new = _build_runners("v2")
        self._registry = registry.RolloutRegistry()
        order = rollouts.RolloutOrder(_SERVICE, "v2", scenario.duration_s)
        self._registry.apply_order(7, order)
        self._apply_step(registry.Phase.CANARY, "")
        self._start_daemons()
        self._gossiped: list[tuple[float, tallies.Trial]] = []
        self._first_new_s: float | None = None
        self._old_requests_end_at: list[float] = []

    def run(self) -> RolloutOutcome:
        step = 0
        while step * _STEP_S < self._scenario.duration_s:
            now = step * _STEP_S
            if self._scenario.restart_at_s == now:
                self._start_daemons()
            for _ in range(self._draw_count()):
                self._send_request(now)
            self._decide(now + _STEP_S)
            step += 1
        return self._outcome

    def _start_daemons(self) -> None:
        count = self._scenario.daemons
        self._choosers = [
            versions.VersionChooser(self._registry, self._rng, lambda: count)
            for _ in range(count)
        ]
        self._tables = [tallies.TallyTable() for _ in range(count)]

    def _draw_count(self) -> int:
        mean = self._scenario.requests_per_s * _STEP_S
        return max(0, round(self._rng.gauss(mean, mean**0.5)))

    def _send_request(self, now: float) -> None:
        number = self._rng.randrange(self._scenario.daemons)
        usable = [*self._old, *(self._new if now >= _BOOT_S else [])]
        chosen = self._choosers[number].choose(_SERVICE, usable)
        is_new = chosen[0].software == "v2"
        route = self._rng.choice(_ROUTES)
        latency_s = self._draw_answer(now, route, is_new=is_new)
        self._outcome.requests += 1
        self._outcome.canary_requests += is_new
        if not is_new:
            self._old_requests_end_at.append(now + 2.0 * self._rng.random())
        if self._choosers[number].has_seen_canary(_SERVICE, 7):
            table = self._tables[number]
            table.note(_SERVICE, 7, route, latency_s, is_new=is_new)

    def _draw_answer(
        self, now: float, route: str, *, is_new: bool
    ) -> float | None:
        """Return how long an answer takes; None if it is a failure."""
        failures = _BASE_FAILURE_RATE
        latency_s = (
            self._rng.lognormvariate(0.0, _LATENCY_SIGMA) * _MEDIAN_LATENCY_S
        )
        crash_at_s = self._scenario.crash_at_s
        if crash_at_s is not None and crash_at_s <= now < crash_at_s + 2.0:
            failures += self._scenario.crash_failures
            latency_s *= 3
        version = self._scenario.version
        if is_new:
            if self._first_new_s is None:
                self._first_new_s = now
            is_on = now >= self._first_new_s + version.from_s
            if is_on and route in version.routes:
                failures += version.failures
                latency_s *= version.slowness
                is_failed = self._rng.random() < failures
                self._outcome.bad_answers += is_failed or version.slowness > 1
                return None if is_failed else latency_s
        return None if self._rng.random() < failures else latency_s

    def _decide(self, now: float) -> None:
        rollout = self._registry.find(_SERVICE)
        assert rollout is not None, "the order was taken"
        total = tallies.Trial(7)
        for table in self._tables:
            total = total.add(table.find(_SERVICE, 7))
        self._gossiped.append((now, total))
        known = [
            trial for at, trial in self._gossiped if at <= now - _GOSSIP_DELAY_S
        ]
        phase, why = plan.decide_phase(
            plan.RolloutProgress(
                rollout.phase,
                now,
                self._scenario.duration_s,
                verdict.judge_trial(known[-1] if known else tallies.Trial(7)),
                has_old=True,
                has_new=now >= _BOOT_S,
                old_requests=sum(
                    end > now for end in self._old_requests_end_at
                ),
            )
        )
        if phase is not rollout.phase:
            self._apply_step(phase, why)
            self._outcome.phase = phase
            self._outcome.decided_s = now
            self._outcome.why = why

    def _apply_step(self, phase: registry.Phase, why: str) -> None:
        refused = ("v2",) if phase is registry.Phase.ROLLED_BACK else ()
        self._registry.apply_step(
            registry.Step(_SERVICE, 7, "v2", phase, 0, refused, why)
        )


def _build_runners(version: str) -> list[runners.Runner]:
    return [
        builders.build_runner(
            id=f"{version}-{number}", service=_SERVICE, software=version
        )
        for number in range(3)
    ]
