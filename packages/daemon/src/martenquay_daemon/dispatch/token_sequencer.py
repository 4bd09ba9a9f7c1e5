"""Pass on exactly the next token of exactly this attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.runners import orders

__all__ = ["TokenSequencer"]


class TokenSequencer:
    """Put token events in order; drop repeated and foreign ones.

    Attributes:
        dropped_events: Events that were not for this attempt or came twice.
    """

    def __init__(self, request_id: str, attempt: int, next_index: int) -> None:
        self.dropped_events = 0
        self._request_id = request_id
        self._attempt = attempt
        self._next_index = next_index
        self._out_of_order: dict[int, str] = {}

    def matches_attempt(self, event: orders.StreamEvent) -> bool:
        """Tell whether an event belongs to this attempt."""
        matches = (
            event.request_id == self._request_id
            and event.attempt == self._attempt
        )
        if not matches:
            self.dropped_events += 1
        return matches

    def add(self, event: orders.TokenEvent) -> list[str]:
        """Take an event of this attempt; return the tokens now in order."""
        if event.index < self._next_index or event.index in self._out_of_order:
            self.dropped_events += 1
            return []
        self._out_of_order[event.index] = event.text
        ready: list[str] = []
        while self._next_index in self._out_of_order:
            ready.append(self._out_of_order.pop(self._next_index))
            self._next_index += 1
        return ready

    def is_complete(self, count: int) -> bool:
        """Tell whether all tokens up to a count have been given out."""
        return self._next_index == count and not self._out_of_order
