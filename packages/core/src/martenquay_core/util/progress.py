"""A monotonic counter whose values tasks can wait for."""

from __future__ import annotations

import trio

__all__ = ["Progress"]


class Progress:
    """A counter that only grows and wakes tasks waiting for a value.

    Attributes:
        value: Highest value so far.
    """

    def __init__(self, value: int = 0) -> None:
        self.value = value
        self._changed = trio.Event()

    def advance(self, value: int) -> None:
        """Raise the value and wake waiting tasks; ignore a lower value."""
        if value <= self.value:
            return
        self.value = value
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for(self, value: int) -> None:
        """Wait until the counter is at least `value`."""
        while self.value < value:
            await self._changed.wait()

    async def wait_beyond(self, value: int) -> None:
        """Wait until the counter is greater than `value`."""
        await self.wait_for(value + 1)
