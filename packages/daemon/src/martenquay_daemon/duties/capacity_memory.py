"""Keep learnt speeds and demand in the log for daemons that start.

The lease holder writes one record. A starting daemon reads it with its first
reads; it shares the topic of the rollout steps, which every daemon reads once
at its start and which is followed only while a rollout is open.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec
import trio

from martenquay_core import logs
from martenquay_core.util import decoding
from martenquay_daemon.duties import heartbeat_clock  # noqa: TC001
from martenquay_daemon.engines import model

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from martenquay_core.serving import ports

__all__ = [
    "MEMORY_KEY",
    "CapacityMemory",
    "Remembered",
    "ServiceMemory",
    "create_capacity_memory",
]

_LOG = logs.create_log("capacity")
# No service's name begins with a period.
MEMORY_KEY = ".capacity"
# To be raised with each change of the record's fields.
_VERSION = 1
# Demand and speed of a minute ago are no better than the priors.
_MAX_AGE_S = 60.0
# An unchanged record is written again while half of its validity is left.
_REWRITE_AFTER_S = 30.0
_MIN_WRITE_INTERVAL_S = 5.0
_CHECK_INTERVAL_S = 1.0
# In a large fleet only the lease holder and some hubs read heartbeats. A new
# holder catches up within this time; that growth would look like a high rate.
_CATCH_UP_S = 3.0
# Smaller changes are not worth a call; runners are planned with a third of
# their speed in reserve.
_MIN_CHANGE = 0.1


class ServiceMemory(msgspec.Struct, frozen=True, array_like=True):
    """What was learnt of one service.

    Attributes:
        tokens_per_s: Uncached prompt tokens that arrive at all daemons.
        read_tokens_per_s: Prefill speed of one runner.
        hold_s: Seconds that a request occupies a slot.
    """

    tokens_per_s: float
    read_tokens_per_s: float
    hold_s: float


@dataclasses.dataclass(frozen=True)
class Remembered:
    """What an earlier lease holder wrote.

    Attributes:
        services: What was learnt, by service; demand is 0 if the age is
            unknown.
        age_s: Age of the record when it was read, in seconds; None if unknown.
    """

    services: Mapping[str, ServiceMemory]
    age_s: float | None


class _Versioned(msgspec.Struct, frozen=True):
    version: int


class _MemoryRecord(msgspec.Struct, frozen=True):
    version: int
    services: dict[str, ServiceMemory]
    mark: heartbeat_clock.HeartbeatMark | None = None


class CapacityMemory:
    """Reads the record once and writes it while the lease is held here.

    It implements `keyed_follower.RecordSink`; records of other keys are
    ignored.
    """

    def __init__(
        self,
        log: ports.LogPort,
        topic: str,
        clock: heartbeat_clock.HeartbeatClock,
        estimates: model.RunnerModel,
    ) -> None:
        self._log = log
        self._topic = topic
        self._clock = clock
        self._estimates = estimates
        self._found: _MemoryRecord | None = None
        self._remembered: Remembered | None = None
        self._valid_until = -math.inf
        self._noted: dict[str, ServiceMemory] = {}
        self._written: dict[str, ServiceMemory] = {}
        self._tried_at = -math.inf
        self._written_at = -math.inf
        self._has_mark = False
        self._held_since = math.inf

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Keep the record of a snapshot, if there is one."""
        for record in snapshot.records:
            self.apply_change(record)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Keep the record, unless it is of another key or version."""
        if record.key != MEMORY_KEY or record.value is None:
            return
        try:
            version = decoding.decode_json(record.value, _Versioned).version
            if version != _VERSION:
                _LOG.write(f"Ignored a capacity record of version {version}.")
                return
            self._found = decoding.decode_json(record.value, _MemoryRecord)
        except msgspec.MsgspecError as error:
            _LOG.write(f"Ignored an invalid capacity record: {error}.")

    def load(self) -> Remembered | None:
        """Return what is remembered; None if there is nothing recent."""
        if trio.current_time() > self._valid_until:
            return None
        return self._remembered

    def note(self, service: str, learnt: ServiceMemory) -> None:
        """Note the current state of a service, to be written when due."""
        self._noted[service] = learnt

    async def run(
        self, first_reads: list[trio.Event], may_write: Callable[[], bool]
    ) -> None:
        """Adopt the record of the log, then write until cancelled.

        Args:
            first_reads: Set when this record's and the runners' topics were
                read.
            may_write: Returns whether this daemon holds the lease.
        """
        for event in first_reads:
            await event.wait()
        self.adopt()
        while True:
            self._observe_clock(is_holder=may_write())
            if may_write() and self._is_due():
                await self._write()
            await trio.sleep(_CHECK_INTERVAL_S)

    def adopt(self) -> None:
        """Use the record that was read, if it is recent enough."""
        found, self._found = self._found, None
        if found is None:
            return
        age_s = found.mark and self._clock.find_age_s(found.mark)
        if age_s is not None and age_s > _MAX_AGE_S:
            _LOG.write("Ignored an old capacity record.", age_s=round(age_s, 1))
            return
        services = found.services
        if age_s is None:
            services = {
                name: msgspec.structs.replace(one, tokens_per_s=0.0)
                for name, one in services.items()
            }
        for name, one in services.items():
            self._estimates.set_prior(
                name, model.Prior(one.read_tokens_per_s, one.hold_s)
            )
        self._remembered = Remembered(services, age_s)
        self._valid_until = trio.current_time() + _MAX_AGE_S - (age_s or 0.0)
        _LOG.write(
            "Adopted the capacity record of an earlier lease holder.",
            age_s=None if age_s is None else round(age_s, 1),
            tokens_per_s={n: one.tokens_per_s for n, one in services.items()},
            read_tokens_per_s={
                n: one.read_tokens_per_s for n, one in services.items()
            },
        )

    def _observe_clock(self, *, is_holder: bool) -> None:
        now = trio.current_time()
        if not is_holder:
            self._held_since = math.inf
            self._clock.reset()
            return
        self._held_since = min(self._held_since, now)
        if now - self._held_since >= _CATCH_UP_S:
            self._clock.observe()

    def _is_due(self) -> bool:
        now = trio.current_time()
        if not self._noted or now - self._tried_at < _MIN_WRITE_INTERVAL_S:
            return False
        if now - self._written_at >= _REWRITE_AFTER_S:
            return True
        if not self._has_mark and self._clock.create_mark() is not None:
            # Without a mark, readers cannot use the demand.
            return True
        return self._noted.keys() != self._written.keys() or any(
            _is_changed(one, self._written[name])
            for name, one in self._noted.items()
        )

    async def _write(self) -> None:
        self._tried_at = trio.current_time()
        noted = dict(self._noted)
        record = _MemoryRecord(_VERSION, noted, self._clock.create_mark())
        payload = self._log.join_keyed(MEMORY_KEY, msgspec.json.encode(record))
        written = await self._log.append(self._topic, [payload])
        if written.is_error():
            _LOG.write(
                f"Capacity record was not written: {written.error.message}."
            )
            return
        self._written = noted
        self._written_at = self._tried_at
        self._has_mark = record.mark is not None


def _is_changed(one: ServiceMemory, other: ServiceMemory) -> bool:
    pairs = zip(
        msgspec.structs.astuple(one),
        msgspec.structs.astuple(other),
        strict=True,
    )
    return any(abs(a - b) > _MIN_CHANGE * max(a, b) for a, b in pairs)


def create_capacity_memory(
    log: ports.LogPort,
    topic: str,
    clock: heartbeat_clock.HeartbeatClock,
    estimates: model.RunnerModel,
) -> CapacityMemory:
    """Return a memory that has read nothing yet.

    Args:
        log: The platform's log.
        topic: Keyed topic of the record.
        clock: Tells the age of a record.
        estimates: Gets the remembered speeds as priors.
    """
    return CapacityMemory(log, topic, clock, estimates)
