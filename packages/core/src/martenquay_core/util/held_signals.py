"""Queue signals from process start until a handler can act on them.

This module must import nothing outside the standard library: a signal that
arrives during a slow import would end the process.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from martenquay_core.util import boot_time

if TYPE_CHECKING:
    from types import FrameType

__all__ = ["HANDLED", "HeldSignal", "HeldSignals", "hold_signals"]

HANDLED = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


class HeldSignal:
    """A signal that was received before it could be handled.

    Attributes:
        number: Signal number.
        age_s: Seconds since it was received.
    """

    def __init__(self, number: int, age_s: float) -> None:
        self.number = signal.Signals(number)
        self.age_s = age_s


class HeldSignals:
    """Queue of signals in the order in which Python ran their handlers.

    Python runs the handlers of pending signals by number and merges equal
    ones.
    """

    def __init__(self) -> None:
        # Two parallel lists, as a signal handler must be short.
        self._numbers: list[int] = []
        self._received_at: list[float] = []

    def take(self) -> list[HeldSignal]:
        """Remove and return all queued signals."""
        numbers, self._numbers = self._numbers, []
        received_at, self._received_at = self._received_at, []
        now = boot_time.read_boot_time()
        return [
            HeldSignal(number, now - at)
            for number, at in zip(numbers, received_at, strict=True)
        ]

    def has_stop(self) -> bool:
        """Return whether a queued signal asks the process to stop."""
        return any(number != signal.SIGHUP for number in self._numbers)

    def hold(self, number: int, frame: FrameType | None) -> None:
        """Queue a signal; a handler for `signal.signal`."""
        del frame
        self._received_at.append(boot_time.read_boot_time())
        self._numbers.append(number)


def hold_signals() -> HeldSignals:
    """Queue the signals in `HANDLED` from now on.

    A later handler restores this one when it ends, so that a signal never
    triggers the default action, which would end the process and its requests.
    """
    held = HeldSignals()
    for number in HANDLED:
        signal.signal(number, held.hold)
    return held
