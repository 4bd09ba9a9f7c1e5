"""Let tasks wait until a counter that only grows reaches a value."""

from __future__ import annotations

import trio

__all__ = ["Progress"]


class Progress:
    """Hold an offset that only grows and wake those who wait for it.

    Attributes:
        value: The highest value so far.
    """

    def __init__(self, value: int = 0) -> None:
        self.value = value
        self._changed = trio.Event()

    def advance(self, value: int) -> None:
        """Raise the value and wake all waiters; a lower value is ignored."""
        if value <= self.value:
            return
        self.value = value
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for(self, value: int) -> None:
        """Return once the value is at least `value`."""
        while self.value < value:
            await self._changed.wait()

    async def wait_beyond(self, value: int) -> None:
        """Return once the value is greater than `value`."""
        await self.wait_for(value + 1)
