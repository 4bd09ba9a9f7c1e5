"""Draw days on which streams are resumed beside releases and faults."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.origins import finder
from tests import clocked, origin_fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["Day", "play_day"]

_DAY_S = 150.0
_DAEMONS = 4
_STREAM_INTERVAL_S = 0.1
# The finder's wait in `forwarding.stream_resumption`.
_FIND_S = 0.8


@dataclasses.dataclass
class _Stream:
    id: str
    software: str
    begun_at: float
    began: origin_fleet.Daemon


@dataclasses.dataclass
class Day:
    """What became of the resumed streams of one day.

    Attributes:
        resumed: Streams that were resumed.
        went_on: Those that went on.
        joined: Those that would have gone on at another version.
        lost: Those that were refused although a runner of their version was
            there and the log had their origin.
        unrecorded: Those that were refused though a runner was there, because
            the log did not have their origin.
    """

    resumed: int = 0
    went_on: int = 0
    joined: list[str] = dataclasses.field(default_factory=list)
    lost: list[str] = dataclasses.field(default_factory=list)
    unrecorded: int = 0


class _Player:
    def __init__(self, seed: int) -> None:
        self.day = Day()
        self._rng = random.Random(seed)
        self._world = origin_fleet.World()
        self._version = 0
        self._streams: list[_Stream] = []
        self._count = 0
        self._nursery: trio.Nursery | None = None

    async def play(self) -> None:
        world = self._world
        for _ in range(4):
            world.add_runner("v0")
        async with trio.open_nursery() as nursery:
            world.nursery = self._nursery = nursery
            world.daemons = [None] * _DAEMONS
            for number in range(_DAEMONS):
                world.start(number)
            await trio.sleep(1.0)
            for task in (
                self._begin_streams,
                lambda: self._repeat(4.0, 50.0, self._release_beside_trouble),
                lambda: self._repeat(4.0, 30.0, self._disturb),
                lambda: self._repeat(0.5, 4.0, self._break_some),
            ):
                nursery.start_soon(task)
            await trio.sleep(_DAY_S)
            nursery.cancel_scope.cancel()

    async def _repeat(
        self, least_s: float, most_s: float, act: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await trio.sleep(self._rng.uniform(least_s, most_s))
            await act()

    def _list_running(self) -> list[origin_fleet.Daemon]:
        return [one for one in self._world.daemons if one and one.is_running]

    async def _begin_streams(self) -> None:
        while True:
            await trio.sleep(self._rng.expovariate(1 / _STREAM_INTERVAL_S))
            running = self._list_running()
            if not running:
                continue
            daemon = self._rng.choice(running)
            usable = [
                one
                for one in daemon.directory.list_usable(origin_fleet.SERVICE)
                if one.id in self._world.runners
            ]
            if not usable:
                continue
            self._count += 1
            software = self._rng.choice(usable).software
            stream = _Stream(
                f"s{self._count}",
                software,
                trio.current_time(),
                daemon,
            )
            daemon.finder.note_begun(
                stream.id, origin_fleet.SERVICE, stream.software
            )
            self._streams.append(stream)
            del self._streams[:-60]

    async def _release_beside_trouble(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._release)
            await trio.sleep(self._rng.choice((0.0, 0.1, 0.4, 1.0, 3.0)))
            if self._rng.random() < 0.6:
                nursery.start_soon(self._disturb)

    async def _release(self) -> None:
        """Replace some or all runners, sometimes the old ones first."""
        world, rng = self._world, self._rng
        self._version += 1
        old = list(world.runners)
        leaving = rng.sample(old, rng.randint(1, len(old)))
        for _ in leaving:
            world.add_runner(f"v{self._version}")
            await trio.sleep(rng.choice((0.0, 0.4)))
        await trio.sleep(rng.choice((0.0, 0.3, 1.5, 4.0)))
        for runner_id in leaving:
            world.remove_runner(runner_id)
            await trio.sleep(rng.choice((0.0, 0.2)))

    async def _disturb(self) -> None:
        kind = self._rng.choice(("kill", "kill all", "suspend", "cut", "log"))
        for_s = self._rng.uniform(0.3, 4.0)
        number = self._rng.randrange(_DAEMONS)
        daemon = self._world.daemons[number]
        match kind:
            case "kill":
                await self._kill([number], for_s)
            case "kill all":
                await self._kill(list(range(_DAEMONS)), for_s)
            case "suspend" if daemon is not None:
                daemon.stop()
                await trio.sleep(for_s)
                # Callers come first, then what was buffered.
                daemon.is_running = True
                self._resume_all(self._draw_streams(), daemon)
                self._start(daemon)
            case _ if daemon is not None:
                daemon.log.is_cut = True
                daemon.is_cut_off = kind == "cut"
                await trio.sleep(for_s)
                daemon.is_cut_off = daemon.log.is_cut = False
                daemon.log.healed_at = trio.current_time()
                self._resume_all(self._draw_streams(), daemon)

    async def _kill(self, numbers: list[int], for_s: float) -> None:
        """Kill processes; their streams are resumed where a process runs."""
        world = self._world
        killed = [world.daemons[number] for number in numbers]
        broken = [one for one in self._streams if one.began in killed]
        for number in numbers:
            world.kill(number)
        self._resume_all(broken)
        await trio.sleep(for_s)
        for number in numbers:
            world.start(number)
        if len(numbers) == _DAEMONS:
            await trio.sleep(self._rng.uniform(0.02, 0.3))
            self._resume_all(broken)

    def _draw_streams(self) -> list[_Stream]:
        return self._rng.sample(self._streams, min(4, len(self._streams)))

    def _start(self, daemon: origin_fleet.Daemon) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(daemon.run)

    async def _break_some(self) -> None:
        """Break streams off, of runners that may have ended."""
        self._resume_all(self._draw_streams())

    def _resume_all(
        self,
        streams: list[_Stream],
        daemon: origin_fleet.Daemon | None = None,
    ) -> None:
        assert self._nursery is not None
        for stream in streams:
            running = [daemon] if daemon is not None else self._list_running()
            if running:
                self._nursery.start_soon(
                    self._resume, stream, self._rng.choice(running)
                )

    async def _resume(
        self, stream: _Stream, daemon: origin_fleet.Daemon
    ) -> None:
        # Calls from before the end of a cut still have no answer.
        since_cut_s = trio.current_time() - daemon.log.healed_at
        was_cut = daemon.log.is_cut or since_cut_s < origin_fleet.SILENT_S
        is_written = stream.id in self._world.list_written()
        found = await daemon.finder.find(
            stream.id, origin_fleet.SERVICE, _FIND_S
        )
        if not daemon.is_running:
            return
        self.day.resumed += 1
        match found:
            case finder.Begun(origin=origin):
                software = origin.software
            case finder.OnlyVersion(software=software):
                pass
            case finder.UnknownVersion():
                software = None
        described = f"{stream} at {trio.current_time():.2f}: {found}"
        if software is not None:
            self.day.went_on += 1
            if software != stream.software:
                self.day.joined.append(described)
            return
        usable = daemon.directory.list_usable(origin_fleet.SERVICE)
        has_runner = any(one.software == stream.software for one in usable)
        if not has_runner or was_cut or daemon.log.is_cut:
            return
        if is_written:
            self.day.lost.append(described)
        else:
            self.day.unrecorded += 1


def play_day(seed: int) -> Day:
    """Play the day of a seed."""
    player = _Player(seed)
    with origin_fleet.mock_time():
        clocked.run_seeded(player.play, seed)
    return player.day
