"""Cut a stream of server-sent events into whole events."""

from __future__ import annotations

import dataclasses

__all__ = ["Event", "EventSplitter"]

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True)
class Event:
    """One whole event.

    Attributes:
        raw: Its bytes with the empty line that ends it.
        id: Its id; None if it has no whole number as id.
    """

    raw: bytes
    id: int | None


class EventSplitter:
    """Collect bytes and give out the events that are whole.

    Attributes:
        rest: Bytes of an event that is not whole yet.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes and return the events that they complete."""
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
