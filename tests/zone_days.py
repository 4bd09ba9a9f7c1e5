"""Generate random days of failures in a large fleet and simulate them."""

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
# As seldom as real daemons check which messages are due.
_STEPS_PER_CHECK = 5
_LOG_READ_INTERVAL_S = 1.0
# By then, all daemons have a share and have delegated it.
_WARMUP_S = 10.0
_FAILURE_PERIOD_S = 14.0
_ZONES = 5
_HUBS_PER_ZONE = 2
_REQUEST_UNITS = (1.0, 200.0, 1_150.0, 1_735.0, 8_000.0, 13_000.0, 26_000.0)
_WEIGHTS = (15, 20, 25, 25, 15, 4, 1)
_MEAN_UNITS = sum(
    s * w for s, w in zip(_REQUEST_UNITS, _WEIGHTS, strict=True)
) / sum(_WEIGHTS)
_FAILURE_KINDS = (
    "cut",
    "cut",
    "kill",
    "kill",
    "freeze",
    "freeze",
    "join",
    "late",
)


@dataclasses.dataclass(frozen=True)
class ZoneDay:
    """A random day of a large fleet.

    Attributes:
        seed: Seed of the random numbers.
        places: Addresses of the instances, by name, with those that join.
        joining: Instances that join after the start.
        troubles: Failures of instances.
        demand: Requested units a second, as a multiple of the team's rate.
        greedy_s: When that demand begins; it is half the rate before.
        length_s: Length of the day.
    """

    seed: int
    places: dict[str, topology.PeerAddress]
    joining: frozenset[str]
    troubles: tuple[allowance_days.Trouble, ...]
    demand: float
    greedy_s: float
    length_s: float


def draw_zone_day(seed: int, size: int) -> ZoneDay:
    """Return the day of a seed for a number of instances."""
    rng = random.Random(seed)
    places = {}
    for number in range(size):
        zone = f"z{number % _ZONES}"
        # The first instances of each zone have the most bandwidth, so they are
        # elected its hubs.
        capacity = 200.0 if number < _HUBS_PER_ZONE * _ZONES else 20.0
        address = f"10.0.{number // 250}.{number % 250}:7600"
        places[f"entry-{number}"] = topology.PeerAddress(
            address, zone, capacity
        )
    joining = frozenset(
        rng.sample(sorted(places)[_HUBS_PER_ZONE * _ZONES :], 2)
    )
    troubles = tuple(
        _draw_trouble(rng, places, joining) for _ in range(rng.randint(2, 5))
    )
    return ZoneDay(
        seed,
        places,
        joining,
        troubles,
        demand=rng.choice([3.0, 6.0, 10.0]),
        greedy_s=_WARMUP_S + rng.uniform(0.0, 2.0),
        length_s=_WARMUP_S + _FAILURE_PERIOD_S,
    )


def _draw_trouble(
    rng: random.Random,
    places: dict[str, topology.PeerAddress],
    joining: frozenset[str],
) -> allowance_days.Trouble:
    kind = rng.choice(_FAILURE_KINDS)
    at_s = _WARMUP_S + rng.uniform(0.0, _FAILURE_PERIOD_S - 4.0)
    lasts_s = rng.uniform(0.5, 5.0)
    names = sorted(set(places) - joining)
    zone = f"z{rng.randrange(_ZONES)}"
    in_zone = [name for name in names if places[name].zone == zone]
    hubs = [name for name in names if places[name].capacity > 100.0]
    scope = rng.choice(["zone", "hubs", "some", "all"])
    match scope:
        case "zone":
            instances = in_zone
        case "hubs":
            instances = rng.sample(hubs, rng.randint(1, len(hubs)))
        case "some":
            instances = rng.sample(names, rng.randint(1, len(names)))
        case _:
            instances = names
    if kind == "join":
        return allowance_days.Trouble(kind, at_s, at_s, joining)
    return allowance_days.Trouble(
        kind, at_s, at_s + lasts_s, frozenset(instances)
    )


class _Simulation:
    """Simulation of one day."""

    def __init__(self, day: ZoneDay, clock: trio.testing.MockClock) -> None:
        self._day = day
        self._clock = clock
        self._rng = random.Random(day.seed + 1)
        self._platform = zone_fleet.PlatformState(day.places)
        self._names = {place.address: n for n, place in day.places.items()}
        self._daemons: dict[str, zone_fleet.ZoneDaemon] = {}
        self._processes: collections.Counter[str] = collections.Counter()
        self._in_flight: list[
            tuple[float, int, str, str, messages.FleetMessage]
        ] = []
        self._sent = 0
        self._now = 0.0
        self._new_processes: set[str] = set()
        self._troubles_by_kind: dict[str, list[allowance_days.Trouble]] = (
            collections.defaultdict(list)
        )
        for trouble in day.troubles:
            self._troubles_by_kind[trouble.kind].append(trouble)
        self.played = allowance_days.Played([], [])

    def play(self) -> None:
        """Simulate the day to its end."""
        for instance in sorted(set(self._day.places) - self._day.joining):
            self._start(instance)
        for step in range(int(self._day.length_s / _STEP_S)):
            self._clock.jump(_STEP_S)
            self._now = (step + 1) * _STEP_S
            for trouble in self._day.troubles:
                self._change_fleet(trouble)
            self._deliver()
            for daemon in self._list_running():
                is_new = daemon.instance in self._new_processes
                if is_new or not step % int(_LOG_READ_INTERVAL_S / _STEP_S):
                    self._new_processes.discard(daemon.instance)
                    daemon.read_log()
                if not step % _STEPS_PER_CHECK:
                    daemon.run_due_work()
                daemon.run_urgent_work()
            self._send_requests()

    def _start(self, instance: str) -> None:
        self._processes[instance] += 1
        self._new_processes.add(instance)
        self._daemons[instance] = zone_fleet.ZoneDaemon(
            instance,
            self._processes[instance],
            self._platform,
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
        kinds = self._troubles_by_kind.get(kind, ())
        return any(one.hits(kind, instance, self._now) for one in kinds)

    def _are_cut(self, one: str, other: str) -> bool:
        return any(
            trouble.hits("cut", one, self._now)
            != trouble.hits("cut", other, self._now)
            for trouble in self._troubles_by_kind.get("cut", ())
        )

    def _list_running(self) -> list[zone_fleet.ZoneDaemon]:
        return [
            daemon
            for instance, daemon in self._daemons.items()
            if not self._is_hit("freeze", instance)
        ]

    def _send_requests(self) -> None:
        running = self._list_running()
        if not running:
            return
        is_greedy = self._now >= self._day.greedy_s
        demand = self._day.demand if is_greedy else 0.5
        asks = allowance_fleet.TEAM.rate * demand * _STEP_S / _MEAN_UNITS
        count = int(asks) + (self._rng.random() < asks % 1)
        for daemon in self._rng.choices(running, k=count):
            units = self._rng.choices(_REQUEST_UNITS, _WEIGHTS)[0]
            self.played.asked.append((self._now, units))
            if daemon.request_units(units):
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
        due_s = self._now + self._rng.uniform(0.001, 1.5 if is_late else 0.03)
        self._sent += 1
        heapq.heappush(
            self._in_flight, (due_s, self._sent, other, source, message)
        )

    def _deliver(self) -> None:
        waiting = []
        while self._in_flight and self._in_flight[0][0] <= self._now:
            entry = heapq.heappop(self._in_flight)
            instance = entry[2]
            if self._is_hit("freeze", instance):
                # The message stays in the socket while the process is frozen.
                waiting.append(entry)
            elif instance in self._daemons:
                units = self._daemons[instance].handle_message(
                    entry[3], entry[4]
                )
                if units:
                    self.played.spent.append((self._now, units))
        for entry in waiting:
            heapq.heappush(self._in_flight, entry)


def play_zone_day(day: ZoneDay) -> allowance_days.Played:
    """Return the units that were requested and spent."""
    clock = trio.testing.MockClock()

    async def run() -> allowance_days.Played:
        await trio.lowlevel.checkpoint()
        play = _Simulation(day, clock)
        play.play()
        return play.played

    return trio.run(run, clock=clock)
