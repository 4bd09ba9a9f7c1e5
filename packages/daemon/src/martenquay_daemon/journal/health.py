"""Track whether the log answers, to fail fast while it does not."""

from __future__ import annotations

import trio

from martenquay_core import logs

__all__ = ["LogHealth"]

_LOG = logs.create_log("journal")


class LogHealth:
    """Result of the last call to the log.

    Attributes:
        is_up: Whether the last call was answered; False before the first.
        changed_at: When `is_up` last changed, on trio's clock.
    """

    def __init__(self) -> None:
        self.is_up = False
        self.changed_at = trio.current_time()

    def note_answer(self) -> None:
        """Record that a call was answered."""
        self._set_state(True, "The log answers.")

    def note_failure(self, message: str) -> None:
        """Record that a call failed."""
        self._set_state(False, f"The log does not answer: {message}.")

    def _set_state(self, is_up: bool, text: str) -> None:
        if is_up == self.is_up:
            return
        self.is_up = is_up
        self.changed_at = trio.current_time()
        _LOG.write(text)
