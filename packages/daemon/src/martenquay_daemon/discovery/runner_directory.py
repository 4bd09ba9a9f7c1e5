"""Keep the runners that may get requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.backpressure import drain_reports
from martenquay_daemon.discovery import runner_entries

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from martenquay_core.serving import ports, runners
    from martenquay_daemon.discovery import contact

__all__ = ["RunnerDirectory"]

_LOG = logs.create_log("runners")
# After an outage of the log, a live runner whose entry lapsed writes it again
# within this time.
_REREGISTRATION_GRACE_S = 2.2
# By then the entry of a runner that lost its address has lapsed (three
# heartbeats) or been replaced.
_ADDRESS_TAKEN_S = 30.0


def _ignore(runner_id: str) -> None:
    del runner_id


def _ignore_loss() -> None:
    pass


class RunnerDirectory:
    """The known runners by id.

    Combines the entries in the log with what this daemon observed: answers
    that report draining, addresses taken over, and outages of the log.

    Attributes:
        entries: The runners' entries in the log; peers get copies of them.
        leaving: Drain reports that runners sent in answers.
        on_restart: Called with the id of a runner whose process has restarted,
            to drop state of the former process.
        on_loss: Called when a runner begins to leave or has ended.
        on_unusable: Called with the key of each entry that can't be decoded.
    """

    def __init__(
        self, codec: ports.PlatformCodec, log_contact: contact.LogContact
    ) -> None:
        self.leaving = drain_reports.DrainReports()
        self.entries = runner_entries.RunnerEntries(codec)
        self.on_restart: Callable[[str], None] = _ignore
        self.on_loss: Callable[[], None] = _ignore_loss
        self.on_unusable: Callable[[str], None] = _ignore
        self._contact = log_contact
        self._runners: dict[str, runners.Runner] = {}
        self._removal_deadlines: dict[str, float] = {}
        self._address_taken_until: dict[str, float] = {}
        self._departure_times: dict[str, float] = {}
        self._replaced_ids: set[str] = set()
        self._unusable_ids: set[str] = set()
        self._zones_by_service: dict[str, set[str]] = {}

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Apply the newest entries; runners without one are removed."""
        self._apply(self.entries.replace_all(snapshot))

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Apply one runner's new entry, or the removal of it."""
        self._apply([self.entries.apply_record(record)])

    def apply_copies(
        self,
        copies: list[runner_entries.RunnerCopy],
        runner_ids: set[str],
    ) -> None:
        """Apply entries of a peer that has read further in the log.

        Args:
            copies: Entries that this daemon may lack.
            runner_ids: Ids of all runners that have an entry; others are
                removed.
        """
        self._apply(self.entries.apply_copies(copies, runner_ids))

    def find(self, runner_id: str) -> runners.Runner | None:
        """Return a runner by id, None if it is not known."""
        self._apply_deadlines()
        return self._runners.get(runner_id)

    def count(self) -> int:
        """Return the number of runners of all services."""
        self._apply_deadlines()
        return len(self._runners)

    def list_all(self, service: str) -> list[runners.Runner]:
        """Return the runners of a service, draining ones included."""
        self._apply_deadlines()
        return [
            runner
            for runner in self._runners.values()
            if runner.service == service and runner.id not in self._replaced_ids
        ]

    def has_address(self, address: str) -> bool:
        """Return whether a known runner has this address."""
        return any(
            runner.address == address for runner in self._runners.values()
        )

    def list_usable(self, service: str) -> list[runners.Runner]:
        """Return the runners of a service that may get new requests."""
        return [
            runner
            for runner in self.list_all(service)
            if not self.is_leaving(runner)
            and runner.id not in self._address_taken_until
        ]

    def is_leaving(self, runner: runners.Runner) -> bool:
        """Return whether a runner drains, by its entry or its answers."""
        return runner.is_leaving or self.leaving.is_draining(runner)

    def list_zones(self, service: str) -> set[str]:
        """Return the zones in which a service has ever had a runner."""
        return set(self._zones_by_service.get(service, ()))

    def note_address_taken(self, runner_id: str) -> None:
        """Leave a runner out for a while: another answers at its address."""
        if (
            runner_id in self._runners
            and runner_id not in self._address_taken_until
        ):
            _LOG.write(
                f"Another runner answers at the address of {runner_id}.",
                runner=runner_id,
            )
            self._address_taken_until[runner_id] = (
                trio.current_time() + _ADDRESS_TAKEN_S
            )

    def find_time_left(self, runner_id: str) -> float:
        """Return the seconds until a draining runner ends, or infinity."""
        return (
            self._departure_times.get(runner_id, math.inf) - trio.current_time()
        )

    def _apply(self, changes: Iterable[runner_entries.EntryChange]) -> None:
        for change in changes:
            match change:
                case runner_entries.EntryUpdated(runner=runner):
                    self._store_runner(runner)
                case runner_entries.EntryRemoved(runner_id=runner_id):
                    self._unusable_ids.discard(runner_id)
                    self._handle_removal(runner_id)
                case runner_entries.EntryUnusable(
                    runner_id=runner_id, problem=problem
                ):
                    self._handle_unusable(runner_id, problem)
                case runner_entries.EntryConfirmed():
                    pass

    def _store_runner(self, runner: runners.Runner) -> None:
        previous = self._runners.get(runner.id)
        self._removal_deadlines.pop(runner.id, None)
        self._unusable_ids.discard(runner.id)
        self._runners[runner.id] = runner
        self._zones_by_service.setdefault(runner.service, set()).add(
            runner.zone
        )
        if previous is None:
            _LOG.write(
                f"Runner {runner.id} is known.",
                runner=runner.id,
                service=runner.service,
                zone=runner.zone,
                reclaimable=runner.is_reclaimable,
                software=runner.software,
            )
        elif runner.born_ms != previous.born_ms:
            self._handle_restart(runner, previous)
        if previous is None or previous.address != runner.address:
            self._resolve_address_conflict(runner)
        if runner.is_leaving and not (previous and previous.is_leaving):
            self._record_departure(runner)

    def _handle_restart(
        self, runner: runners.Runner, previous: runners.Runner
    ) -> None:
        _LOG.write(
            f"Runner {runner.id} has restarted.",
            runner=runner.id,
            born_ms=runner.born_ms,
            previous_born_ms=previous.born_ms,
        )
        self._address_taken_until.pop(runner.id, None)
        self._departure_times.pop(runner.id, None)
        self._replaced_ids.discard(runner.id)
        self._resolve_address_conflict(runner)
        self.on_restart(runner.id)

    def _resolve_address_conflict(self, runner: runners.Runner) -> None:
        """Keep one of two runners with the same address.

        The one whose process started later; of entries without start times, the
        one that came last.
        """
        for other in self._runners.values():
            if other.address != runner.address or other.id == runner.id:
                continue
            older, newer = other, runner
            if _is_newer(other, runner):
                older, newer = runner, other
            if older.id not in self._replaced_ids:
                _LOG.write(
                    f"Replaced runner {older.id} at its address by {newer.id}.",
                    runner=older.id,
                )
                self._replaced_ids.add(older.id)

    def _record_departure(self, runner: runners.Runner) -> None:
        left_s = runner.leaves_in_s
        if left_s is not None:
            self._departure_times[runner.id] = trio.current_time() + left_s
        _LOG.write(
            f"Runner {runner.id} is leaving.", runner=runner.id, left_s=left_s
        )
        self.on_loss()

    def _handle_unusable(self, runner_id: str, problem: str) -> None:
        self.on_unusable(runner_id)
        if runner_id in self._unusable_ids:
            # The writer may repeat the entry with each heartbeat, and each
            # would write a line.
            return
        self._unusable_ids.add(runner_id)
        _LOG.write(
            f"Rejected the entry of runner {runner_id}: {problem}.",
            runner=runner_id,
        )
        self._remove(runner_id)

    def _handle_removal(self, runner_id: str) -> None:
        if runner_id not in self._runners:
            return
        until = self._contact.regained_at + _REREGISTRATION_GRACE_S
        if trio.current_time() < until:
            self._removal_deadlines.setdefault(runner_id, until)
            return
        _LOG.write(
            f"Removed runner {runner_id}: it has no entry.", runner=runner_id
        )
        self._remove(runner_id)

    def _apply_deadlines(self) -> None:
        now = trio.current_time()
        for runner_id, until in list(self._removal_deadlines.items()):
            if now >= until:
                _LOG.write(
                    f"Removed runner {runner_id}: its entry did not return "
                    "after the outage of the log.",
                    runner=runner_id,
                )
                self._remove(runner_id)
        for runner_id, until in list(self._address_taken_until.items()):
            if now >= until:
                del self._address_taken_until[runner_id]

    def _remove(self, runner_id: str) -> None:
        self._runners.pop(runner_id, None)
        self._removal_deadlines.pop(runner_id, None)
        self._departure_times.pop(runner_id, None)
        self._replaced_ids.discard(runner_id)
        self.on_loss()


def _is_newer(one: runners.Runner, other: runners.Runner) -> bool:
    """Return whether start times show that the first has the address now.

    A runner's own entry has a start time; one without it may be of another
    writer, and then names no runner to use.
    """
    if one.born_ms is None or other.born_ms is None:
        return one.born_ms is not None
    return one.born_ms > other.born_ms
