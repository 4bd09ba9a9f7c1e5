"""Refuse folded lines and control bytes in the heads of an answer.

A line that begins with a blank continues the field before it (RFC 9112, section
5.2, obsolete). h11 joins both, so that the value of that field changes and a
field that frames the body has no effect. A gateway may discard such an answer.
h11 also takes control bytes in values, which are invalid (RFC 9110, section
5.5) and which other parsers refuse.
"""

from __future__ import annotations

import re

__all__ = ["HeadLines", "MalformedHeadError"]

# Ends a head, as h11 finds it.
_BLANK_LINE = re.compile(rb"\n\r?\n")
# A blank line may have begun with the bytes that came before.
_MAX_INCOMPLETE_BYTES = 2
_FOLDED_LINE = re.compile(rb"\n[ \t]")
# All but tab, line feed and carriage return.
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_INTERIM = re.compile(rb"HTTP/[0-9]\.[0-9] 1[0-9]{2}")


class MalformedHeadError(ValueError):
    """A head has a folded line or a control byte."""


class HeadLines:
    """Checks the bytes of one answer, up to the end of its last head.

    The parser bounds the size of a head.
    """

    def __init__(self) -> None:
        self._received = bytearray()
        # No head ends before this position.
        self._searched = 0
        self._is_over = False

    def add(self, data: bytes) -> None:
        """Check bytes that have arrived.

        Raises:
            MalformedHeadError: A head that has ended is malformed.
        """
        if self._is_over:
            return
        self._received += data
        while end := _BLANK_LINE.search(self._received, self._searched):
            head = bytes(self._received[: end.end()])
            if _FOLDED_LINE.search(head):
                raise MalformedHeadError(
                    "a line of the head begins with a blank"
                )
            if _CONTROL_BYTE.search(head):
                raise MalformedHeadError("the head has a control byte")
            del self._received[: end.end()]
            self._searched = 0
            if not _INTERIM.match(head):
                self._is_over = True
                self._received.clear()
                return
        size = len(self._received)
        self._searched = max(0, size - _MAX_INCOMPLETE_BYTES)
