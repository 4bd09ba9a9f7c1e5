"""Hold signals from a process's first line until it can act on them.

Nothing but the standard library is needed here: what takes long to import
would leave the process to the system's own action for as long.
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
    """A signal that came before anything could act on it.

    Attributes:
        number: Which one.
        age_s: How long ago it came.
    """

    def __init__(self, number: int, age_s: float) -> None:
        self.number = signal.Signals(number)
        self.age_s = age_s


class HeldSignals:
    """Signals that wait, in the order that Python ran their handlers.

    It runs pending ones by number and merges equal ones.
    """

    def __init__(self) -> None:
        # In pairs, for a handler has to be short.
        self._numbers: list[int] = []
        self._received_at: list[float] = []

    def take(self) -> list[HeldSignal]:
        """Return those that wait and forget them."""
        numbers, self._numbers = self._numbers, []
        received_at, self._received_at = self._received_at, []
        now = boot_time.read_boot_time()
        return [
            HeldSignal(number, now - at)
            for number, at in zip(numbers, received_at, strict=True)
        ]

    def hold(self, number: int, frame: FrameType | None) -> None:
        """Keep one; a handler as the signal module wants it."""
        del frame
        self._received_at.append(boot_time.read_boot_time())
        self._numbers.append(number)


def hold_signals() -> HeldSignals:
    """Hold the handled signals from now on.

    Also what handles them later falls back to this when it ends, never to the
    system's action, which is to end the process and its requests with it.
    """
    held = HeldSignals()
    for number in HANDLED:
        signal.signal(number, held.hold)
    return held
