"""Remember how fresh what was read from the platform's log is."""

from __future__ import annotations

import math

import trio

from martenquay_core import logs

__all__ = ["LogContact"]

_LOG = logs.create_log("platform-log")
# A shorter silence is a lost call, not an outage: runners miss no heartbeat
# that would make their entries lapse (three of 1.2 s).
_MIN_OUTAGE_S = 2.0


class LogContact:
    """Whether the log answers this daemon.

    Attributes:
        is_lost: The last call failed.
        last_answer_at: When it last answered, in trio's time.
        regained_at: When it answered again after an outage; minus infinity
            if there was none.
    """

    def __init__(self) -> None:
        self.is_lost = False
        self.last_answer_at = -math.inf
        self.regained_at = -math.inf

    @property
    def age_s(self) -> float:
        """Seconds since the log last answered."""
        return trio.current_time() - self.last_answer_at

    def note_answer(self) -> None:
        """Note an answer."""
        now = trio.current_time()
        away_s = now - self.last_answer_at
        if self.is_lost:
            _LOG.write("The log answers again.", away_s=round(away_s, 3))
            if away_s > _MIN_OUTAGE_S:
                self.regained_at = now
        self.is_lost = False
        self.last_answer_at = now

    @property
    def regained_age_s(self) -> float:
        """Seconds since the log answered again after an outage."""
        return trio.current_time() - self.regained_at

    def note_regained_elsewhere(self, at: float) -> None:
        """Note when a daemon that reads for this one had the log again."""
        self.regained_at = max(self.regained_at, at)

    def note_relayed(self, age_s: float) -> None:
        """Note that a daemon that reads for this one had an answer lately."""
        self.is_lost = False
        answered_at = trio.current_time() - age_s
        self.last_answer_at = max(self.last_answer_at, answered_at)

    def note_failure(self, message: str) -> None:
        """Note a call without an answer."""
        if not self.is_lost:
            _LOG.write(f"The log does not answer: {message}.")
        self.is_lost = True
