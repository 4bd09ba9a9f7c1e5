"""Track when the platform's log last answered, and outages of it."""

from __future__ import annotations

import math

import trio

from martenquay_core import logs

__all__ = ["LogContact"]

_LOG = logs.create_log("platform-log")
# In a shorter outage no runner's entry lapses, as that takes three heartbeats
# of 1.2 s.
_MIN_OUTAGE_S = 2.0


class LogContact:
    """Whether and when the platform's log answered.

    Attributes:
        is_lost: The last call failed.
        last_answer_at: When the log last answered, in trio's time; minus
            infinity before the first answer.
        regained_at: When the log answered again after the last outage, in
            trio's time; minus infinity if there was none.
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
        """Record that a call was answered."""
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
        """Record the end of an outage that a peer saw.

        Args:
            at: When the log answered the peer again, in trio's time.
        """
        self.regained_at = max(self.regained_at, at)

    def note_restore(self) -> None:
        """Record that the log was restored from an older copy.

        Like an outage it lacks the entries that runners have yet to write
        again.
        """
        self.regained_at = trio.current_time()

    def note_relayed(self, age_s: float) -> None:
        """Record an answer to the hub that reads the log for this daemon.

        Args:
            age_s: Seconds since that answer.
        """
        self.is_lost = False
        answered_at = trio.current_time() - age_s
        self.last_answer_at = max(self.last_answer_at, answered_at)

    def note_failure(self, message: str) -> None:
        """Record that a call failed.

        Args:
            message: Why, for the log line.
        """
        if not self.is_lost:
            _LOG.write(f"The log does not answer: {message}.")
        self.is_lost = True
