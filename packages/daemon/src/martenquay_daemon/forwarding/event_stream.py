"""Incremental splitter for server-sent events (WHATWG HTML, 9.2)."""

from __future__ import annotations

import dataclasses

__all__ = ["Event", "EventSplitter"]

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True)
class Event:
    """One complete event.

    Attributes:
        raw: Its bytes, including the blank line that ends it.
        id: Its `id` field; None if that is missing or not a whole number.
    """

    raw: bytes
    id: int | None


class EventSplitter:
    """Buffers bytes until they form complete events.

    Attributes:
        rest: Bytes of the event that is still incomplete.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        events = []
        self.rest += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        while True:
            end = self.rest.find(_EVENT_END)
            if end < 0:
                return events
            raw = self.rest[: end + len(_EVENT_END)]
            self.rest = self.rest[end + len(_EVENT_END) :]
            events.append(Event(raw, _parse_id(raw)))


def _parse_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
