"""Keep the newest entry of each runner, as the log holds it."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import msgspec

from martenquay_core.serving import positions

if TYPE_CHECKING:
    from collections.abc import Iterable

    from martenquay_core.serving import ports, runners

__all__ = [
    "EntryRemoved",
    "EntryChange",
    "EntryConfirmed",
    "RunnerCopy",
    "RunnerEntries",
    "EntryUpdated",
    "EntryUnusable",
]


# Bounds the memory of runners that have ended.
_MAX_ENDED = 1000


class RunnerCopy(msgspec.Struct, frozen=True, array_like=True):
    """One runner's entry as the log holds it.

    Attributes:
        key: The runner's id.
        offset: Offset of the record in the log.
        value: Encoded content of the record.
    """

    key: str
    offset: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class EntryUpdated:
    """An entry is new or has changed.

    Attributes:
        runner: The runner by the new entry.
        previous: The runner by the entry before; None if there was none that
            could be decoded.
    """

    runner: runners.Runner
    previous: runners.Runner | None


@dataclasses.dataclass(frozen=True)
class EntryConfirmed:
    """A record changes nothing: a heartbeat, or an outdated one."""


@dataclasses.dataclass(frozen=True)
class EntryRemoved:
    """A runner has no entry any more.

    Attributes:
        runner_id: The runner's id.
    """

    runner_id: str


@dataclasses.dataclass(frozen=True)
class EntryUnusable:
    """An entry can't be decoded.

    Attributes:
        runner_id: Key of the entry.
        problem: The decoder's message.
    """

    runner_id: str
    problem: str


EntryChange = EntryUpdated | EntryConfirmed | EntryRemoved | EntryUnusable


@dataclasses.dataclass(frozen=True)
class _Entry:
    copy: RunnerCopy
    # None if the record can't be decoded.
    runner: runners.Runner | None
    # Highest sequence number of the process, that of heartbeats included.
    sequence: int = 0


class RunnerEntries:
    """The newest entry of each runner.

    Holds only what the log holds: peers that get copies treat them as the log.
    Decisions of this daemon, such as a grace time for a lapsed entry, are kept
    in `runner_directory.RunnerDirectory`.

    Attributes:
        changed_end: Offset after the last record that changed an entry;
            heartbeats don't count.
    """

    def __init__(self, codec: ports.PlatformCodec) -> None:
        self.changed_end = 0
        self._codec = codec
        self._entries: dict[str, _Entry] = {}
        # A log restored from an older copy lists them again.
        self._ended: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def replace_all(self, snapshot: ports.Snapshot) -> list[EntryChange]:
        """Apply the newest records; entries without one are removed."""
        changes = [self.apply_record(record) for record in snapshot.records]
        kept_ids = {r.key for r in snapshot.records if r.value is not None}
        ended = self._remove_all_except(kept_ids)
        if ended:
            self._advance_changed_end(snapshot.end - 1)
        return changes + ended

    def apply_record(self, record: ports.KeyedRecord) -> EntryChange:
        """Apply one record; one without a value removes the entry."""
        if record.value is not None:
            copy = RunnerCopy(record.key, record.offset, record.value)
            return self._store(copy)
        self._remove(record.key)
        # Also for an unknown key: peers that copy these entries may hold it.
        self._advance_changed_end(record.offset)
        return EntryRemoved(record.key)

    def apply_copies(
        self, copies: Iterable[RunnerCopy], runner_ids: set[str]
    ) -> list[EntryChange]:
        """Apply entries of a peer that has read further in the log.

        Args:
            copies: Entries that this daemon may lack.
            runner_ids: Ids of all runners that have an entry; others are
                removed.
        """
        ordered = sorted(copies, key=lambda copy: copy.offset)
        changes = [self._store(copy) for copy in ordered]
        return changes + self._remove_all_except(runner_ids)

    def list_copies(self) -> list[RunnerCopy]:
        """Return all entries, for a peer."""
        return [entry.copy for entry in self._entries.values()]

    def list_ids(self) -> set[str]:
        """Return the ids of all entries, undecodable ones included."""
        return set(self._entries)

    def _store(self, copy: RunnerCopy) -> EntryChange:
        known = self._entries.get(copy.key)
        if known is not None and copy.offset < known.copy.offset:
            return EntryConfirmed()
        previous = known.runner if known is not None else None
        try:
            runner = self._codec.decode_runner(copy.key, copy.value)
        except ValueError as error:
            return self._store_unusable(copy, known, str(error))
        if previous is not None and _is_from_earlier_process(runner, previous):
            # A late record of the former process must not replace the entry of
            # the present one.
            return EntryConfirmed()
        if self._is_restored(copy, runner, known):
            return EntryConfirmed()
        if known is not None and not _is_changed(previous, runner):
            # The stored copy stays, so that peers don't get the heartbeats of
            # all runners.
            self._entries[copy.key] = dataclasses.replace(
                known, sequence=max(known.sequence, runner.sequence)
            )
            return EntryConfirmed()
        self._ended.pop(copy.key, None)
        self._entries[copy.key] = _Entry(copy, runner, runner.sequence)
        self._advance_changed_end(copy.offset)
        return EntryUpdated(runner, previous)

    def _store_unusable(
        self, copy: RunnerCopy, known: _Entry | None, problem: str
    ) -> EntryChange:
        if known is None or known.runner is not None:
            self._entries[copy.key] = _Entry(copy, None)
            self._advance_changed_end(copy.offset)
        return EntryUnusable(copy.key, problem)

    def _remove_all_except(self, kept_ids: set[str]) -> list[EntryChange]:
        ended = sorted(set(self._entries) - kept_ids)
        for key in ended:
            self._remove(key)
        return [EntryRemoved(key) for key in ended]

    def _remove(self, key: str) -> None:
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        self._ended[key] = entry
        if len(self._ended) > _MAX_ENDED:
            self._ended.popitem(last=False)

    def _is_restored(
        self, copy: RunnerCopy, runner: runners.Runner, known: _Entry | None
    ) -> bool:
        """Return whether a later era lists an entry that is known outdated.

        A log that was restored from an older copy holds entries of runners
        that have ended, and earlier entries of runners that drain.
        """
        newest = known or self._ended.get(runner.id)
        if newest is None or newest.runner is None or not runner.sequence:
            return False
        is_same_era = positions.find_era(copy.offset) == positions.find_era(
            newest.copy.offset
        )
        if is_same_era or newest.runner.born_ms != runner.born_ms:
            return False
        if known is None:
            return runner.sequence <= newest.sequence
        return newest.runner.is_leaving and runner.sequence < newest.sequence

    def _advance_changed_end(self, offset: int) -> None:
        self.changed_end = max(self.changed_end, offset + 1)


def _is_from_earlier_process(
    runner: runners.Runner, previous: runners.Runner
) -> bool:
    """Return whether an entry was written by an earlier process."""
    if runner.born_ms is None or previous.born_ms is None:
        return False
    return runner.born_ms < previous.born_ms


def _is_changed(
    previous: runners.Runner | None, runner: runners.Runner
) -> bool:
    """Return whether an entry is more than a heartbeat.

    The remaining time of a draining runner falls with each heartbeat, so only
    the first one counts.
    """
    if previous is None:
        return True
    if previous.is_leaving and runner.is_leaving:
        runner = dataclasses.replace(runner, leaves_in_s=previous.leaves_in_s)
    return runner != previous
