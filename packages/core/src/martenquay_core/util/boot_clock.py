"""Clock for trio that includes the time an instance was suspended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core.util import boot_time

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["BootClock", "create_clock"]


class BootClock(trio.abc.Clock):
    """A `trio.abc.Clock` that reads CLOCK_BOOTTIME.

    The operating system's waits run on CLOCK_MONOTONIC, so a timer may fire
    late by as long as the suspension lasted. Code that uses a lease must
    therefore compare the time and not rely on a timer to have ended it.
    """

    def __init__(
        self, read_time: Callable[[], float] = boot_time.read_boot_time
    ) -> None:
        self._read_time = read_time

    def start_clock(self) -> None:
        """Do nothing; CLOCK_BOOTTIME always runs."""

    def current_time(self) -> float:
        """Return the current time in seconds."""
        return self._read_time()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self._read_time()


def create_clock() -> BootClock:
    """Create a clock for `trio.run`."""
    return BootClock()
