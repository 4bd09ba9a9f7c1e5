"""Hold signals from a process's first line until it can act on them.

Nothing but the standard library is imported here: what takes long to import
would leave the process to the system's own action for as long.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType

__all__ = ["HANDLED", "HeldSignals", "hold_signals"]

HANDLED = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


class HeldSignals:
    """Signals that wait, in the order that Python ran their handlers.

    It runs pending ones by number and merges equal ones.
    """

    def __init__(self) -> None:
        self._numbers: list[int] = []

    def take(self) -> list[signal.Signals]:
        """Return those that wait and forget them."""
        numbers, self._numbers = self._numbers, []
        return [signal.Signals(number) for number in numbers]

    def hold(self, number: int, frame: FrameType | None) -> None:
        """Keep one; a handler as the signal module wants it."""
        del frame
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
