"""Draw days on which daemons that share an allowance fail, and play them."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random

import trio
import trio.testing

from tests import allowance_fleet

__all__ = ["Day", "Played", "draw_day", "find_most_spent", "play_day"]

_STEP_S = 0.05
_TELL_S = 0.25
_LOG_S = 1.0
_CALM_S = 9.0
# Units of a request: calls of plain services, short and long prompts.
_SIZES = (1.0, 200.0, 1_150.0, 1_735.0, 8_000.0, 13_000.0, 26_000.0)
_WEIGHTS = (15, 20, 25, 25, 15, 4, 1)
_MEAN_SIZE = sum(s * w for s, w in zip(_SIZES, _WEIGHTS, strict=True)) / sum(
    _WEIGHTS
)


@dataclasses.dataclass(frozen=True)
class Trouble:
    """What befalls some instances for some time.

    Attributes:
        kind: "cut", "kill", "freeze", "join", "late" or "log".
        at_s: When it begins.
        until_s: When it ends; for a kill, when the process is back.
        instances: Those that it befalls: one side of a cut.
    """

    kind: str
    at_s: float
    until_s: float
    instances: frozenset[str]

    def hits(self, kind: str, instance: str, now: float) -> bool:
        """Tell whether it befalls an instance now."""
        is_on = self.at_s <= now < self.until_s
        return is_on and self.kind == kind and instance in self.instances

    def has_started(self, now: float) -> bool:
        """Tell whether it has its instances' processes run from now on."""
        return self.kind in {"kill", "join"} and now >= self.until_s


@dataclasses.dataclass(frozen=True)
class Day:
    """A drawn day.

    Attributes:
        seed: It was drawn from.
        instances: The daemons at the start.
        troubles: What befalls them.
        demand: Times the team's rate that is asked for.
        greedy_s: When the team begins to ask for that.
        length_s: When the day ends.
        shares: How the team's requests fall to daemons.
    """

    seed: int
    instances: tuple[str, ...]
    troubles: tuple[Trouble, ...]
    demand: float
    greedy_s: float
    length_s: float
    shares: dict[str, float]


def draw_day(seed: int) -> Day:
    """Return the day of a seed."""
    rng = random.Random(seed)
    names = tuple(f"entry-{n}" for n in range(rng.randint(2, 8)))
    late = tuple(f"entry-{n}" for n in range(len(names), len(names) + 2))
    troubles = [
        _draw_trouble(rng, names, late[:1] if n else late[1:])
        for n in range(rng.randint(2, 5))
    ]
    return Day(
        seed,
        names,
        tuple(troubles),
        demand=rng.choice([3.0, 6.0, 10.0, 15.0]),
        greedy_s=_CALM_S + rng.uniform(0.0, 2.0),
        length_s=_CALM_S + 18.0,
        shares={name: rng.choice([0.3, 1.0, 3.0]) for name in names + late},
    )


def _draw_trouble(
    rng: random.Random, names: tuple[str, ...], late: tuple[str, ...]
) -> Trouble:
    kind = rng.choice(
        ["cut", "cut", "kill", "kill", "freeze", "join", "late", "log"]
    )
    at_s = _CALM_S + rng.uniform(0.0, 12.0)
    lasts_s = rng.uniform(0.5, 6.0)
    hit = frozenset(rng.sample(names, rng.randint(1, len(names))))
    if kind == "join":
        return Trouble(kind, at_s, at_s, frozenset(late))
    return Trouble(kind, at_s, at_s + lasts_s, hit)


@dataclasses.dataclass(frozen=True)
class Played:
    """What came of a day.

    Attributes:
        asked: When units were asked for, and how many.
        spent: When units were spent, and how many.
    """

    asked: list[tuple[float, float]]
    spent: list[tuple[float, float]]

    def find_served(self, start_s: float) -> float:
        """Return the part of what was asked for that was spent."""
        asked = sum(units for at_s, units in self.asked if at_s >= start_s)
        spent = sum(units for at_s, units in self.spent if at_s >= start_s)
        return spent / asked


class _Play:
    """One day while it is played."""

    def __init__(self, day: Day, clock: trio.testing.MockClock) -> None:
        self._day = day
        self._clock = clock
        self._rng = random.Random(day.seed + 1)
        self._log = allowance_fleet.FleetLog()
        self._daemons: dict[str, allowance_fleet.FleetDaemon] = {}
        self._processes: collections.Counter[str] = collections.Counter()
        self._ways: list[tuple[float, int, str, allowance_fleet.News]] = []
        self._sent = 0
        self._started_at = trio.current_time()
        self._offsets = {
            name: self._rng.uniform(0.0, _TELL_S) for name in day.shares
        }
        self._read: set[str] = set()
        self._kinds: dict[str, list[Trouble]] = collections.defaultdict(list)
        for trouble in day.troubles:
            self._kinds[trouble.kind].append(trouble)
        self.played = Played([], [])

    def play(self) -> None:
        """Play the day to its end."""
        for instance in self._day.instances:
            self._start(instance)
        for step in range(int(self._day.length_s / _STEP_S)):
            self._clock.jump(_STEP_S)
            now = trio.current_time() - self._started_at
            self._change_fleet(now)
            self._deliver(now)
            self._let_in_late(now)
            self._ask(now)
            self._tell(now, step)

    def _start(self, instance: str) -> None:
        self._processes[instance] += 1
        self._read.discard(instance)
        self._daemons[instance] = allowance_fleet.FleetDaemon(
            instance, self._processes[instance], self._log
        )

    def _change_fleet(self, now: float) -> None:
        for trouble in self._day.troubles:
            for instance in trouble.instances:
                self._change(trouble, instance, now)

    def _change(self, trouble: Trouble, instance: str, now: float) -> None:
        if self._is_hit("kill", instance, now):
            self._daemons.pop(instance, None)
        elif instance not in self._daemons and trouble.has_started(now):
            self._start(instance)

    def _is_hit(self, kind: str, instance: str, now: float) -> bool:
        kinds = self._kinds.get(kind, ())
        return any(one.hits(kind, instance, now) for one in kinds)

    def _are_cut(self, one: str, other: str, now: float) -> bool:
        return any(
            trouble.hits("cut", one, now) != trouble.hits("cut", other, now)
            for trouble in self._kinds.get("cut", ())
        )

    def _list_awake(self, now: float) -> list[allowance_fleet.FleetDaemon]:
        return [
            daemon
            for instance, daemon in self._daemons.items()
            if not self._is_hit("freeze", instance, now)
        ]

    def _ask(self, now: float) -> None:
        awake = self._list_awake(now)
        if not awake:
            return
        weights = [self._day.shares[one.instance] for one in awake]
        is_greedy = now >= self._day.greedy_s
        demand = self._day.demand if is_greedy else 0.5
        rate = allowance_fleet.TEAM.rate * demand
        asks = rate * _STEP_S / _MEAN_SIZE
        count = int(asks) + (self._rng.random() < asks % 1)
        for daemon in self._rng.choices(awake, weights, k=count):
            units = self._rng.choices(_SIZES, _WEIGHTS)[0]
            self.played.asked.append((now, units))
            if daemon.ask(units):
                self.played.spent.append((now, units))

    def _let_in_late(self, now: float) -> None:
        """Let in requests whose units have come from other daemons."""
        for daemon in self._list_awake(now):
            for units in daemon.take_late():
                self.played.spent.append((now, units))

    def _tell(self, now: float, step: int) -> None:
        has_written = False
        for daemon in self._list_awake(now):
            instance = daemon.instance
            if not self._is_hit("log", instance, now):
                is_new = instance not in self._read
                if is_new or not step % int(_LOG_S / _STEP_S):
                    self._read.add(instance)
                    daemon.read_log()
                    if not is_new and not has_written:
                        has_written = True
                        daemon.write_log()
            since_s = (now + self._offsets[instance]) % _TELL_S
            if since_s < _STEP_S or daemon.is_hurried:
                self._send(daemon, now)

    def _send(self, daemon: allowance_fleet.FleetDaemon, now: float) -> None:
        news = daemon.tell()
        is_late = self._is_hit("late", daemon.instance, now)
        for instance in self._daemons:
            if instance == daemon.instance:
                continue
            if self._are_cut(daemon.instance, instance, now):
                continue
            if self._rng.random() < (0.2 if is_late else 0.01):
                continue
            longest_s = 1.5 if is_late else 0.06
            at_s = now + self._rng.uniform(0.002, longest_s)
            self._sent += 1
            heapq.heappush(self._ways, (at_s, self._sent, instance, news))

    def _deliver(self, now: float) -> None:
        waiting = []
        while self._ways and self._ways[0][0] <= now:
            way = heapq.heappop(self._ways)
            instance = way[2]
            if self._is_hit("freeze", instance, now):
                # It lies in the socket until the process wakes.
                waiting.append(way)
            elif instance in self._daemons:
                self._daemons[instance].hear(way[3])
        for way in waiting:
            heapq.heappush(self._ways, way)


def play_day(day: Day) -> Played:
    """Return what was asked for and what was spent."""
    clock = trio.testing.MockClock()

    async def run() -> Played:
        await trio.lowlevel.checkpoint()
        play = _Play(day, clock)
        play.play()
        return play.played

    return trio.run(run, clock=clock)


def find_most_spent(spent: list[tuple[float, float]], window_s: float) -> float:
    """Return the most units that were spent within a window."""
    most = total = 0.0
    oldest = 0
    for at_s, units in spent:
        total += units
        while spent[oldest][0] <= at_s - window_s:
            total -= spent[oldest][1]
            oldest += 1
        most = max(most, total)
    return most
