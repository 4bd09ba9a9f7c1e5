"""A log of runners' entries and daemons that read it or copy each other."""

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

__all__ = ["RETURN_S", "Daemon", "EntryWorld", "Truth"]

# Entries that lapsed while the log was away are back so soon after it.
RETURN_S = 2.2
_TOPIC = "runners"
_SERVICE = "desk"


@dataclasses.dataclass(frozen=True)
class Truth:
    """What the log held of a runner from some moment on.

    Attributes:
        at: In trio's time.
        is_usable: It was there and did not say that it leaves.
        is_ended: Its entry was gone.
    """

    at: float
    is_usable: bool
    is_ended: bool = False


class Daemon:
    """What one daemon knows of the runners.

    Attributes:
        state: Its copy.
        copies: Hands it on and takes others'.
        contact: Whether the log answers it.
    """

    def __init__(self, records: builders.FakeRecords, logged: log.MemoryLog):
        self.contact = contact.LogContact()
        directory = runner_directory.RunnerDirectory(records, self.contact)
        self._follower = keyed_follower.KeyedFollower(
            logged,
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
        self.copies = state_copies.StateTransfer(self.state)
        self.contact.note_answer()

    @property
    def known_until(self) -> float:
        """All that the log had by then is known, says the daemon."""
        return self._follower.copy_age.confirmed_at

    async def read(self) -> None:
        """Read what is new in the log."""
        await self._follower.read_now()

    async def copy_from(self, other: Daemon, delay_s: float) -> None:
        """Ask another daemon and take its copy, `delay_s` later."""
        want = self.copies.create_request()
        answer = other.copies.create_reply(want, [])
        await trio.sleep(delay_s)
        self.copies.apply_reply(answer)

    def list_usable(self) -> set[str]:
        """Return the runners that may get work."""
        usable = self.state.directory.list_usable(_SERVICE)
        return {runner.id for runner in usable}


class EntryWorld:
    """The log, the daemons, and what was true when.

    Attributes:
        daemons: All of them.
        outage_ended_at: When the log was last back for any of them.
    """

    def __init__(self, count: int) -> None:
        self.outage_ended_at = -math.inf
        self._records = builders.FakeRecords()
        self._log = log.MemoryLog()
        self._truth: dict[str, list[Truth]] = {}
        self._starts: dict[str, int] = {}
        self.daemons = [self._build_daemon() for _ in range(count)]

    def put(
        self, runner: int, *, is_leaving: bool = False, is_new: bool = False
    ) -> None:
        """Write a runner's entry.

        Args:
            runner: Which one.
            is_leaving: It says that it ends soon.
            is_new: It has started again under the same id.
        """
        key = f"r-{runner}"
        starts = self._starts.get(key, 0) + (1 if is_new else 0)
        self._starts[key] = starts
        entry = builders.build_runner(
            id=key,
            address=f"127.0.0.1:{runner + 1}",
            is_leaving=is_leaving,
            born_ms=1000 + starts,
        )
        value = repr(entry).encode().replace(b"=", b":")
        self._records.runners[value] = entry
        self._log.put(_TOPIC, key, value)
        self._note(key, Truth(trio.current_time(), not is_leaving))

    def end(self, runner: int) -> None:
        """Drop a runner's entry."""
        key = f"r-{runner}"
        self._log.put(_TOPIC, key, b"")
        self._note(key, Truth(trio.current_time(), False, is_ended=True))

    async def restart(self, daemon: int) -> None:
        """Replace a daemon by one that knows nothing."""
        self.daemons[daemon] = self._build_daemon()

    async def lose_log(self, daemon: int, lasts_s: float) -> None:
        """Have the log not answer one daemon for a while, then read."""
        one = self.daemons[daemon]
        one.contact.note_failure("away")
        await trio.sleep(lasts_s)
        await one.read()
        if one.contact.regained_at > -math.inf:
            self.outage_ended_at = max(
                self.outage_ended_at, one.contact.regained_at
            )

    def list_wrong(self, daemon: Daemon) -> list[str]:
        """Return what a daemon gets wrong for the age that it names."""
        until = daemon.known_until
        now = trio.current_time()
        usable = daemon.list_usable()
        found = []
        for key, told in self._truth.items():
            known = [one for one in told if one.at < until]
            if not known or told[-1] is not known[-1]:
                continue
            last = known[-1]
            may_return = now < self.outage_ended_at + RETURN_S
            if last.is_usable and key not in usable:
                found.append(f"{key} is missing")
            is_excused = last.is_ended and may_return
            if not last.is_usable and key in usable and not is_excused:
                found.append(f"{key} is used {now - last.at:.1f} s late")
        return found

    def _build_daemon(self) -> Daemon:
        return Daemon(self._records, self._log)

    def _note(self, key: str, truth: Truth) -> None:
        self._truth.setdefault(key, []).append(truth)
