"""Tell trio the time in a way that counts an instance's suspension."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core.util import boot_time

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["BootClock", "create_clock"]


class BootClock(trio.abc.Clock):
    """Implement `trio.abc.Clock`.

    Waits are made by the operating system on its steady clock, so a timer may
    come late by as long as the suspension lasted. Whoever uses a right asks
    the time first, and never relies on a timer to have ended it.
    """

    def __init__(
        self, read_time: Callable[[], float] = boot_time.read_boot_time
    ) -> None:
        self._read_time = read_time

    def start_clock(self) -> None:
        """Do nothing: the clock runs."""

    def current_time(self) -> float:
        """Return the time in seconds."""
        return self._read_time()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to wait for a deadline."""
        return deadline - self._read_time()


def create_clock() -> BootClock:
    """Return a clock for `trio.run`."""
    return BootClock()
