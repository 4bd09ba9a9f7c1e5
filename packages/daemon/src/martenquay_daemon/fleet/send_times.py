"""Record when numbered messages were sent."""

from __future__ import annotations

import collections

import trio

__all__ = ["SendTimes"]

# Covers 2.5 s at the highest rate, 25 messages a second.
_MAX_MESSAGES = 64


class SendTimes:
    """Send times of the last messages, by number.

    The clocks of two instances cannot be compared. A reply names the last
    message that its sender had received, so the ages and lifetimes in the reply
    count from that message's send time on this daemon's clock. A delay on the
    way then makes the reply look older, never newer.
    """

    def __init__(self) -> None:
        self._times: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def note(self, number: int) -> None:
        """Record that a message is sent now."""
        self._times[number] = trio.current_time()
        while len(self._times) > _MAX_MESSAGES:
            self._times.popitem(last=False)

    def find(self, number: int) -> float | None:
        """Return a message's send time in trio's time, or None if unknown."""
        return self._times.get(number)
