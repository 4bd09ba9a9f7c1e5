"""Find folded lines in the head of a runner's answer.

A line that begins with a blank continues the field before it (RFC 9112, section
5.2, obsolete). h11 joins both, so that the value of that field, perhaps the
runner's seal, changes and a field that frames the body has no effect. A gateway
may discard such an answer.
"""

from __future__ import annotations

import re

__all__ = ["HeadLines"]

# Ends a head, as h11 finds it.
_BLANK_LINE = re.compile(rb"\n\r?\n")
_FOLDED_LINE = re.compile(rb"\n[ \t]")


class HeadLines:
    """Received bytes of the heads of one answer, as h11 drops them."""

    def __init__(self) -> None:
        self._received = bytearray()

    def add(self, data: bytes) -> None:
        """Add bytes, which may go beyond the end of a head."""
        self._received += data

    def take_head(self) -> bool:
        """Drop the first head; return whether it has a folded line.

        To be called for each head that the parser has returned.
        """
        end = _BLANK_LINE.search(self._received)
        size = end.end() if end is not None else len(self._received)
        is_folded = _FOLDED_LINE.search(self._received, 0, size) is not None
        del self._received[:size]
        return is_folded

    def clear(self) -> None:
        """Drop the bytes behind the last head."""
        self._received.clear()
