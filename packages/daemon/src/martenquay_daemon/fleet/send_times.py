"""Remember when numbered messages were sent."""

from __future__ import annotations

import collections

import trio

__all__ = ["SendTimes"]

# At 25 messages a second, the most that news in a hurry make, this is 2.5 s.
_KEPT = 64


class SendTimes:
    """The times of the last messages by number.

    Clocks of two instances cannot be compared. An answer that names the last
    message its sender had heard was made after that one was sent, which this
    daemon's own clock tells: so what the answer says of ages and lifetimes
    can be counted from there, and no delay on the way makes it look newer.
    """

    def __init__(self) -> None:
        self._times: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def note(self, number: int) -> None:
        """Note that a message is sent now."""
        self._times[number] = trio.current_time()
        while len(self._times) > _KEPT:
            self._times.popitem(last=False)

    def find(self, number: int) -> float | None:
        """Return when a message was sent; None if that is long ago."""
        return self._times.get(number)
