"""Play a runner's limit over drawn fleets: joins, cuts, kills and late news.

Daemons have their own knowledge of the limit, of each other and of who is on
the list, and each may be behind. Nothing but the decisions is real: the limits,
the shares and the order of daemons.
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
# Daemons in touch go by what they were told after this time.
_CONTACT_S = 3.0
# A daemon is told once an answer came so long ago.
_TOLD_S = 0.5
_NAMED_AT_S = 5.0
# Beyond this many daemons news go through hubs.
_MESH = 13
_STEP_S = 0.25
_REPORT_S = 1.0
_RUNNER = builders.build_runner(born_ms=1)


def find_most_borne(limit_per_s: float) -> float:
    """Return the requests that a runner bears in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


@dataclasses.dataclass(frozen=True)
class LimitDay:
    """A fleet before one runner that names a limit for a while.

    Attributes:
        daemons: How many there are at first.
        limit_per_s: What the runner names.
        seed: Of all that is drawn.
        lasts_s: For how long it names it.
        after_s: What is played behind that.
        faults: How many cuts, kills and joins there are.
        pressure: How many times the limit callers would send,
        per_daemon_s: and how many requests a second to each daemon beside.
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
    """What came of a day.

    Attributes:
        most: The most requests in any window of daemons that are bound.
        most_of_all: The same of all daemons.
        got_per_s: What the runner got while all was settled.
        learnt_s: When half of the daemons knew of the limit's end, from then
            on; the rest of the day if they did not.
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
    told_at: float | None = None
    dead_until: float = 0.0
    cut_until: float = 0.0
    # A restart or a cut excuses it for a while.
    excused_until: float = 0.0


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
    """Play a day; the clock has to jump."""
    return await _Replay(day, find_share).play()


class _Replay:
    def __init__(
        self,
        day: LimitDay,
        find_share: Callable[
            [float, send_shares.SenderRank], send_shares.Share
        ],
    ) -> None:
        self._day = day
        self._share = find_share
        self._random = random.Random(day.seed)
        self._start = trio.current_time()
        self._end_s = _NAMED_AT_S + day.lasts_s + day.after_s
        self._over_s = _NAMED_AT_S + day.lasts_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = {f"entry-{n}" for n in range(day.daemons)}
        self._daemons = {
            name: _Daemon(name, self._build_limits(name), set(names), True)
            for name in sorted(names)
        }
        self._arrivals: list[_Arrival] = []
        self._learnt_s: float | None = None
        self._pause_s = 0.0
        self._resume_s = 0.0

    async def play(self) -> Played:
        """Play to the end."""
        self._draw_faults()
        rate = self._day.pressure * self._day.limit_per_s
        rate += self._day.per_daemon_s * self._day.daemons
        self._draw_pause()
        self._at(0.0, lambda: self._call(rate))
        self._at(0.0, self._tell)
        while self._events:
            at, _, event = heapq.heappop(self._events)
            if at >= self._end_s:
                break
            await trio.sleep_until(self._start + at)
            event()
        return self._judge()

    def _at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _now(self) -> float:
        return trio.current_time() - self._start

    def _build_limits(self, name: str) -> runner_limits.RunnerLimits:
        return runner_limits.RunnerLimits(
            lambda _: self._find_place(name), self._share
        )

    def _find_place(self, name: str) -> send_shares.SenderRank:
        one = self._daemons[name]
        if not one.is_counted:
            return send_shares.SenderRank(len(one.listed), len(one.listed) + 1)
        ranked = rendezvous.rank_candidates(_RUNNER.id, one.listed)
        return send_shares.SenderRank(ranked.index(name), len(ranked))

    def _draw_faults(self) -> None:
        kinds = [self._cut, self._kill, self._join]
        for number in range(self._day.faults):
            at = self._random.uniform(0.0, self._over_s)
            self._at(at, kinds[number % len(kinds)])

    def _draw_pause(self) -> None:
        """Have callers pause for a while and then come at once everywhere."""
        settled_s = _NAMED_AT_S + _CONTACT_S
        self._pause_s = self._random.uniform(settled_s, self._over_s - 4.0)
        latest = min(self._over_s, self._pause_s + 20.0)
        self._resume_s = self._random.uniform(self._pause_s, latest)
        self._at(self._resume_s, self._clump)

    def _clump(self) -> None:
        for one in list(self._daemons.values()):
            for _ in range(2):
                at = self._now() + self._random.uniform(0.0, 0.05)
                self._at(at, lambda one=one: self._try(one))

    def _choose(self, most_part: float) -> list[_Daemon]:
        found = sorted(self._daemons)
        count = self._random.randint(1, max(1, int(len(found) * most_part)))
        return [self._daemons[n] for n in self._random.sample(found, count)]

    def _cut(self) -> None:
        """Cut daemons from all others; they reach the runner on."""
        until = self._now() + self._random.uniform(1.0, 10.0)
        for one in self._choose(0.5):
            one.cut_until = max(one.cut_until, until)
            one.excused_until = max(one.excused_until, until + _CONTACT_S)

    def _kill(self) -> None:
        until = self._now() + self._random.uniform(0.5, 3.0)
        for one in self._choose(0.3):
            one.limits = self._build_limits(one.name)
            one.told_at = None
            one.dead_until = until
            one.excused_until = max(one.excused_until, until + _CONTACT_S)

    def _join(self) -> None:
        name = f"entry-{len(self._daemons)}"
        listed = {one for one in self._daemons}
        fresh = _Daemon(name, self._build_limits(name), listed, False)
        self._daemons[name] = fresh
        latest = 0.0
        for one in list(self._daemons.values()):
            late_s = self._random.uniform(0.0, 3.0)
            latest = max(latest, late_s)
            self._at(self._now() + late_s, lambda one=one: one.listed.add(name))

        def count() -> None:
            fresh.is_counted = True

        # It counts itself in once all others have read of it.
        self._at(self._now() + latest + 0.1, count)

    def _call(self, rate: float) -> None:
        self._at(
            self._now() + self._random.expovariate(rate),
            lambda: self._call(rate),
        )
        if not self._pause_s <= self._now() < self._resume_s:
            self._try(self._random.choice(list(self._daemons.values())))

    def _try(self, one: _Daemon) -> None:
        """Have a daemon choose the runner for a request, if it may send."""
        if self._now() < one.dead_until:
            return
        if one.limits.find_wait_s(_RUNNER) <= 0:
            one.limits.note_sent(_RUNNER)
            self._send(one, one.limits)

    def _send(self, one: _Daemon, limits: runner_limits.RunnerLimits) -> None:
        sent_at = self._now()
        arrives = sent_at + self._draw_way_s()
        answered = arrives + self._random.choice([0.01, 0.05, 0.5, 2.0])
        heard = answered + self._draw_way_s()

        def arrive() -> None:
            self._note_arrival(one)

        def hear() -> None:
            # The process that asked may have ended.
            if limits is not one.limits:
                return
            is_named = _NAMED_AT_S <= answered < self._over_s
            limit = self._day.limit_per_s if is_named else None
            limits.note_answer(
                _RUNNER, signals.RunnerSignals(limit), self._start + sent_at
            )
            if is_named and one.told_at is None:
                one.told_at = self._now()
            self._note_learnt()

        self._at(arrives, arrive)
        self._at(heard, hear)

    def _draw_way_s(self) -> float:
        if self._random.random() < 0.01:
            # A packet is sent a second time.
            return 0.25
        return self._random.uniform(0.001, 0.01)

    def _note_arrival(self, one: _Daemon) -> None:
        now = self._now()
        is_told = one.told_at is not None and now >= one.told_at + _TOLD_S
        self._arrivals.append(
            _Arrival(now, is_told and now >= one.excused_until)
        )

    def _tell(self) -> None:
        """Have daemons tell each other, or hubs tell them, late at size."""
        is_mesh = len(self._daemons) <= _MESH
        pause_s = _STEP_S if is_mesh else _REPORT_S
        self._at(self._now() + pause_s, self._tell)
        heard = [one for one in self._daemons.values() if self._hears(one)]
        words = [
            word
            for one in heard
            for word in one.limits.list_recent_reports(is_relayed=False)
        ]
        if not words:
            return
        way_s = 0.05 if is_mesh else 1.5
        for one in heard:
            at = self._now() + self._random.uniform(0.001, way_s)
            self._at(at, lambda one=one: self._hear(one, words))

    def _hears(self, one: _Daemon) -> bool:
        return self._now() >= max(one.dead_until, one.cut_until)

    def _hear(self, one: _Daemon, words: list) -> None:
        if self._hears(one):
            one.limits.apply_gossip(words)
            self._note_learnt()

    def _note_learnt(self) -> None:
        if self._learnt_s is not None or self._now() < self._over_s:
            return
        free = sum(
            not one.limits.is_limited(_RUNNER) for one in self._daemons.values()
        )
        if 2 * free >= len(self._daemons):
            self._learnt_s = self._now() - self._over_s

    def _judge(self) -> Played:
        since = _NAMED_AT_S + _CONTACT_S
        all_times = [
            one.at for one in self._arrivals if since <= one.at < self._over_s
        ]
        bound = [
            one.at
            for one in self._arrivals
            if one.is_bound and since <= one.at < self._over_s
        ]
        learnt_s = self._learnt_s
        return Played(
            most=windows.count_most(bound, WINDOW_S),
            most_of_all=windows.count_most(all_times, WINDOW_S),
            got_per_s=len(all_times) / (self._over_s - since),
            learnt_s=self._day.after_s if learnt_s is None else learnt_s,
        )
