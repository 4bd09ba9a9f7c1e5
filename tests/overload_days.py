"""Replay loads over the capacity of engines on daemons with old reports.

Callers, engines and gossip are simulated; the gate, the placer and the ledgers
are the daemon's own.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from typing import TYPE_CHECKING

import trio

from tests import overload_fleet, queue_engine

if TYPE_CHECKING:
    from collections.abc import Callable


__all__ = ["KINDS_A", "KINDS_B", "Kind", "OverloadDay", "Outcome", "play_day"]

# A caller's value is lowered by this share of it when it is rejected twice.
_TWICE_COST = 0.3
_IMPATIENT_DELAY_S = 0.005
_BURST_S = 0.02
_TEAMS = 16
_LARGE_TEAMS = 3
_GOSSIP_S = 0.25


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request, as in the deployments of the design page.

    Attributes:
        name: Name of its route.
        urgency: Priority at the engines.
        rate: Requests per second at the usual load.
        tokens: Mean uncached prompt tokens.
        hold_s: Seconds in a slot after the first event.
        target_s: Target time to the first event.
        deadline_s: Time after which the caller leaves.
        value: Value of an answer on time.
        late_value: Value of a late answer.
    """

    name: str
    urgency: int
    rate: float
    tokens: int
    hold_s: float
    target_s: float
    deadline_s: float
    value: float
    late_value: float


KINDS_A = (
    Kind("chat", 0, 76.7, 628, 0.85, 0.619, 12.4, 1.9, 0.19),
    Kind("draft", 1, 46.6, 6610, 1.11, 1.245, 15.6, 4.5, 0.45),
    Kind("tag", 2, 67.9, 1800, 0.06, 0.622, 3.1, 0.49, 0.049),
)
KINDS_B = (
    Kind("chat", 0, 37.5, 628, 0.98, 0.419, 10.5, 5.4, 0.22),
    Kind("check", 1, 137.0, 1800, 0.09, 0.522, 2.6, 0.32, 0.032),
    Kind("draft", 2, 70.5, 6610, 1.29, 1.545, 12.4, 2.1, 0.31),
)


@dataclasses.dataclass(frozen=True)
class OverloadDay:
    """Parameters of a replay.

    Attributes:
        load: Demand as a multiple of the engines' prefill speed.
        kinds: The kinds of request.
        engines: Number of engines at the start.
        slots: Slots of an engine.
        daemons: Number of daemons.
        length_s: Seconds in which requests arrive.
        burst: Requests that arrive together.
        burst_until_s: When the load falls to `calm_load`.
        calm_load: Load after that.
        greedy: Multiple of its usual rate that the first team sends.
        impatient: Share of the callers that retry at once.
        lost_at_s: When half of the engines leave; 0 for never.
        is_gated: Whether the overload gate decides, and not the deadline.
        seed: Seed of the random generator.
    """

    load: float
    kinds: tuple[Kind, ...] = KINDS_A
    engines: int = 8
    slots: int = 64
    daemons: int = 24
    length_s: float = 12.0
    burst: int = 1
    burst_until_s: float = 1e9
    calm_load: float = 0.5
    greedy: float = 1.0
    impatient: float = 1 / 3
    lost_at_s: float = 0.0
    is_gated: bool = True
    seed: int = 1


@dataclasses.dataclass
class Asking:
    """One caller's request over its tries.

    Attributes:
        kind: What is asked for.
        team: Name of its team.
        tokens: Uncached prompt tokens.
        began_at: When its first try arrived.
        zone: Number of the zone where it arrives.
        tries: Number of tries so far.
        tried_at: When the last try arrived.
        result: `on time`, `late`, `lost` or `rejected`.
        retry_after_s: What the first rejection asked for.
    """

    kind: Kind
    team: str
    tokens: int
    began_at: float
    zone: int = 0
    tries: int = 0
    tried_at: float = 0.0
    result: str = "lost"
    retry_after_s: float = 0.0

    def find_value(self) -> float:
        """Return what the outcome is worth to the caller."""
        kind = self.kind
        match self.result:
            case "on time" if self.tries > 1:
                return (kind.value + kind.late_value) / 2
            case "on time":
                return kind.value
            case "late":
                return kind.late_value
            case "rejected":
                return -_TWICE_COST * kind.value
            case _:
                return 0.0


@dataclasses.dataclass
class Outcome:
    """All requests of a replay, with their results."""

    asked: list[Asking] = dataclasses.field(default_factory=list)
    idle_rejections: int = 0

    def find_value(self) -> float:
        """Return the value of all as a share of that of all on time."""
        best = sum(one.kind.value for one in self.asked)
        return sum(one.find_value() for one in self.asked) / best

    def find_share(
        self, *results: str, choose: Callable[[Asking], bool] = lambda _: True
    ) -> float:
        """Return the share of chosen requests that have one of the results."""
        chosen = [one for one in self.asked if choose(one)]
        found = sum(one.result in results for one in chosen)
        return found / max(1, len(chosen))

    def find_served(self, choose: Callable[[Asking], bool]) -> float:
        """Return the share of chosen requests that were answered."""
        return self.find_share("on time", "late", choose=choose)


async def play_day(day: OverloadDay) -> Outcome:
    """Run a replay; needs an autojumping clock."""
    return await _Replay(day).play()


class _Replay:
    def __init__(self, day: OverloadDay) -> None:
        self._day = day
        self._rng = random.Random(day.seed)
        self._fleet = overload_fleet.OverloadFleet(
            day.kinds,
            [f"t-{number}" for number in range(_TEAMS)],
            day.engines,
            day.slots,
            day.daemons,
            is_gated=day.is_gated,
            seed=day.seed,
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._outcome = Outcome()
        self._start = 0.0

    async def play(self) -> Outcome:
        self._start = trio.current_time()
        for due_s, arrive in self._draw_arrivals():
            self._at(self._start + due_s, arrive)
        end = self._start + self._day.length_s + 16.0
        self._at(self._start, lambda: self._gossip(end))
        if self._day.lost_at_s:
            self._at(self._start + self._day.lost_at_s, self._lose_engines)
        while self._events:
            due, _, act = heapq.heappop(self._events)
            await trio.sleep_until(due)
            act()
        return self._outcome

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act))

    def _gossip(self, end: float) -> None:
        """Take all loads now and apply them one interval later."""
        now = trio.current_time()
        apply = self._fleet.take_loads()
        self._at(now + _GOSSIP_S, apply)
        if now < end:
            self._at(now + _GOSSIP_S, lambda: self._gossip(end))

    def _draw_arrivals(self) -> list[tuple[float, Callable[[], None]]]:
        day = self._day
        usual = sum(kind.rate * kind.tokens for kind in day.kinds)
        capacity = day.engines * queue_engine.PREFILL_TOKENS_PER_S
        weights = [6.0] * _LARGE_TEAMS + [1.0] * (_TEAMS - _LARGE_TEAMS)
        weights[0] *= day.greedy
        names = [f"t-{number}" for number in range(_TEAMS)]
        arrivals = []
        for kind in day.kinds:
            due_s = 0.0
            while due_s < day.length_s:
                is_calm = due_s > day.burst_until_s
                load = day.calm_load if is_calm else day.load
                rate = kind.rate * load * capacity / usual
                due_s += self._rng.expovariate(rate / day.burst)
                for _ in range(day.burst):
                    asking = Asking(
                        kind,
                        self._rng.choices(names, weights)[0],
                        self._draw_tokens(kind.tokens),
                        self._start + due_s,
                        self._rng.randrange(4),
                    )
                    self._outcome.asked.append(asking)
                    at = due_s + _BURST_S * self._rng.random()
                    arrivals.append((at, lambda one=asking: self._try(one)))
        return arrivals

    def _draw_tokens(self, mean: int) -> int:
        return round(mean * (0.5 + min(4.0, self._rng.expovariate(2.0))))

    def _try(self, asking: Asking) -> None:
        now = trio.current_time()
        if not asking.tries:
            asking.began_at = now
        asking.tries += 1
        asking.tried_at = now
        remaining_s = asking.began_at + asking.kind.deadline_s - now
        daemon = self._fleet.choose_daemon(self._rng, asking.zone)
        rejected = daemon.admit(asking, remaining_s)
        if rejected is None:
            self._serve(daemon, asking)
            return
        self._outcome.idle_rejections += self._fleet.is_idle()
        if asking.tries > 1:
            asking.result = "rejected"
            return
        asking.retry_after_s = rejected
        wait_s = min(rejected, remaining_s / 3)
        if self._rng.random() < self._day.impatient:
            wait_s = _IMPATIENT_DELAY_S
        self._at(now + wait_s, lambda: self._try(asking))

    def _serve(self, daemon: overload_fleet.Daemon, asking: Asking) -> None:
        deadline = asking.began_at + asking.kind.deadline_s

        def note_first() -> None:
            took_s = trio.current_time() - asking.tried_at
            is_late = took_s > asking.kind.target_s
            asking.result = "late" if is_late else "on time"

        job = daemon.submit(asking, self._at, note_first)
        self._at(deadline, job.give_up)

    def _lose_engines(self) -> None:
        for job in self._fleet.lose_half():
            job.move()
