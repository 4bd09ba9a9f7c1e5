"""Capacity memories of daemons on one log, with heartbeats of runners."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.discovery import contact, keyed_follower, read_schedules
from martenquay_daemon.duties import capacity_memory, heartbeat_clock
from martenquay_daemon.engines import model
from martenquay_standins.ports import log

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["MemoryDaemon", "MemoryScene", "build_learnt"]

_TOPIC = "rollouts"
_HEARTBEAT_S = 0.5


def build_learnt(
    tokens_per_s: float = 300_000.0,
    read_tokens_per_s: float = 23_000.0,
    hold_s: float = 1.5,
) -> capacity_memory.ServiceMemory:
    """Return what a lease holder learnt of a service."""
    return capacity_memory.ServiceMemory(
        tokens_per_s, read_tokens_per_s, hold_s
    )


@dataclasses.dataclass
class MemoryDaemon:
    """One daemon's memory.

    Attributes:
        memory: The memory.
        estimates: The model that gets remembered speeds as priors.
        is_holder: The daemon holds the lease.
    """

    memory: capacity_memory.CapacityMemory
    estimates: model.RunnerModel
    is_holder: bool


class MemoryScene:
    """A log and runners that outlive the daemons.

    Attributes:
        log: The log.
        runners: Number of runners that append heartbeats.
        runners_end: End of the runners' topic.
        known_end: End as far as daemons know that do not read the topic; None
            if all know it.
    """

    def __init__(self, runners: int = 10) -> None:
        self.log = log.MemoryLog()
        self.runners = runners
        self.runners_end = 1000
        self.known_end: int | None = None

    @contextlib.asynccontextmanager
    async def open_runners(self) -> AsyncIterator[None]:
        """Append heartbeats meanwhile."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._beat)
            yield
            nursery.cancel_scope.cancel()

    @contextlib.asynccontextmanager
    async def open_daemon(
        self, *, is_holder: bool
    ) -> AsyncIterator[MemoryDaemon]:
        """Run one daemon's memory, after its first reads."""
        estimates = model.RunnerModel()
        clock = heartbeat_clock.HeartbeatClock(
            lambda: self.known_end or self.runners_end, lambda: self.runners
        )
        memory = capacity_memory.create_capacity_memory(
            self.log, _TOPIC, clock, estimates
        )
        follower = keyed_follower.KeyedFollower(
            self.log,
            contact.LogContact(),
            _TOPIC,
            memory,
            read_schedules.STEPS,
            is_needed=lambda: False,
        )
        daemon = MemoryDaemon(memory, estimates, is_holder)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            nursery.start_soon(
                memory.run, [follower.first_read], lambda: daemon.is_holder
            )
            await trio.sleep(0.1)
            yield daemon
            nursery.cancel_scope.cancel()

    def count_records(self) -> int:
        """Return how often the memory was written."""
        return len(self.log.list_payloads(_TOPIC))

    def put_record(self, value: bytes) -> None:
        """Write a record as another version of the daemon would."""
        self.log.put(_TOPIC, capacity_memory.MEMORY_KEY, value)

    async def _beat(self) -> None:
        while True:
            await trio.sleep(_HEARTBEAT_S)
            self.runners_end += self.runners
