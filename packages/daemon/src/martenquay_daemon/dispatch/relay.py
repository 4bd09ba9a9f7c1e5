"""Pass on exactly the next token of exactly this attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.runners import orders

__all__ = ["TokenOrder"]


class TokenOrder:
    """Put token events in order; drop repeated and foreign ones.

    Attributes:
        dropped: Events that were not for this attempt or came twice.
    """

    def __init__(self, request_id: str, attempt: int, next_index: int) -> None:
        self.dropped = 0
        self._request_id = request_id
        self._attempt = attempt
        self._next = next_index
        self._early: dict[int, str] = {}

    def is_own(self, event: orders.StreamEvent) -> bool:
        """Tell whether an event belongs to this attempt."""
        own = (
            event.request_id == self._request_id
            and event.attempt == self._attempt
        )
        if not own:
            self.dropped += 1
        return own

    def take(self, event: orders.TokenEvent) -> list[str]:
        """Take an event of this attempt; return the tokens now in order."""
        if event.index < self._next or event.index in self._early:
            self.dropped += 1
            return []
        self._early[event.index] = event.text
        ready: list[str] = []
        while self._next in self._early:
            ready.append(self._early.pop(self._next))
            self._next += 1
        return ready

    def is_whole(self, count: int) -> bool:
        """Tell whether all tokens up to a count have been given out."""
        return self._next == count and not self._early
