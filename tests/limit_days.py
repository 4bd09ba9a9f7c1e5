"""Simulate a runner's rate limit over random fleets with faults.

Each simulated daemon has its own, possibly outdated state of the limit and the
roster. Only the limits, the shares and the ranks are production code.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from typing import TYPE_CHECKING

import trio

from martenquay_core.serving import signals
from martenquay_core.util import rendezvous
from martenquay_daemon.backpressure import runner_limits, send_shares
from martenquay_standins import windows
from tests import serving_builders as builders

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["WINDOW_S", "LimitDay", "Played", "find_most_borne", "play_day"]

WINDOW_S = 4.0
# Connected daemons have received a gossiped report after this time.
_GOSSIP_DELAY_S = 3.0
# A daemon has processed an answer after this time.
_PROCESSING_S = 0.5
_LIMITED_AT_S = 5.0
# Larger fleets gossip over hubs.
_MAX_MESH_DAEMONS = 13
_MESH_INTERVAL_S = 0.25
_HUB_INTERVAL_S = 1.0
_RUNNER = builders.build_runner(born_ms=1)


def find_most_borne(limit_per_s: float) -> float:
    """Return the most requests in a window that keep the limit."""
    return 1.5 * limit_per_s * WINDOW_S + 5


@dataclasses.dataclass(frozen=True)
class LimitDay:
    """Simulated fleet with one runner that sets a limit for a while.

    Attributes:
        daemons: Initial number of daemons.
        limit_per_s: Rate limit in requests per second.
        seed: Seed of the random generator.
        lasts_s: Duration of the limit in seconds.
        after_s: Simulated seconds after the limit is lifted.
        faults: Number of partitions, kills and joins.
        pressure: Demand as a multiple of the limit.
        per_daemon_s: Additional requests per second and daemon.
    """

    daemons: int
    limit_per_s: float
    seed: int
    lasts_s: float = 30.0
    after_s: float = 15.0
    faults: int = 6
    pressure: float = 10.0
    per_daemon_s: float = 0.5


@dataclasses.dataclass
class Played:
    """Outcome of a simulation.

    Attributes:
        most: Most requests in a window, of daemons that must know the limit.
        most_of_all: Most requests in a window, of all daemons.
        got_per_s: Requests per second at the runner while the limit is known.
        learnt_s: Seconds until half of the daemons knew that the limit was
            lifted; `after_s` if they never did.
    """

    most: int = 0
    most_of_all: int = 0
    got_per_s: float = 0.0
    learnt_s: float = 0.0


@dataclasses.dataclass
class _Daemon:
    name: str
    limits: runner_limits.RunnerLimits
    listed: set[str]
    is_counted: bool
    reported_at: float | None = None
    dead_until: float = 0.0
    partitioned_until: float = 0.0
    # After a restart or a partition the daemon may not know the limit yet.
    exempt_until: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Arrival:
    at: float
    is_bound: bool


async def play_day(
    day: LimitDay,
    find_share: Callable[
        [float, send_shares.SenderRank], send_shares.Share
    ] = send_shares.find_share,
) -> Played:
    """Run a simulation; needs an autojumping clock."""
    return await _Simulation(day, find_share).play()


class _Simulation:
    def __init__(
        self,
        day: LimitDay,
        find_share: Callable[
            [float, send_shares.SenderRank], send_shares.Share
        ],
    ) -> None:
        self._day = day
        self._find_share = find_share
        self._random = random.Random(day.seed)
        self._start = trio.current_time()
        self._end_s = _LIMITED_AT_S + day.lasts_s + day.after_s
        self._lifted_s = _LIMITED_AT_S + day.lasts_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = {f"entry-{n}" for n in range(day.daemons)}
        self._daemons = {
            name: _Daemon(name, self._build_limits(name), set(names), True)
            for name in sorted(names)
        }
        self._arrivals: list[_Arrival] = []
        self._half_informed_s: float | None = None
        self._pause_s = 0.0
        self._resume_s = 0.0

    async def play(self) -> Played:
        """Run the simulation to its end."""
        self._schedule_faults()
        rate = self._day.pressure * self._day.limit_per_s
        rate += self._day.per_daemon_s * self._day.daemons
        self._schedule_pause()
        self._schedule(0.0, lambda: self._schedule_call(rate))
        self._schedule(0.0, self._gossip)
        while self._events:
            at, _, event = heapq.heappop(self._events)
            if at >= self._end_s:
                break
            await trio.sleep_until(self._start + at)
            event()
        return self._summarize()

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _now(self) -> float:
        return trio.current_time() - self._start

    def _build_limits(self, name: str) -> runner_limits.RunnerLimits:
        return runner_limits.RunnerLimits(
            lambda _: self._find_rank(name), self._find_share
        )

    def _find_rank(self, name: str) -> send_shares.SenderRank:
        one = self._daemons[name]
        if not one.is_counted:
            return send_shares.SenderRank(len(one.listed), len(one.listed) + 1)
        ranked = rendezvous.rank_candidates(_RUNNER.id, one.listed)
        return send_shares.SenderRank(ranked.index(name), len(ranked))

    def _schedule_faults(self) -> None:
        kinds = [self._partition, self._kill, self._join]
        for number in range(self._day.faults):
            at = self._random.uniform(0.0, self._lifted_s)
            self._schedule(at, kinds[number % len(kinds)])

    def _schedule_pause(self) -> None:
        """Schedule a pause of all callers, with a burst at its end."""
        settled_s = _LIMITED_AT_S + _GOSSIP_DELAY_S
        self._pause_s = self._random.uniform(settled_s, self._lifted_s - 4.0)
        latest = min(self._lifted_s, self._pause_s + 20.0)
        self._resume_s = self._random.uniform(self._pause_s, latest)
        self._schedule(self._resume_s, self._send_burst)

    def _send_burst(self) -> None:
        for one in list(self._daemons.values()):
            for _ in range(2):
                at = self._now() + self._random.uniform(0.0, 0.05)
                self._schedule(at, lambda one=one: self._try_send(one))

    def _choose_daemons(self, max_fraction: float) -> list[_Daemon]:
        found = sorted(self._daemons)
        count = self._random.randint(1, max(1, int(len(found) * max_fraction)))
        return [self._daemons[n] for n in self._random.sample(found, count)]

    def _partition(self) -> None:
        """Partition daemons from the others, but not from the runner."""
        until = self._now() + self._random.uniform(1.0, 10.0)
        for one in self._choose_daemons(0.5):
            one.partitioned_until = max(one.partitioned_until, until)
            one.exempt_until = max(one.exempt_until, until + _GOSSIP_DELAY_S)

    def _kill(self) -> None:
        until = self._now() + self._random.uniform(0.5, 3.0)
        for one in self._choose_daemons(0.3):
            one.limits = self._build_limits(one.name)
            one.reported_at = None
            one.dead_until = until
            one.exempt_until = max(one.exempt_until, until + _GOSSIP_DELAY_S)

    def _join(self) -> None:
        name = f"entry-{len(self._daemons)}"
        listed = {one for one in self._daemons}
        fresh = _Daemon(name, self._build_limits(name), listed, False)
        self._daemons[name] = fresh
        latest = 0.0
        for one in list(self._daemons.values()):
            delay_s = self._random.uniform(0.0, 3.0)
            latest = max(latest, delay_s)
            self._schedule(
                self._now() + delay_s, lambda one=one: one.listed.add(name)
            )

        def mark_counted() -> None:
            fresh.is_counted = True

        # A daemon takes its rank once all others have read of it.
        self._schedule(self._now() + latest + 0.1, mark_counted)

    def _schedule_call(self, rate: float) -> None:
        self._schedule(
            self._now() + self._random.expovariate(rate),
            lambda: self._schedule_call(rate),
        )
        if not self._pause_s <= self._now() < self._resume_s:
            self._try_send(self._random.choice(list(self._daemons.values())))

    def _try_send(self, one: _Daemon) -> None:
        """Send a request from a daemon if its limit state allows."""
        if self._now() < one.dead_until:
            return
        if one.limits.find_wait_s(_RUNNER) <= 0:
            one.limits.note_sent(_RUNNER)
            self._send(one, one.limits)

    def _send(self, one: _Daemon, limits: runner_limits.RunnerLimits) -> None:
        sent_at = self._now()
        arrives = sent_at + self._draw_latency_s()
        answered = arrives + self._random.choice([0.01, 0.05, 0.5, 2.0])
        received = answered + self._draw_latency_s()

        def arrive() -> None:
            self._note_arrival(one)

        def receive_answer() -> None:
            # The process that sent the request may have ended.
            if limits is not one.limits:
                return
            is_limited_now = _LIMITED_AT_S <= answered < self._lifted_s
            limit = self._day.limit_per_s if is_limited_now else None
            limits.note_answer(
                _RUNNER, signals.RunnerSignals(limit), self._start + sent_at
            )
            if is_limited_now and one.reported_at is None:
                one.reported_at = self._now()
            self._check_informed()

        self._schedule(arrives, arrive)
        self._schedule(received, receive_answer)

    def _draw_latency_s(self) -> float:
        if self._random.random() < 0.01:
            # A retransmission.
            return 0.25
        return self._random.uniform(0.001, 0.01)

    def _note_arrival(self, one: _Daemon) -> None:
        now = self._now()
        is_informed = (
            one.reported_at is not None
            and now >= one.reported_at + _PROCESSING_S
        )
        self._arrivals.append(
            _Arrival(now, is_informed and now >= one.exempt_until)
        )

    def _gossip(self) -> None:
        """Gossip reports in a mesh, or with a longer delay over hubs."""
        is_mesh = len(self._daemons) <= _MAX_MESH_DAEMONS
        pause_s = _MESH_INTERVAL_S if is_mesh else _HUB_INTERVAL_S
        self._schedule(self._now() + pause_s, self._gossip)
        connected = [
            one for one in self._daemons.values() if self._is_connected(one)
        ]
        reports = [
            report
            for one in connected
            for report in one.limits.list_recent_reports(is_relayed=False)
        ]
        if not reports:
            return
        latency_s = 0.05 if is_mesh else 1.5
        for one in connected:
            at = self._now() + self._random.uniform(0.001, latency_s)
            self._schedule(
                at, lambda one=one: self._receive_gossip(one, reports)
            )

    def _is_connected(self, one: _Daemon) -> bool:
        return self._now() >= max(one.dead_until, one.partitioned_until)

    def _receive_gossip(self, one: _Daemon, reports: list) -> None:
        if self._is_connected(one):
            one.limits.apply_gossip(reports)
            self._check_informed()

    def _check_informed(self) -> None:
        if self._half_informed_s is not None or self._now() < self._lifted_s:
            return
        informed = sum(
            not one.limits.is_limited(_RUNNER) for one in self._daemons.values()
        )
        if 2 * informed >= len(self._daemons):
            self._half_informed_s = self._now() - self._lifted_s

    def _summarize(self) -> Played:
        since = _LIMITED_AT_S + _GOSSIP_DELAY_S
        all_times = [
            one.at for one in self._arrivals if since <= one.at < self._lifted_s
        ]
        bound = [
            one.at
            for one in self._arrivals
            if one.is_bound and since <= one.at < self._lifted_s
        ]
        learnt_s = self._half_informed_s
        return Played(
            most=windows.find_peak_count(bound, WINDOW_S),
            most_of_all=windows.find_peak_count(all_times, WINDOW_S),
            got_per_s=len(all_times) / (self._lifted_s - since),
            learnt_s=self._day.after_s if learnt_s is None else learnt_s,
        )
