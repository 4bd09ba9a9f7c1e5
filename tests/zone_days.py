"""Draw days on which a large fleet's daemons fail, and play them."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
from typing import TYPE_CHECKING

import trio
import trio.testing

from martenquay_daemon.fleet import topology
from tests import allowance_days, allowance_fleet, zone_fleet

if TYPE_CHECKING:
    from martenquay_daemon.fleet import messages

__all__ = ["ZoneDay", "draw_zone_day", "play_zone_day"]

_STEP_S = 0.02
# Daemons look at what is due once in so many steps.
_LOOK = 5
_LOG_S = 1.0
# All have a part and have lent it by then.
_CALM_S = 10.0
_TROUBLE_S = 14.0
_ZONES = 5
_HUBS = 2
_SIZES = (1.0, 200.0, 1_150.0, 1_735.0, 8_000.0, 13_000.0, 26_000.0)
_WEIGHTS = (15, 20, 25, 25, 15, 4, 1)
_MEAN_SIZE = sum(s * w for s, w in zip(_SIZES, _WEIGHTS, strict=True)) / sum(
    _WEIGHTS
)
_KINDS = ("cut", "cut", "kill", "kill", "freeze", "freeze", "join", "late")


@dataclasses.dataclass(frozen=True)
class ZoneDay:
    """A drawn day of a large fleet.

    Attributes:
        seed: It was drawn from.
        places: Where each instance is, those that join too.
        joining: Instances that are not there at the start.
        troubles: What befalls whom.
        demand: Times the team's rate that is asked for.
        greedy_s: When the team begins to ask for that.
        length_s: When the day ends.
    """

    seed: int
    places: dict[str, topology.PeerAddress]
    joining: frozenset[str]
    troubles: tuple[allowance_days.Trouble, ...]
    demand: float
    greedy_s: float
    length_s: float


def draw_zone_day(seed: int, size: int) -> ZoneDay:
    """Return the day of a seed with a fleet of a size."""
    rng = random.Random(seed)
    places = {}
    for number in range(size):
        zone = f"z{number % _ZONES}"
        # The first of each zone have the best links and become its hubs.
        capacity = 200.0 if number < _HUBS * _ZONES else 20.0
        address = f"10.0.{number // 250}.{number % 250}:7600"
        places[f"entry-{number}"] = topology.PeerAddress(
            address, zone, capacity
        )
    joining = frozenset(rng.sample(sorted(places)[_HUBS * _ZONES :], 2))
    troubles = tuple(
        _draw_trouble(rng, places, joining) for _ in range(rng.randint(2, 5))
    )
    return ZoneDay(
        seed,
        places,
        joining,
        troubles,
        demand=rng.choice([3.0, 6.0, 10.0]),
        greedy_s=_CALM_S + rng.uniform(0.0, 2.0),
        length_s=_CALM_S + _TROUBLE_S,
    )


def _draw_trouble(
    rng: random.Random,
    places: dict[str, topology.PeerAddress],
    joining: frozenset[str],
) -> allowance_days.Trouble:
    kind = rng.choice(_KINDS)
    at_s = _CALM_S + rng.uniform(0.0, _TROUBLE_S - 4.0)
    lasts_s = rng.uniform(0.5, 5.0)
    names = sorted(set(places) - joining)
    zone = f"z{rng.randrange(_ZONES)}"
    in_zone = [name for name in names if places[name].zone == zone]
    hubs = [name for name in names if places[name].capacity > 100.0]
    whom = rng.choice(["zone", "hubs", "some", "all"])
    match whom:
        case "zone":
            hit = in_zone
        case "hubs":
            hit = rng.sample(hubs, rng.randint(1, len(hubs)))
        case "some":
            hit = rng.sample(names, rng.randint(1, len(names)))
        case _:
            hit = names
    if kind == "join":
        return allowance_days.Trouble(kind, at_s, at_s, joining)
    return allowance_days.Trouble(kind, at_s, at_s + lasts_s, frozenset(hit))


class _Play:
    """One day while it is played."""

    def __init__(self, day: ZoneDay, clock: trio.testing.MockClock) -> None:
        self._day = day
        self._clock = clock
        self._rng = random.Random(day.seed + 1)
        self._record = zone_fleet.FleetRecord(day.places)
        self._names = {place.address: n for n, place in day.places.items()}
        self._daemons: dict[str, zone_fleet.ZoneDaemon] = {}
        self._processes: collections.Counter[str] = collections.Counter()
        self._ways: list[
            tuple[float, int, str, str, messages.FleetMessage]
        ] = []
        self._sent = 0
        self._now = 0.0
        self._unread: set[str] = set()
        self._kinds: dict[str, list[allowance_days.Trouble]] = (
            collections.defaultdict(list)
        )
        for trouble in day.troubles:
            self._kinds[trouble.kind].append(trouble)
        self.played = allowance_days.Played([], [])

    def play(self) -> None:
        """Play the day to its end."""
        for instance in sorted(set(self._day.places) - self._day.joining):
            self._start(instance)
        for step in range(int(self._day.length_s / _STEP_S)):
            self._clock.jump(_STEP_S)
            self._now = (step + 1) * _STEP_S
            for trouble in self._day.troubles:
                self._change_fleet(trouble)
            self._deliver()
            for daemon in self._list_awake():
                is_new = daemon.instance in self._unread
                if is_new or not step % int(_LOG_S / _STEP_S):
                    self._unread.discard(daemon.instance)
                    daemon.read_log()
                if not step % _LOOK:
                    daemon.act()
                daemon.act_often()
            self._ask()

    def _start(self, instance: str) -> None:
        self._processes[instance] += 1
        self._unread.add(instance)
        self._daemons[instance] = zone_fleet.ZoneDaemon(
            instance,
            self._processes[instance],
            self._record,
            self._rng,
            self._send,
        )

    def _change_fleet(self, trouble: allowance_days.Trouble) -> None:
        for instance in trouble.instances:
            if self._is_hit("kill", instance):
                self._daemons.pop(instance, None)
            elif instance not in self._daemons and trouble.has_started(
                self._now
            ):
                self._start(instance)

    def _is_hit(self, kind: str, instance: str) -> bool:
        kinds = self._kinds.get(kind, ())
        return any(one.hits(kind, instance, self._now) for one in kinds)

    def _are_cut(self, one: str, other: str) -> bool:
        return any(
            trouble.hits("cut", one, self._now)
            != trouble.hits("cut", other, self._now)
            for trouble in self._kinds.get("cut", ())
        )

    def _list_awake(self) -> list[zone_fleet.ZoneDaemon]:
        return [
            daemon
            for instance, daemon in self._daemons.items()
            if not self._is_hit("freeze", instance)
        ]

    def _ask(self) -> None:
        awake = self._list_awake()
        if not awake:
            return
        is_greedy = self._now >= self._day.greedy_s
        demand = self._day.demand if is_greedy else 0.5
        asks = allowance_fleet.TEAM.rate * demand * _STEP_S / _MEAN_SIZE
        count = int(asks) + (self._rng.random() < asks % 1)
        for daemon in self._rng.choices(awake, k=count):
            units = self._rng.choices(_SIZES, _WEIGHTS)[0]
            self.played.asked.append((self._now, units))
            if daemon.ask(units):
                self.played.spent.append((self._now, units))

    def _send(
        self, source: str, address: str, message: messages.FleetMessage
    ) -> None:
        one, other = self._names[source], self._names[address]
        if self._are_cut(one, other):
            return
        is_late = self._is_hit("late", one)
        if self._rng.random() < (0.2 if is_late else 0.005):
            return
        at_s = self._now + self._rng.uniform(0.001, 1.5 if is_late else 0.03)
        self._sent += 1
        heapq.heappush(self._ways, (at_s, self._sent, other, source, message))

    def _deliver(self) -> None:
        waiting = []
        while self._ways and self._ways[0][0] <= self._now:
            way = heapq.heappop(self._ways)
            instance = way[2]
            if self._is_hit("freeze", instance):
                # It lies in the socket until the process wakes.
                waiting.append(way)
            elif instance in self._daemons:
                units = self._daemons[instance].hear(way[3], way[4])
                if units:
                    self.played.spent.append((self._now, units))
        for way in waiting:
            heapq.heappush(self._ways, way)


def play_zone_day(day: ZoneDay) -> allowance_days.Played:
    """Return what was asked for and what was spent."""
    clock = trio.testing.MockClock()

    async def run() -> allowance_days.Played:
        await trio.lowlevel.checkpoint()
        play = _Play(day, clock)
        play.play()
        return play.played

    return trio.run(run, clock=clock)
