"""Number the records of a log that may be restored from an older copy.

A restored log hands out the offsets after its copy anew. Each restore begins
another era, so a position, the era together with the offset, names one record
only, and later positions are larger.
"""

from __future__ import annotations

__all__ = [
    "create_position",
    "describe_position",
    "find_era",
    "find_offset",
]

# An era has room for 10^12 records; positions of 8,000 eras are exact in JSON.
_OFFSET_BITS = 40
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1


def create_position(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return (era << _OFFSET_BITS) | offset


def find_era(position: int) -> int:
    """Return the era of a position; 0 for a log without eras."""
    return position >> _OFFSET_BITS


def find_offset(position: int) -> int:
    """Return the offset within its era."""
    return position & _OFFSET_MASK


def describe_position(position: int) -> str:
    """Return a position in words, for log lines."""
    era = find_era(position)
    offset = f"log offset {find_offset(position)}"
    return f"{offset} of era {era}" if era else offset
