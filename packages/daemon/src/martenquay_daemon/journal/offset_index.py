"""Compact in-memory index from names to offsets in a log stream."""

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
    """A contiguous range of records in a stream.

    Attributes:
        offset: Offset of the first record.
        count: Number of records.
    """

    offset: int
    count: int


class OffsetIndex:
    """Maps names to record ranges, in the order of their index records.

    Each entry is one integer for the hash of the name and one for the offsets:
    the records of a whole retention period would not fit into memory as
    objects, so their contents are read from the log when needed.
    """

    def __init__(self) -> None:
        # Values hold, from the high bits down: offset of the index record,
        # offset of the first content record, number of content records.
        self._packed: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self._packed)

    def add(self, name: str, index_offset: int, records: RecordRange) -> None:
        """Add a name.

        Args:
            name: The name.
            index_offset: Offset of the record that announced the content;
                must not decrease from call to call.
            records: The records that hold the content.
        """
        packed = index_offset << _OFFSET_BITS | records.offset
        self._packed[_hash_name(name)] = packed << _COUNT_BITS | records.count

    def find(self, name: str) -> RecordRange | None:
        """Return the records that hold a name's content, or None."""
        packed = self._packed.get(_hash_name(name))
        if packed is None:
            return None
        offset = packed >> _COUNT_BITS & _OFFSET_MASK
        return RecordRange(offset, packed & _COUNT_MASK)

    def forget_before(self, index_offset: int) -> None:
        """Remove the names whose index record is below an offset."""
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
