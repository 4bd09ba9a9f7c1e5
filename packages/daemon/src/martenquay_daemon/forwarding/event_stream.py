"""Incremental splitter for server-sent events (WHATWG HTML, 9.2).

The events keep the bytes of their runner: the body that a caller gets is the
runner's, whichever of the three line ends it has.
"""

from __future__ import annotations

import dataclasses
import re

__all__ = [
    "MAX_EVENT_BYTES",
    "Event",
    "EventSplitter",
    "OversizedEventError",
    "is_comment",
]

# An event holds a few tokens. The pages limit no event; this is the size, 1 MB,
# that they set for one page of records.
MAX_EVENT_BYTES = 1_048_576
_BOM = b"\xef\xbb\xbf"
_BLANK_LINES = re.compile(rb"[\r\n]*")
# Two line ends in a row. The LF that may follow a CR is part of the second one
# only if it can be waited for: a stream whose lines end in CR alone would send
# each event one event late.
_EVENT_END = re.compile(rb"(?>\r\n|\n)(?>\r\n|\n|\r)|\r\r")
# Bytes of a possible event end whose last byte has not arrived.
_MAX_INCOMPLETE_END_BYTES = 3
_WAITS_FOR_LF = re.compile(rb"\n\r\Z")
# Eighteen digits, which 64 bits hold.
_ID_FIELD = re.compile(rb"(?:\A|[\r\n])id:[ \t]*([0-9]{1,18})[ \t]*(?=[\r\n])")


class OversizedEventError(ValueError):
    """An event has more than `MAX_EVENT_BYTES`, perhaps without an end."""

    def __init__(self) -> None:
        super().__init__(f"an event has more than {MAX_EVENT_BYTES} bytes")


@dataclasses.dataclass(frozen=True)
class Event:
    """One complete event.

    Attributes:
        raw: Its bytes, including the blank line that ends it and line ends
            before it.
        id: Its `id` field; None if that is missing or not a whole number.
    """

    raw: bytes
    id: int | None


def is_comment(raw: bytes) -> bool:
    """Return whether an event begins with a comment, as keep-alives do."""
    return raw.lstrip(b"\r\n").startswith(b":")


class EventSplitter:
    """Buffers bytes until they form complete events.

    Takes linear time for any division of the bytes into reads, and holds an
    event of `MAX_EVENT_BYTES` and one read at most.
    """

    def __init__(self, *, is_continued: bool = False) -> None:
        """Create the splitter.

        Args:
            is_continued: The events go on after those of another runner, so
                that a byte order mark is not at the beginning any more.
        """
        self._buffer = bytearray()
        self._is_at_beginning = True
        self._drops_mark = is_continued
        self._is_oversized = False
        # Where the first line of the event begins, behind blank lines.
        self._begin = 0
        # No event ends before this position.
        self._searched = 0

    @property
    def rest(self) -> bytes:
        """Bytes behind the last complete event."""
        return bytes(self._buffer)

    @property
    def held_bytes(self) -> int:
        """Number of bytes behind the last complete event."""
        return len(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes behind the last event are more than blank lines."""
        return self._begin < len(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises:
            OversizedEventError: The event after the last one that was returned
                is too large.
        """
        if self._is_oversized:
            raise OversizedEventError
        self._buffer += data
        if self._is_at_beginning and not self._skip_byte_order_mark():
            return []
        events = self._take_events()
        if self._is_oversized and not events:
            raise OversizedEventError
        return events

    def finish(self) -> list[Event]:
        """Return the event that the end of the body completes, if any.

        Raises:
            OversizedEventError: The last event is too large.
        """
        if self._is_oversized:
            raise OversizedEventError
        if not self.is_inside_event or not _WAITS_FOR_LF.search(self._buffer):
            return []
        event = self._create_event(0, len(self._buffer))
        self._begin = len(self._buffer)
        self._drop(len(self._buffer))
        return [event]

    def _skip_byte_order_mark(self) -> bool:
        """Return whether the events begin; False if the mark is cut."""
        if len(self._buffer) < len(_BOM) and _BOM.startswith(self._buffer):
            return False
        self._is_at_beginning = False
        if self._buffer.startswith(_BOM):
            if self._drops_mark:
                del self._buffer[: len(_BOM)]
            else:
                self._begin = len(_BOM)
        return True

    def _take_events(self) -> list[Event]:
        events: list[Event] = []
        buffer = self._buffer
        start = 0
        while True:
            self._begin = _BLANK_LINES.match(buffer, self._begin).end()
            found = _EVENT_END.search(buffer, max(self._begin, self._searched))
            if found is None or (
                found.end() == len(buffer) and found.group().endswith(b"\n\r")
            ):
                break
            if found.end() - start > MAX_EVENT_BYTES:
                self._is_oversized = True
                break
            events.append(self._create_event(start, found.end()))
            start = self._begin = self._searched = found.end()
        self._drop(start)
        self._searched = max(0, len(buffer) - _MAX_INCOMPLETE_END_BYTES)
        self._is_oversized |= len(buffer) > MAX_EVENT_BYTES
        return events

    def _create_event(self, start: int, end: int) -> Event:
        found = _ID_FIELD.search(self._buffer[self._begin : end])
        number = int(found[1]) if found is not None else None
        return Event(bytes(self._buffer[start:end]), number)

    def _drop(self, size: int) -> None:
        del self._buffer[:size]
        self._begin -= size
