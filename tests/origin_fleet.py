"""Simulate daemons, runners and the log around streams that are resumed."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING
from unittest import mock

import trio
from expression import Error, Result

from martenquay_core.platform import outcome
from martenquay_core.serving import catalog, ports
from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    keyed_follower,
    read_schedules,
    runner_directory,
)
from martenquay_daemon.origins import finder, records
from martenquay_daemon.origins import parts as origin_parts
from martenquay_standins.ports import log as memory
from tests import serving_builders as builders

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.serving import runners

__all__ = ["SERVICE", "SILENT_S", "Daemon", "World", "mock_time"]

SERVICE = "desk"
# Streams may be resumed for twice as long.
_TIMEOUT_S = 8.0
_LINK_S = 0.002
# How long a call without an answer takes.
SILENT_S = 1.0


def mock_time() -> mock._patch:
    """Return a patch by which the time of day advances with trio's clock."""
    return mock.patch.object(
        time, "time", lambda: 1_000_000.0 + trio.current_time()
    )


class _LogClient:
    """The log as one daemon reaches it.

    Attributes:
        is_cut: Whether its calls get no answer.
        healed_at: When the last cut ended, in trio's time.
    """

    def __init__(self, log: memory.MemoryLog) -> None:
        self.is_cut = False
        self.healed_at = -math.inf
        self.join_keyed = log.join_keyed
        self.split_keyed = log.split_keyed
        self._log = log

    async def read(
        self, topic: str, start: int, *, wait_s: float = 0.0
    ) -> Result[ports.Page, outcome.PlatformFailure]:
        return await self._call(
            lambda: self._log.read(topic, start, wait_s=wait_s)
        )

    async def read_newest(
        self, topic: str
    ) -> Result[ports.Snapshot, outcome.PlatformFailure]:
        return await self._call(lambda: self._log.read_newest(topic))

    async def append(
        self, topic: str, payloads: list[bytes]
    ) -> Result[ports.Appended, outcome.PlatformFailure]:
        return await self._call(lambda: self._log.append(topic, payloads))

    async def _call(self, call: Callable[[], Awaitable[Result]]) -> Result:
        if not self.is_cut:
            answer = await call()
            if not self.is_cut:
                return answer
        await trio.sleep(SILENT_S)
        return Error(outcome.PlatformFailure(outcome.Effect.UNKNOWN, "silent"))


class _Peers:
    def __init__(self, world: World, number: int) -> None:
        self._world = world
        self._number = number

    def share_origins(self, record: bytes) -> bool:
        return self._world.share(self._number, record)

    def leads_reading(self) -> bool:
        return True

    def is_mesh(self) -> bool:
        return True


class Daemon:
    """One process: what it knows of runners and origins.

    Attributes:
        log: The log as this daemon reaches it.
        directory: The runners that it knows.
        finder: Finds origins.
        is_running: Whether it is neither killed nor suspended.
        is_cut_off: Whether other daemons do not reach it.
    """

    def __init__(self, world: World, number: int) -> None:
        self.log = _LogClient(world.log)
        self.is_running = False
        self.is_cut_off = False
        log_contact = contact.LogContact()
        self.directory = runner_directory.RunnerDirectory(
            world.records, log_contact
        )
        store = catalog_store.create_store(world.records)
        store.offer(b"catalog", "the test")
        follower = keyed_follower.KeyedFollower(
            self.log,
            log_contact,
            builders.TOPICS.runners,
            self.directory,
            read_schedules.RUNNERS,
        )
        self._origins = origin_parts.create_origins(
            self.log,
            builders.TOPICS.origins,
            builders.TOPICS.versions,
            store,
            self.directory,
            follower,
            _Peers(world, number),
        )
        self.finder: finder.OriginFinder = self._origins.finder
        self._follower = follower
        self._inbox: list[bytes] = []
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Run until suspended or killed; may be called again."""
        self.is_running = True
        with trio.CancelScope() as self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follower.run)
                nursery.start_soon(self._origins.log.run)
                inbox, self._inbox = self._inbox, []
                for record in inbox:
                    self._origins.log.apply_shared(record)

    def stop(self) -> None:
        """Suspend or kill the process."""
        self.is_running = False
        self._scope.cancel()

    def receive(self, record: bytes) -> None:
        """Deliver another daemon's message; a suspended process reads later."""
        if self.is_running:
            self._origins.log.apply_shared(record)
        else:
            self._inbox.append(record)


class World:
    """The platform's log, the runners and the daemons.

    Attributes:
        log: The platform's log.
        records: Decodes the records in it.
        runners: The runners that run, by id.
        daemons: The processes by instance; None while one is down.
        nursery: Runs the processes.
    """

    def __init__(self) -> None:
        self.log = memory.MemoryLog()
        self.records = builders.FakeRecords()
        self.runners: dict[str, runners.Runner] = {}
        self.daemons: list[Daemon | None] = []
        self.nursery: trio.Nursery | None = None
        route = builders.build_route(
            kind=catalog.CallKind.STREAM,
            is_resumable=True,
            timeout_s=_TIMEOUT_S,
        )
        self.records.catalogs[b"catalog"] = builders.build_catalog(
            routes=(route,)
        )

    def add_runner(self, software: str) -> str:
        """Have a runner register; return its id."""
        runner_id = f"r{len(self.records.runners)}"
        value = runner_id.encode()
        runner = builders.build_runner(
            id=runner_id, service=SERVICE, software=software
        )
        self.records.runners[value] = self.runners[runner_id] = runner
        self.log.put(builders.TOPICS.runners, runner_id, value)
        return runner_id

    def remove_runner(self, runner_id: str) -> None:
        """End a runner together with its entry."""
        del self.runners[runner_id]
        self.log.put(builders.TOPICS.runners, runner_id, b"")

    def start(self, number: int) -> None:
        """Start a new process at an instance."""
        assert self.nursery is not None
        self.daemons[number] = daemon = Daemon(self, number)
        self.nursery.start_soon(daemon.run)

    def kill(self, number: int) -> None:
        """Kill an instance's process."""
        daemon = self.daemons[number]
        if daemon is not None:
            daemon.stop()
            self.daemons[number] = None

    def list_written(self) -> set[str]:
        """Return the streams whose origin the log has."""
        return {
            origin.request
            for payload in self.log.list_payloads(builders.TOPICS.origins)
            for origin in records.decode_batch(payload).origins
        }

    def share(self, sender: int, record: bytes) -> bool:
        """Deliver a message to all daemons that the sender reaches."""
        source = self.daemons[sender]
        if source is None or source.is_cut_off:
            return False
        for number, daemon in enumerate(self.daemons):
            if daemon is None or daemon.is_cut_off or number == sender:
                continue
            assert self.nursery is not None
            self.nursery.start_soon(_deliver, daemon, record)
        return True


async def _deliver(daemon: Daemon, record: bytes) -> None:
    await trio.sleep(_LINK_S)
    daemon.receive(record)
