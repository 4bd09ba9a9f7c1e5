"""Hold the runners' entries and say which runners may get work."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec
import trio

from martenquay_core import logs

if TYPE_CHECKING:
    from martenquay_core.serving import ports, runners
    from martenquay_daemon.discovery import contact

__all__ = ["RunnerCopy", "RunnerDirectory"]

_LOG = logs.create_log("runners")
# A live runner whose entry lapsed while the log was away writes it again
# within this time of the log's return.
_RETURN_S = 2.2
# A runner that answered for another one's id is remembered as gone for this
# long; by then its entry has lapsed (three heartbeats) or been replaced.
_GONE_S = 30.0


class RunnerCopy(msgspec.Struct, frozen=True, array_like=True):
    """One runner's entry as it lies in the log.

    Attributes:
        key: The runner's id.
        offset: The record's offset.
        value: The record's content.
    """

    key: str
    offset: int
    value: bytes


class RunnerDirectory:
    """Entries of runners by id.

    Attributes:
        changed_end: The end of the entries up to the last one that said
            something new; heartbeats do not count.
    """

    def __init__(
        self, codec: ports.PlatformCodec, log_contact: contact.LogContact
    ) -> None:
        self.changed_end = 0
        self._codec = codec
        self._contact = log_contact
        self._runners: dict[str, runners.Runner] = {}
        self._copies: dict[str, RunnerCopy] = {}
        self._lapsing: dict[str, float] = {}
        self._gone: dict[str, float] = {}
        self._left: dict[str, float] = {}
        self._zones: dict[str, set[str]] = {}

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Take the newest entries; runners without one are gone."""
        kept = {r.key for r in snapshot.records if r.value is not None}
        for record in snapshot.records:
            self.take(record)
        for key in set(self._runners) - kept:
            self._drop(key)
            self._note_change(snapshot.end - 1)

    def take(self, record: ports.KeyedRecord) -> None:
        """Take one entry, or the end of one."""
        if record.value is None:
            self._drop(record.key)
            self._note_change(record.offset)
            return
        try:
            runner = self._codec.decode_runner(record.key, record.value)
        except ValueError as error:
            _LOG.write(f"Entry of {record.key} is malformed: {error}.")
            return
        copy = RunnerCopy(record.key, record.offset, record.value)
        self._store(runner, copy)

    def take_copies(
        self, copies: list[RunnerCopy], runner_ids: set[str]
    ) -> None:
        """Take entries from a peer that has read further in the log.

        Args:
            copies: Those that this daemon may lack.
            runner_ids: All that there are.
        """
        for copy in copies:
            known = self._copies.get(copy.key)
            if known is None or known.offset < copy.offset:
                runner = self._codec.decode_runner(copy.key, copy.value)
                self._store(runner, copy)
        for key in set(self._runners) - runner_ids:
            self._drop(key)

    def list_copies(self) -> list[RunnerCopy]:
        """Return all entries for a peer that cannot read the log."""
        return list(self._copies.values())

    def find(self, runner_id: str) -> runners.Runner | None:
        """Return a runner by id."""
        self._expire()
        return self._runners.get(runner_id)

    def list_all(self, service: str) -> list[runners.Runner]:
        """Return the runners of a service, those that leave too."""
        self._expire()
        return [r for r in self._runners.values() if r.service == service]

    def list_usable(self, service: str) -> list[runners.Runner]:
        """Return the runners of a service that may get new work."""
        return [
            runner
            for runner in self.list_all(service)
            if not runner.is_leaving and runner.id not in self._gone
        ]

    def list_zones(self, service: str) -> set[str]:
        """Return the zones in which a service has ever had a runner."""
        return set(self._zones.get(service, ()))

    def note_gone(self, runner_id: str) -> None:
        """Note that another runner answered at this one's address."""
        if runner_id in self._runners and runner_id not in self._gone:
            _LOG.write(
                f"Another runner has the address of {runner_id}.",
                runner=runner_id,
            )
            self._gone[runner_id] = trio.current_time() + _GONE_S

    def find_time_left(self, runner_id: str) -> float:
        """Return the seconds until a leaving runner ends, if it said so."""
        return self._left.get(runner_id, math.inf) - trio.current_time()

    def _store(self, runner: runners.Runner, copy: RunnerCopy) -> None:
        self._lapsing.pop(runner.id, None)
        previous = self._runners.get(runner.id)
        if previous is not None and not _is_change(previous, runner):
            # The copy stays at the record that said this first: heartbeats
            # of a thousand runners are not worth handing on.
            return
        self._runners[runner.id] = runner
        self._copies[runner.id] = copy
        self._zones.setdefault(runner.service, set()).add(runner.zone)
        self._note_change(copy.offset)
        if previous is None:
            self._note_new(runner)
        elif runner.is_leaving and not previous.is_leaving:
            self._note_leaving(runner)

    def _note_change(self, offset: int) -> None:
        self.changed_end = max(self.changed_end, offset + 1)

    def _note_new(self, runner: runners.Runner) -> None:
        for other in list(self._runners.values()):
            if other.address == runner.address and other.id != runner.id:
                _LOG.write(
                    f"Runner {other.id} is gone: {runner.id} took its address.",
                    runner=other.id,
                )
                self._forget(other.id)
        _LOG.write(
            f"Runner {runner.id} is known.",
            runner=runner.id,
            service=runner.service,
            zone=runner.zone,
            reclaimable=runner.is_reclaimable,
        )
        if runner.is_leaving:
            self._note_leaving(runner)

    def _note_leaving(self, runner: runners.Runner) -> None:
        left_s = runner.leaves_in_s
        if left_s is not None:
            self._left[runner.id] = trio.current_time() + left_s
        _LOG.write(
            f"Runner {runner.id} is leaving.", runner=runner.id, left_s=left_s
        )

    def _drop(self, runner_id: str) -> None:
        if runner_id not in self._runners:
            return
        until = self._contact.regained_at + _RETURN_S
        if trio.current_time() < until:
            self._lapsing.setdefault(runner_id, until)
            return
        _LOG.write(f"Runner {runner_id} is gone.", runner=runner_id)
        self._forget(runner_id)

    def _expire(self) -> None:
        now = trio.current_time()
        for runner_id, until in list(self._lapsing.items()):
            if now >= until:
                _LOG.write(
                    f"Runner {runner_id} did not come back with the log.",
                    runner=runner_id,
                )
                self._forget(runner_id)
        for runner_id, until in list(self._gone.items()):
            if now >= until:
                del self._gone[runner_id]

    def _forget(self, runner_id: str) -> None:
        self._runners.pop(runner_id, None)
        self._copies.pop(runner_id, None)
        self._lapsing.pop(runner_id, None)
        self._left.pop(runner_id, None)


def _is_change(previous: runners.Runner, runner: runners.Runner) -> bool:
    """Tell whether an entry says more than that its runner still lives.

    How long a leaving runner stays is told once; it only grows less.
    """
    if previous.is_leaving and runner.is_leaving:
        runner = dataclasses.replace(runner, leaves_in_s=previous.leaves_in_s)
    return runner != previous
