"""Reorder and deduplicate the token events of one attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.runners import orders

__all__ = ["TokenSequencer"]


class TokenSequencer:
    """Orders token events by index; drops duplicates and other attempts'.

    Attributes:
        dropped_events: Number of events dropped so far.
    """

    def __init__(self, request_id: str, attempt: int, next_index: int) -> None:
        self.dropped_events = 0
        self._request_id = request_id
        self._attempt = attempt
        self._next_index = next_index
        self._out_of_order: dict[int, str] = {}

    def matches_attempt(self, event: orders.StreamEvent) -> bool:
        """Return whether an event belongs to this attempt.

        Any other event is counted as dropped.
        """
        matches = (
            event.request_id == self._request_id
            and event.attempt == self._attempt
        )
        if not matches:
            self.dropped_events += 1
        return matches

    def add(self, event: orders.TokenEvent) -> list[str]:
        """Add an event of this attempt and return the tokens now in order."""
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
        """Return whether exactly the first `count` tokens were returned."""
        return self._next_index == count and not self._out_of_order
