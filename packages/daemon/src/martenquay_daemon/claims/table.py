"""State of a claim stream: the first claim on a key in the log wins."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from typing import TYPE_CHECKING, TypeVar

from martenquay_daemon.claims import records
from martenquay_daemon.journal import offset_index

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ClaimTable", "Entry"]

Value = TypeVar("Value")


@dataclasses.dataclass
class Entry:
    """The claim that holds a key.

    Attributes:
        claim: The claim.
        offset: Offset of the claim in the stream.
        outcome: Outcome of the call, once known.
    """

    claim: records.Claim
    offset: int
    outcome: records.Outcome | None = None


class ClaimTable:
    """The keys that are claimed or whose call was made.

    A claim on a key that is held never wins, even if the holder releases the
    key later, because its daemon may have read that it lost and makes a new
    claim. A release also voids its claim when the claim follows it in the log.
    Of all but the newest
    outcomes only the offset is kept; their contents are read from the log.
    """

    def __init__(self, full_outcomes: int) -> None:
        self._full_outcomes = full_outcomes
        self._outcome_offsets: OrderedDict[str, int] = OrderedDict()
        self._archived = offset_index.OffsetIndex()
        # Ordered by offset, as `_drop_oldest` requires; so is `_void_attempts`.
        self._entries: OrderedDict[str, Entry] = OrderedDict()
        # Attempts that can never win: released ones, and those that found
        # the key held. A retried or delayed append may repeat their claims.
        self._void_attempts: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of keys that are claimed or whose call was made."""
        return len(self._entries) + len(self._archived)

    def apply(self, offset: int, raw: bytes) -> None:
        """Apply the next record of the stream; ignore an unknown one."""
        match records.decode(raw):
            case records.Claim() as claim:
                self._apply_claim(offset, claim)
            case records.Release(key=key, attempt=attempt):
                self._apply_release(offset, key, attempt)
            case records.Outcome() as outcome:
                self._apply_outcome(offset, outcome)
            case None:
                pass

    def find(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if it is free or archived."""
        return self._entries.get(key)

    def find_archived(self, key: str) -> offset_index.RecordRange | None:
        """Return the record of a key's archived outcome, or None."""
        return self._archived.find(key)

    def forget_before(self, offset: int) -> None:
        """Remove what the log no longer retains."""
        _drop_oldest(self._entries, offset, lambda entry: entry.offset)
        _drop_oldest(self._void_attempts, offset, lambda voided_at: voided_at)
        self._archived.forget_before(offset)

    def _apply_claim(self, offset: int, claim: records.Claim) -> None:
        if claim.attempt in self._void_attempts or self._archived.find(
            claim.key
        ):
            return
        entry = self._entries.get(claim.key)
        if entry is None:
            self._entries[claim.key] = Entry(claim, offset)
        elif entry.claim.attempt != claim.attempt:
            self._void_attempts[claim.attempt] = offset

    def _apply_release(self, offset: int, key: str, attempt: str) -> None:
        self._void_attempts[attempt] = offset
        entry = self._entries.get(key)
        if entry is None or entry.claim.attempt != attempt:
            return
        if entry.outcome is None:
            del self._entries[key]

    def _apply_outcome(self, offset: int, outcome: records.Outcome) -> None:
        entry = self._entries.get(outcome.key)
        if entry is None or entry.claim.attempt != outcome.attempt:
            return
        if entry.outcome is None:
            entry.outcome = outcome
            self._outcome_offsets[outcome.key] = offset
            self._archive_oldest()

    def _archive_oldest(self) -> None:
        while len(self._outcome_offsets) > self._full_outcomes:
            key, offset = self._outcome_offsets.popitem(last=False)
            if self._entries.pop(key, None) is not None:
                self._archived.add(
                    key, offset, offset_index.RecordRange(offset, 1)
                )


def _drop_oldest(
    entries: OrderedDict[str, Value],
    offset: int,
    get_offset: Callable[[Value], int],
) -> None:
    while entries:
        oldest = next(iter(entries))
        if get_offset(entries[oldest]) >= offset:
            return
        del entries[oldest]
