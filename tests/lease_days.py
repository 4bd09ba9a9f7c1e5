"""Simulate daemons that share a lease while faults occur."""

from __future__ import annotations

import dataclasses
import itertools
import random

import trio
from expression import Error, Ok, Result

from martenquay_core.platform import outcome
from martenquay_core.serving import ports
from martenquay_daemon.duties import duty_calls, lease
from martenquay_daemon.fleet import view
from martenquay_standins.ports import log
from tests import clocked

__all__ = [
    "LENGTH_S",
    "Call",
    "Day",
    "Played",
    "Trouble",
    "draw_day",
    "find_breaches",
    "play_day",
]

LENGTH_S = 3.0
_TOPIC = "lease"
_CALL_TIMEOUT_S = 1.0
_ANSWER_S = 0.004
# Remaining lease time that the duties ask for before a call.
_MIN_LEASE_S = 0.5
_GOSSIP_INTERVAL_S = 0.25
_CHECK_INTERVAL_S = 0.05
# Time that a process runs on after a stop signal.
_DRAIN_S = 2.6
_WARM_UP_S = 2.0
# Longer than a restarted process waits for a lease.
_SETTLE_S = 8.0
_MAX_CHANGE_S = 5.0
_UNREADABLE = b"\xc1"
_HTTP_OK = 200
_NO_ANSWER = outcome.PlatformFailure(outcome.Effect.UNKNOWN, "no answer")
_ORDER = ports.DesiredRunners("model", "aa", False, 2)
# Kinds of troubles, with weights.
_KINDS = {
    "stop": 10,
    "log cut": 8,
    "isolate": 6,
    "slow calls": 8,
    "compact": 4,
    "peer cut": 2,
    "kill": 2,
    "restore": 1,
    "garble": 1,
    "store down": 1,
    "lose answers": 1,
    "delay appends": 1,
}


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A fault or a planned stop.

    Attributes:
        kind: One of "log cut" (an instance loses the log), "peer cut" (it loses
            the other daemons), "isolate" (both), "stop" (planned) and "kill",
            after both of which the process is restarted; "compact" (the log
            drops its records), "restore" (from an older copy), "garble" (an
            unreadable record is appended), "store down", "lose answers", "delay
            appends" and "slow calls" (of an instance's duties).
        gap_s: Time from when the trouble before began.
        after_change: The gap counts from the next change of the holder.
        for_s: How long it lasts; for a stop or a kill, until the restart.
        on_holder: It affects the lease's holder, if there is one.
        instance: Number of the affected instance otherwise.
    """

    kind: str
    gap_s: float
    after_change: bool
    for_s: float
    on_holder: bool
    instance: int

    @property
    def lasts_s(self) -> float:
        """Time until all is as before."""
        return self.for_s + (_DRAIN_S if self.kind == "stop" else 0.0)


@dataclasses.dataclass(frozen=True)
class Day:
    """A scenario drawn from a seed.

    Attributes:
        seed: The seed.
        instances: The number of instances.
        troubles: The troubles, in order of time.
    """

    seed: int
    instances: int
    troubles: tuple[Trouble, ...]


@dataclasses.dataclass(frozen=True)
class Call:
    """A duty's call as the platform received it.

    Attributes:
        at_s: When it arrived.
        holder: The instance that sent it.
        fence: Its fencing token.
    """

    at_s: float
    holder: str
    fence: int


@dataclasses.dataclass(frozen=True)
class Played:
    """What happened in a simulation.

    Attributes:
        calls: The duties' calls, by arrival.
        holders: The instances that hold the lease at the end, some seconds
            after all troubles.
    """

    calls: list[Call]
    holders: list[str]


def draw_day(seed: int) -> Day:
    """Return the scenario of a seed."""
    rng = random.Random(seed)
    count = rng.choice([2, 2, 3])
    # Few kinds a day, so that each sequence of them is drawn often.
    kinds = rng.choices(list(_KINDS), list(_KINDS.values()), k=3)
    troubles = [
        _draw_trouble(rng, rng.choice(kinds), count)
        for _ in range(rng.randint(3, 7))
    ]
    return Day(seed, count, tuple(troubles))


def _draw_trouble(rng: random.Random, kind: str, instances: int) -> Trouble:
    after_change = rng.random() < 0.7
    # Many overlap, and several may fall into the length of one lease.
    gap_s = rng.uniform(0.0, rng.choice([0.1, 0.5, 1.5]))
    return Trouble(
        kind,
        gap_s,
        after_change,
        rng.uniform(0.2, 5.5) if rng.random() < 0.3 else rng.uniform(2.8, 4.2),
        on_holder=rng.random() < 0.9,
        instance=rng.randrange(instances),
    )


def find_breaches(played: Played) -> list[str]:
    """Return where the rule of one holder at a time is broken.

    It is also a breach if nobody holds the lease at the end.
    """
    calls = played.calls
    breaches = []
    if len(played.holders) != 1:
        breaches.append(f"held by {played.holders} at the end")
    holders: dict[int, str] = {}
    changes: list[tuple[Call, Call]] = []
    for last, call in itertools.pairwise(calls):
        if call.fence < last.fence:
            breaches.append(f"{call} after {last}")
        if call.holder != last.holder:
            changes.append((last, call))
    for call in calls:
        if holders.setdefault(call.fence, call.holder) != call.holder:
            breaches.append(f"{call} has the fence of {holders[call.fence]}")
    for (last, _), (_, back) in itertools.combinations(changes, 2):
        is_return = last.holder == back.holder
        if is_return and back.at_s - last.at_s < LENGTH_S:
            breaches.append(f"{back} returned after {last}")
    return breaches


def play_day(day: Day) -> Played:
    """Simulate a scenario."""
    simulation = _Simulation(day)
    clocked.run_seeded(simulation.run, day.seed)
    calls = sorted(simulation.calls, key=lambda call: call.at_s)
    return Played(calls, simulation.holders)


class _Connection:
    """An instance's connection to the log; implements `ports.LogPort`.

    Attributes:
        is_cut: Calls get no answer.
    """

    def __init__(self, store: log.MemoryLog) -> None:
        self.is_cut = False
        self._store = store

    async def read(
        self, topic: str, start: int, *, wait_s: float = 0.0
    ) -> Result[ports.Page, outcome.PlatformFailure]:
        """Read unless cut off."""
        await trio.sleep(_ANSWER_S)
        if self.is_cut:
            return await _fail_call()
        return await self._store.read(topic, start, wait_s=wait_s)

    async def append(
        self,
        topic: str,
        payloads: list[bytes],
        *,
        expected_end: int | None = None,
    ) -> Result[ports.Appended, outcome.PlatformFailure]:
        """Append unless cut off."""
        await trio.sleep(_ANSWER_S)
        if self.is_cut:
            return await _fail_call()
        return await self._store.append(
            topic, payloads, expected_end=expected_end
        )


async def _fail_call() -> Result[ports.Page, outcome.PlatformFailure]:
    await trio.sleep(_CALL_TIMEOUT_S)
    return Error(_NO_ANSWER)


class _Cloud:
    """Implements `ports.CloudPort`; calls arrive after a drawn delay."""

    def __init__(self, simulation: _Simulation, instance: _Instance) -> None:
        self._simulation = simulation
        self._instance = instance

    def set_address(self, address: str) -> None:
        """Do nothing: there is one address only."""

    async def report_usage(
        self, report: ports.UsageReport, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Send a report."""
        return await self._simulation.deliver(self._instance, fence)

    async def order_runners(
        self, order: ports.DesiredRunners, holder: str, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Send an order."""
        return await self._simulation.deliver(self._instance, fence)


@dataclasses.dataclass
class _Instance:
    """An instance and its present process."""

    name: str
    connection: _Connection
    is_peer_cut: bool = False
    slow_until: float = 0.0
    starts: int = 0
    lease: lease.Lease | None = None
    is_leaving: bool = False
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )


class _Simulation:
    """A running simulation."""

    def __init__(self, day: Day) -> None:
        self.calls: list[Call] = []
        self.holders: list[str] = []
        self._day = day
        self._rng = random.Random(day.seed + 1)
        self._started_at = 0.0

    async def run(self) -> None:
        """Run the simulation to its end."""
        self._started_at = trio.current_time()
        self._store = log.MemoryLog()
        self._older = self._store.take_copy()
        self._instances = [
            _Instance(f"entry-{number}", _Connection(self._store))
            for number in range(self._day.instances)
        ]
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for instance in self._instances:
                nursery.start_soon(self._run_process, instance)
            await trio.sleep(_WARM_UP_S)
            ends_at = trio.current_time()
            for trouble in self._day.troubles:
                if trouble.after_change:
                    await self._wait_for_change()
                await trio.sleep(trouble.gap_s)
                nursery.start_soon(self._play, trouble)
                ends_at = max(ends_at, trio.current_time() + trouble.lasts_s)
            await trio.sleep_until(ends_at + _SETTLE_S)
            self.holders = [one.name for one in self._list_holders()]
            nursery.cancel_scope.cancel()

    async def _wait_for_change(self) -> None:
        """Wait until another instance holds the lease, for a limited time."""
        former = self._find_holder()
        with trio.move_on_after(_MAX_CHANGE_S):
            while self._find_holder() in (None, former):
                await trio.sleep(_CHECK_INTERVAL_S)

    def _find_holder(self) -> _Instance | None:
        return next(iter(self._list_holders()), None)

    def _list_holders(self) -> list[_Instance]:
        return [
            one
            for one in self._instances
            if one.lease is not None and one.lease.is_held()
        ]

    async def deliver(
        self, instance: _Instance, fence: int
    ) -> Result[int, outcome.PlatformFailure]:
        """Record a call once it arrives; one that is given up does not."""
        delay_s = self._rng.uniform(0.002, 0.02)
        if self._find_now() < instance.slow_until:
            delay_s = self._rng.uniform(0.0, 1.2 * _CALL_TIMEOUT_S)
        with trio.move_on_after(_CALL_TIMEOUT_S):
            await trio.sleep(delay_s)
            call = Call(self._find_now(), instance.name, fence)
            self.calls.append(call)
            return Ok(_HTTP_OK)
        return Error(_NO_ANSWER)

    def _find_now(self) -> float:
        return trio.current_time() - self._started_at

    async def _run_process(self, instance: _Instance) -> None:
        instance.starts += 1
        instance.is_leaving = False
        fleet = view.FleetView(instance.name)
        others = [one.name for one in self._instances if one is not instance]
        fleet.list_candidates = lambda: others
        held = lease.create_lease(
            instance.connection,
            _TOPIC,
            f"{instance.name}.{instance.starts}",
            instance.name,
            LENGTH_S,
            fleet,
        )
        instance.lease = held
        with trio.CancelScope() as instance.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(held.run)
                nursery.start_soon(self._gossip, instance, held)
                nursery.start_soon(self._act, instance, held)

    async def _act(self, instance: _Instance, held: lease.Lease) -> None:
        """Call the platform at drawn intervals while the lease is held."""
        cloud = duty_calls.LeasedCloud(_Cloud(self, instance), held)
        while True:
            await trio.sleep(self._rng.uniform(0.05, 0.25))
            if held.is_held(_MIN_LEASE_S):
                await cloud.order_runners(_ORDER, instance.name, held.fence)

    async def _gossip(self, instance: _Instance, held: lease.Lease) -> None:
        while True:
            self._send_status(instance, held)
            await trio.sleep(_GOSSIP_INTERVAL_S)

    def _send_status(self, instance: _Instance, held: lease.Lease) -> None:
        member = f"{instance.name}.{instance.starts}"
        for other in self._instances:
            is_cut = instance.is_peer_cut or other.is_peer_cut
            if other is instance or other.lease is None or is_cut:
                continue
            other.lease.apply_status(
                member, held.create_status(), is_leaving=instance.is_leaving
            )

    async def _play(self, trouble: Trouble) -> None:
        instance = self._find_affected(trouble)
        match trouble.kind:
            case "log cut" | "peer cut" | "isolate":
                await self._cut(instance, trouble)
            case "stop" | "kill":
                await self._restart(instance, trouble)
            case "compact":
                self._store.forget(_TOPIC)
            case "restore":
                self._store.restore(self._older)
                self._older = self._store.take_copy()
            case "garble":
                await self._store.append(_TOPIC, [_UNREADABLE])
            case "slow calls":
                instance.slow_until = self._find_now() + trouble.for_s
            case "store down":
                self._store.faults.is_down = True
                await trio.sleep(trouble.for_s)
                self._store.faults.is_down = False
            case "lose answers":
                self._store.faults.lost_answers = 2
            case "delay appends":
                self._store.faults.late_appends = 1
                await trio.sleep(trouble.for_s)
                self._store.faults.late_appends = 0
                self._store.apply_late_appends()

    def _find_affected(self, trouble: Trouble) -> _Instance:
        holder = self._find_holder()
        if trouble.on_holder and holder is not None:
            return holder
        return self._instances[trouble.instance]

    async def _cut(self, instance: _Instance, trouble: Trouble) -> None:
        is_log_cut = trouble.kind != "peer cut"
        is_peer_cut = trouble.kind != "log cut"
        instance.connection.is_cut |= is_log_cut
        instance.is_peer_cut |= is_peer_cut
        await trio.sleep(trouble.for_s)
        instance.connection.is_cut &= not is_log_cut
        instance.is_peer_cut &= not is_peer_cut

    async def _restart(self, instance: _Instance, trouble: Trouble) -> None:
        held = instance.lease
        if held is None or instance.is_leaving:
            return
        if trouble.kind == "stop":
            instance.is_leaving = True
            released_by = trio.current_time() + _DRAIN_S
            with trio.move_on_at(released_by):
                await held.release()
                self._send_status(instance, held)
            await trio.sleep_until(released_by)
        instance.lease = None
        instance.scope.cancel()
        await trio.sleep(trouble.for_s)
        self._nursery.start_soon(self._run_process, instance)
