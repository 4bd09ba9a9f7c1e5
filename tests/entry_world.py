"""Simulate daemons that read runners' entries from a log or from peers."""

from __future__ import annotations

import dataclasses
import math

import trio

from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    keyed_follower,
    runner_directory,
)
from martenquay_daemon.fleet import state_copies
from martenquay_standins.ports import log
from tests import serving_builders as builders

__all__ = ["RETURN_S", "Daemon", "EntryWorld", "LoggedState"]

# Runners whose entries expired during a log outage write them again within this
# time after it.
RETURN_S = 2.2
_TOPIC = "runners"
_SERVICE = "desk"


@dataclasses.dataclass(frozen=True)
class LoggedState:
    """State of a runner's entry in the log since some time.

    Attributes:
        at: Start of the state, in trio's time.
        is_usable: The entry exists and does not report that the runner drains.
        is_ended: The entry was deleted.
    """

    at: float
    is_usable: bool
    is_ended: bool = False


class Daemon:
    """A daemon's copy of the runners' entries.

    Attributes:
        state: The copy.
        state_transfer: Sends the copy to other daemons and applies theirs.
        contact: Whether the log is reachable.
    """

    def __init__(
        self, records: builders.FakeRecords, platform_log: log.MemoryLog
    ):
        self.contact = contact.LogContact()
        directory = runner_directory.RunnerDirectory(records, self.contact)
        self._follower = keyed_follower.KeyedFollower(
            platform_log,
            self.contact,
            _TOPIC,
            directory,
            keyed_follower.ReadSchedule(wait_s=1.0),
        )
        self.state = state_copies.FleetState(
            catalog_store.create_store(records),
            directory,
            self._follower,
            self.contact,
        )
        self.state_transfer = state_copies.StateTransfer(self.state)
        self.contact.note_answer()

    @property
    def known_until(self) -> float:
        """Time up to which the copy claims to reflect the log."""
        return self._follower.copy_age.confirmed_at

    async def read(self) -> None:
        """Read new records of the log."""
        await self._follower.read_now()

    async def copy_from(self, other: Daemon, delay_s: float) -> None:
        """Request another daemon's copy and apply it `delay_s` later."""
        request = self.state_transfer.create_request()
        reply = other.state_transfer.create_reply(request, [])
        await trio.sleep(delay_s)
        self.state_transfer.apply_reply(reply)

    def list_usable(self) -> set[str]:
        """Return the ids of the runners that accept requests."""
        usable = self.state.directory.list_usable(_SERVICE)
        return {runner.id for runner in usable}


class EntryWorld:
    """A log, daemons, and the history of the log's entries.

    Attributes:
        daemons: All of them.
        outage_ended_at: End of the last log outage at any of them.
    """

    def __init__(self, count: int) -> None:
        self.outage_ended_at = -math.inf
        self._records = builders.FakeRecords()
        self._log = log.MemoryLog()
        self._history: dict[str, list[LoggedState]] = {}
        self._restarts: dict[str, int] = {}
        self.daemons = [self._build_daemon() for _ in range(count)]

    def put(
        self, runner: int, *, is_leaving: bool = False, is_new: bool = False
    ) -> None:
        """Write a runner's entry.

        Args:
            runner: Number of the runner.
            is_leaving: The entry reports that the runner drains.
            is_new: The runner has restarted under the same id.
        """
        key = f"r-{runner}"
        restarts = self._restarts.get(key, 0) + (1 if is_new else 0)
        self._restarts[key] = restarts
        entry = builders.build_runner(
            id=key,
            address=f"127.0.0.1:{runner + 1}",
            is_leaving=is_leaving,
            born_ms=1000 + restarts,
        )
        value = repr(entry).encode().replace(b"=", b":")
        self._records.runners[value] = entry
        self._log.put(_TOPIC, key, value)
        self._record(key, LoggedState(trio.current_time(), not is_leaving))

    def end(self, runner: int) -> None:
        """Delete a runner's entry."""
        key = f"r-{runner}"
        self._log.put(_TOPIC, key, b"")
        self._record(
            key, LoggedState(trio.current_time(), False, is_ended=True)
        )

    async def restart(self, daemon: int) -> None:
        """Replace a daemon by one without a copy."""
        self.daemons[daemon] = self._build_daemon()

    async def lose_log(self, daemon: int, duration_s: float) -> None:
        """Make the log unreachable for one daemon for a while, then read."""
        target = self.daemons[daemon]
        target.contact.note_failure("away")
        await trio.sleep(duration_s)
        await target.read()
        if target.contact.regained_at > -math.inf:
            self.outage_ended_at = max(
                self.outage_ended_at, target.contact.regained_at
            )

    def list_wrong(self, daemon: Daemon) -> list[str]:
        """Return the errors of a daemon's copy as of the time it claims."""
        until = daemon.known_until
        now = trio.current_time()
        usable = daemon.list_usable()
        errors = []
        for key, states in self._history.items():
            seen = [state for state in states if state.at < until]
            if not seen or states[-1] is not seen[-1]:
                continue
            last = seen[-1]
            may_be_back = now < self.outage_ended_at + RETURN_S
            if last.is_usable and key not in usable:
                errors.append(f"{key} is missing")
            is_excused = last.is_ended and may_be_back
            if not last.is_usable and key in usable and not is_excused:
                errors.append(f"{key} is used {now - last.at:.1f} s late")
        return errors

    def _build_daemon(self) -> Daemon:
        return Daemon(self._records, self._log)

    def _record(self, key: str, state: LoggedState) -> None:
        self._history.setdefault(key, []).append(state)
