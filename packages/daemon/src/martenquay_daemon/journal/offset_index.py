"""Remember where old records stand, in few bytes each.

A node follows its part of a day's claims and answers: some hundred thousand.
Kept as objects they would not fit its memory, so of each only a hash of its
name and two offsets stay; what they hold is read from the log when asked for.
"""

from __future__ import annotations

import dataclasses
import hashlib

__all__ = ["OffsetIndex", "RecordRange"]

_COUNT_BITS = 16
_OFFSET_BITS = 48
_COUNT_MASK = (1 << _COUNT_BITS) - 1
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1


@dataclasses.dataclass(frozen=True)
class RecordRange:
    """Where something stands in a stream.

    Attributes:
        offset: The offset of its first record.
        count: How many records it has.
    """

    offset: int
    count: int


class OffsetIndex:
    """Map names to places, oldest first."""

    def __init__(self) -> None:
        # One packed integer a name: index offset, records, number of records.
        self._packed: dict[int, int] = {}

    def __len__(self) -> int:
        """Return how many names are remembered."""
        return len(self._packed)

    def add(self, name: str, index_offset: int, records: RecordRange) -> None:
        """Remember where a name's content stands."""
        packed = index_offset << _OFFSET_BITS | records.offset
        self._packed[_hash_name(name)] = packed << _COUNT_BITS | records.count

    def find(self, name: str) -> RecordRange | None:
        """Return where a name's content stands, or None."""
        packed = self._packed.get(_hash_name(name))
        if packed is None:
            return None
        offset = packed >> _COUNT_BITS & _OFFSET_MASK
        return RecordRange(offset, packed & _COUNT_MASK)

    def forget_before(self, index_offset: int) -> None:
        """Drop the names whose index record is below an offset."""
        old = []
        for name, packed in self._packed.items():
            if packed >> (_COUNT_BITS + _OFFSET_BITS) >= index_offset:
                break
            old.append(name)
        for name in old:
            del self._packed[name]


def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
