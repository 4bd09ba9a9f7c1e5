"""Fold the runners' records into what the log holds of each runner.

Only what the log says is kept here. What a daemon makes of it for reasons of
its own, such as waiting for an entry to come back, is the directory's: a copy
of this goes to other daemons, which then take it for the log itself.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

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


@dataclasses.dataclass(frozen=True)
class EntryUpdated:
    """An entry says something new.

    Attributes:
        runner: What it says.
        previous: What it said before; None if there was no such entry.
    """

    runner: runners.Runner
    previous: runners.Runner | None


@dataclasses.dataclass(frozen=True)
class EntryConfirmed:
    """An entry says only that its runner still lives."""


@dataclasses.dataclass(frozen=True)
class EntryRemoved:
    """A runner has no entry any more.

    Attributes:
        runner_id: Its id.
    """

    runner_id: str


@dataclasses.dataclass(frozen=True)
class EntryUnusable:
    """An entry names no runner that could be used.

    Attributes:
        runner_id: Its key.
        problem: What is wrong with it.
    """

    runner_id: str
    problem: str


EntryChange = EntryUpdated | EntryConfirmed | EntryRemoved | EntryUnusable


@dataclasses.dataclass(frozen=True)
class _Entry:
    copy: RunnerCopy
    # None if the record names no runner that could be used.
    runner: runners.Runner | None


class RunnerEntries:
    """The newest entry of each runner.

    Attributes:
        changed_end: The end of the records up to the last one that said
            something new; heartbeats do not count.
    """

    def __init__(self, codec: ports.PlatformCodec) -> None:
        self.changed_end = 0
        self._codec = codec
        self._entries: dict[str, _Entry] = {}

    def replace_all(self, snapshot: ports.Snapshot) -> list[EntryChange]:
        """Take the newest records; entries without one have ended."""
        changes = [self.apply_record(record) for record in snapshot.records]
        kept_ids = {r.key for r in snapshot.records if r.value is not None}
        ended = self._remove_all_except(kept_ids)
        if ended:
            self._advance_changed_end(snapshot.end - 1)
        return changes + ended

    def apply_record(self, record: ports.KeyedRecord) -> EntryChange:
        """Take one record."""
        if record.value is not None:
            copy = RunnerCopy(record.key, record.offset, record.value)
            return self._store(copy)
        self._entries.pop(record.key, None)
        # Also if it was not known here: it may be to those that copy this.
        self._advance_changed_end(record.offset)
        return EntryRemoved(record.key)

    def apply_copies(
        self, copies: Iterable[RunnerCopy], runner_ids: set[str]
    ) -> list[EntryChange]:
        """Take entries from a peer that has read further in the log.

        Args:
            copies: Those that this daemon may lack.
            runner_ids: All that there are.
        """
        ordered = sorted(copies, key=lambda copy: copy.offset)
        changes = [self._store(copy) for copy in ordered]
        return changes + self._remove_all_except(runner_ids)

    def list_copies(self) -> list[RunnerCopy]:
        """Return all entries for a peer that cannot read the log."""
        return [entry.copy for entry in self._entries.values()]

    def list_ids(self) -> set[str]:
        """Return the ids of all entries, those that cannot be used too."""
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
            # Written by the process before, and late.
            return EntryConfirmed()
        if previous is not None and not _is_changed(previous, runner):
            # The copy stays at the record that said this first: heartbeats
            # of a thousand runners are not worth handing on.
            return EntryConfirmed()
        self._entries[copy.key] = _Entry(copy, runner)
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
            del self._entries[key]
        return [EntryRemoved(key) for key in ended]

    def _advance_changed_end(self, offset: int) -> None:
        self.changed_end = max(self.changed_end, offset + 1)


def _is_from_earlier_process(
    runner: runners.Runner, previous: runners.Runner
) -> bool:
    """Tell whether an entry is of an earlier process than the one known."""
    if runner.born_ms is None or previous.born_ms is None:
        return False
    return runner.born_ms < previous.born_ms


def _is_changed(previous: runners.Runner, runner: runners.Runner) -> bool:
    """Tell whether an entry says more than that its runner still lives.

    How long a leaving runner stays is told once; it only grows less.
    """
    if previous.is_leaving and runner.is_leaving:
        runner = dataclasses.replace(runner, leaves_in_s=previous.leaves_in_s)
    return runner != previous
