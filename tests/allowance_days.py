"""Simulate daemons that share an allowance while faults occur."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
import random

import trio
import trio.testing

from tests import allowance_fleet

__all__ = [
    "Day",
    "Played",
    "draw_day",
    "draw_replacements",
    "find_most_spent",
    "play_day",
]

_STEP_S = 0.05
_MESSAGE_INTERVAL_S = 0.25
_LOG_READ_INTERVAL_S = 1.0
_WARM_UP_S = 9.0
# Units per request: plain calls, short and long prompts.
_SIZES = (1.0, 200.0, 1_150.0, 1_735.0, 8_000.0, 13_000.0, 26_000.0)
_WEIGHTS = (15, 20, 25, 25, 15, 4, 1)
_MEAN_SIZE = sum(s * w for s, w in zip(_SIZES, _WEIGHTS, strict=True)) / sum(
    _WEIGHTS
)


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A fault that affects some instances for some time.

    Attributes:
        kind: "cut" (partition), "kill", "freeze" (pause), "join" (instances
            are added), "late" (slow and lossy links) or "log" (unreachable).
        at_s: When it begins.
        until_s: When it ends; for a kill, when the process is restarted.
        instances: The affected instances; for a cut, one side of it.
    """

    kind: str
    at_s: float
    until_s: float
    instances: frozenset[str]

    def hits(self, kind: str, instance: str, now: float) -> bool:
        """Return whether a fault of this kind affects an instance now."""
        is_on = self.at_s <= now < self.until_s
        return is_on and self.kind == kind and instance in self.instances

    def has_started(self, now: float) -> bool:
        """Return whether it has started its instances' processes."""
        return self.kind in {"kill", "join"} and now >= self.until_s


@dataclasses.dataclass(frozen=True)
class Day:
    """A scenario drawn from a seed.

    Attributes:
        seed: The seed.
        instances: The instances that run at the start.
        troubles: The faults.
        demand: The team's demand from `greedy_s` on, as a multiple of its rate.
        greedy_s: When the demand rises.
        length_s: When the simulation ends.
        shares: Weights by which requests are distributed over instances.
    """

    seed: int
    instances: tuple[str, ...]
    troubles: tuple[Trouble, ...]
    demand: float
    greedy_s: float
    length_s: float
    shares: dict[str, float]


def draw_day(seed: int) -> Day:
    """Return the scenario of a seed."""
    rng = random.Random(seed)
    names = tuple(f"entry-{n}" for n in range(rng.randint(2, 8)))
    joining = tuple(f"entry-{n}" for n in range(len(names), len(names) + 2))
    troubles = [
        _draw_trouble(rng, names, joining[:1] if n else joining[1:])
        for n in range(rng.randint(2, 5))
    ]
    return Day(
        seed,
        names,
        tuple(troubles),
        demand=rng.choice([3.0, 6.0, 10.0, 15.0]),
        greedy_s=_WARM_UP_S + rng.uniform(0.0, 2.0),
        length_s=_WARM_UP_S + 18.0,
        shares={name: rng.choice([0.3, 1.0, 3.0]) for name in names + joining},
    )


def draw_replacements(seed: int) -> Day:
    """Return a scenario in which instances are replaced for good.

    Each one that goes is followed by a new one some seconds later, in a drawn
    order and with drawn pauses; some scenarios end with a kill of all.
    """
    rng = random.Random(seed)
    names = [f"entry-{n}" for n in range(rng.randint(2, 6))]
    running = list(names)
    troubles = []
    at_s = _WARM_UP_S
    for number in range(rng.randint(1, len(names))):
        new = f"entry-{len(names) + number}"
        old = running.pop(rng.randrange(len(running)))
        troubles.append(Trouble("kill", at_s, math.inf, frozenset({old})))
        joins_at_s = at_s + rng.uniform(0.5, 3.0)
        troubles.append(
            Trouble("join", joins_at_s, joins_at_s, frozenset({new}))
        )
        running.append(new)
        at_s = joins_at_s + rng.uniform(0.2, 3.0)
    if rng.random() < 0.5:
        troubles.append(Trouble("kill", at_s, at_s + 1.0, frozenset(running)))
        at_s += 1.0
    joined = [f"entry-{len(names) + n}" for n in range(len(names))]
    return Day(
        seed,
        tuple(names),
        tuple(troubles),
        demand=0.55,
        greedy_s=0.0,
        length_s=at_s + 20.0,
        shares=dict.fromkeys(names + joined, 1.0),
    )


def _draw_trouble(
    rng: random.Random, names: tuple[str, ...], joining: tuple[str, ...]
) -> Trouble:
    kind = rng.choice(
        ["cut", "cut", "kill", "kill", "freeze", "join", "late", "log"]
    )
    at_s = _WARM_UP_S + rng.uniform(0.0, 12.0)
    lasts_s = rng.uniform(0.5, 6.0)
    affected = frozenset(rng.sample(names, rng.randint(1, len(names))))
    if kind == "join":
        return Trouble(kind, at_s, at_s, frozenset(joining))
    return Trouble(kind, at_s, at_s + lasts_s, affected)


@dataclasses.dataclass(frozen=True)
class Played:
    """The requests of a simulation.

    Attributes:
        asked: Time and units of each request.
        spent: Time and units of each admitted request.
    """

    asked: list[tuple[float, float]]
    spent: list[tuple[float, float]]

    def find_served(self, start_s: float) -> float:
        """Return the ratio of requested units that were admitted."""
        asked = sum(units for at_s, units in self.asked if at_s >= start_s)
        spent = sum(units for at_s, units in self.spent if at_s >= start_s)
        return spent / asked


class _Simulation:
    """A running simulation."""

    def __init__(self, day: Day, clock: trio.testing.MockClock) -> None:
        self._day = day
        self._clock = clock
        self._rng = random.Random(day.seed + 1)
        self._log = allowance_fleet.FleetLog()
        self._daemons: dict[str, allowance_fleet.FleetDaemon] = {}
        self._processes: collections.Counter[str] = collections.Counter()
        self._in_transit: list[
            tuple[float, int, str, allowance_fleet.DaemonMessage]
        ] = []
        self._sent = 0
        self._started_at = trio.current_time()
        self._offsets = {
            name: self._rng.uniform(0.0, _MESSAGE_INTERVAL_S)
            for name in day.shares
        }
        self._log_readers: set[str] = set()
        self._troubles_by_kind: dict[str, list[Trouble]] = (
            collections.defaultdict(list)
        )
        for trouble in day.troubles:
            self._troubles_by_kind[trouble.kind].append(trouble)
        self.played = Played([], [])

    def play(self) -> None:
        """Run the simulation to its end."""
        for instance in self._day.instances:
            self._start_daemon(instance)
        for step in range(int(self._day.length_s / _STEP_S)):
            self._clock.jump(_STEP_S)
            now = trio.current_time() - self._started_at
            self._change_fleet(now)
            self._deliver(now)
            self._admit_waiting(now)
            self._send_requests(now)
            self._exchange_messages(now, step)

    def _start_daemon(self, instance: str) -> None:
        self._processes[instance] += 1
        self._log_readers.discard(instance)
        self._daemons[instance] = allowance_fleet.FleetDaemon(
            instance, self._processes[instance], self._log
        )

    def _change_fleet(self, now: float) -> None:
        for trouble in self._day.troubles:
            for instance in trouble.instances:
                self._change_process(trouble, instance, now)

    def _change_process(
        self, trouble: Trouble, instance: str, now: float
    ) -> None:
        if self._is_affected("kill", instance, now):
            self._daemons.pop(instance, None)
        elif instance not in self._daemons and trouble.has_started(now):
            self._start_daemon(instance)

    def _is_affected(self, kind: str, instance: str, now: float) -> bool:
        troubles = self._troubles_by_kind.get(kind, ())
        return any(trouble.hits(kind, instance, now) for trouble in troubles)

    def _are_partitioned(self, one: str, other: str, now: float) -> bool:
        return any(
            trouble.hits("cut", one, now) != trouble.hits("cut", other, now)
            for trouble in self._troubles_by_kind.get("cut", ())
        )

    def _list_awake(self, now: float) -> list[allowance_fleet.FleetDaemon]:
        return [
            daemon
            for instance, daemon in self._daemons.items()
            if not self._is_affected("freeze", instance, now)
        ]

    def _send_requests(self, now: float) -> None:
        awake = self._list_awake(now)
        if not awake:
            return
        weights = [self._day.shares[daemon.instance] for daemon in awake]
        is_greedy = now >= self._day.greedy_s
        demand = self._day.demand if is_greedy else 0.5
        rate = allowance_fleet.TEAM.rate * demand
        requests = rate * _STEP_S / _MEAN_SIZE
        count = int(requests) + (self._rng.random() < requests % 1)
        for daemon in self._rng.choices(awake, weights, k=count):
            units = self._rng.choices(_SIZES, _WEIGHTS)[0]
            self.played.asked.append((now, units))
            if daemon.ask(units):
                self.played.spent.append((now, units))

    def _admit_waiting(self, now: float) -> None:
        """Admit waiting requests for which quota was transferred."""
        for daemon in self._list_awake(now):
            for units in daemon.admit_waiting():
                self.played.spent.append((now, units))

    def _exchange_messages(self, now: float, step: int) -> None:
        has_written = False
        for daemon in self._list_awake(now):
            instance = daemon.instance
            if not self._is_affected("log", instance, now):
                is_new = instance not in self._log_readers
                if is_new or not step % int(_LOG_READ_INTERVAL_S / _STEP_S):
                    self._log_readers.add(instance)
                    daemon.read_log()
                    if not is_new and not has_written:
                        has_written = True
                        daemon.write_log()
            since_s = (now + self._offsets[instance]) % _MESSAGE_INTERVAL_S
            if since_s < _STEP_S or daemon.is_message_urgent:
                self._send(daemon, now)

    def _send(self, daemon: allowance_fleet.FleetDaemon, now: float) -> None:
        message = daemon.create_message()
        is_late = self._is_affected("late", daemon.instance, now)
        for instance in self._daemons:
            if instance == daemon.instance:
                continue
            if self._are_partitioned(daemon.instance, instance, now):
                continue
            if self._rng.random() < (0.2 if is_late else 0.01):
                continue
            max_delay_s = 1.5 if is_late else 0.06
            at_s = now + self._rng.uniform(0.002, max_delay_s)
            self._sent += 1
            heapq.heappush(
                self._in_transit, (at_s, self._sent, instance, message)
            )

    def _deliver(self, now: float) -> None:
        undelivered = []
        while self._in_transit and self._in_transit[0][0] <= now:
            delivery = heapq.heappop(self._in_transit)
            instance = delivery[2]
            if self._is_affected("freeze", instance, now):
                # It stays in the socket until the process resumes.
                undelivered.append(delivery)
            elif instance in self._daemons:
                self._daemons[instance].apply_message(delivery[3])
        for delivery in undelivered:
            heapq.heappush(self._in_transit, delivery)


def play_day(day: Day) -> Played:
    """Run a scenario; return its requests."""
    clock = trio.testing.MockClock()

    async def run() -> Played:
        await trio.lowlevel.checkpoint()
        simulation = _Simulation(day, clock)
        simulation.play()
        return simulation.played

    return trio.run(run, clock=clock)


def find_most_spent(spent: list[tuple[float, float]], window_s: float) -> float:
    """Return the most units spent within any window."""
    max_spent = total = 0.0
    first = 0
    for at_s, units in spent:
        total += units
        while spent[first][0] <= at_s - window_s:
            total -= spent[first][1]
            first += 1
        max_spent = max(max_spent, total)
    return max_spent
