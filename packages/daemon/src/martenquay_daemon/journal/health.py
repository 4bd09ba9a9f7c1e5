"""Remember whether the log answered lately, so that refusals are immediate."""

from __future__ import annotations

import trio

from martenquay_core import logs

__all__ = ["LogHealth"]

_LOG = logs.create_log("journal")


class LogHealth:
    """Whether the last call to the log was answered.

    Attributes:
        is_up: The last call was answered.
        changed_at: When that last changed, in trio's time.
    """

    def __init__(self) -> None:
        self.is_up = False
        self.changed_at = trio.current_time()

    def note_answer(self) -> None:
        """Note that a call was answered."""
        self._set_state(True, "The log answers.")

    def note_failure(self, message: str) -> None:
        """Note that a call failed."""
        self._set_state(False, f"The log does not answer: {message}.")

    def _set_state(self, is_up: bool, text: str) -> None:
        if is_up == self.is_up:
            return
        self.is_up = is_up
        self.changed_at = trio.current_time()
        _LOG.write(text)
