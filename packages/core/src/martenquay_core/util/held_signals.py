"""Queue signals from process start until a handler can act on them.

A signal that arrives before the interpreter has run `hold_signals` ends the
process, so this module imports only what is built into the interpreter.
"""

# The interpreter's part of `signal`, whose import (of enum, collections and
# functools) takes as long as the start of the interpreter.
import _signal
import posix
import time

from martenquay_core.util import boot_time

__all__ = ["HANDLED", "HeldSignal", "HeldSignals", "hold_signals"]

_STDOUT = 1
_STOPPED_LINE = (
    '{{"text":"Stopped before callers were served.",'
    '"stage":"importing","timestamp":{}}}\n'
)

HANDLED = (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM)


class HeldSignal:
    """A signal that was received before it could be handled.

    Attributes:
        number: Signal number, as a `signal.Signals`.
        age_s: Seconds since it was received.
    """

    def __init__(self, number: int, age_s: float) -> None:
        import signal  # noqa: PLC0415

        self.number = signal.Signals(number)
        self.age_s = age_s


class HeldSignals:
    """Queue of signals in the order in which Python ran their handlers.

    Python runs the handlers of pending signals by number and merges equal
    ones.

    Attributes:
        ends_at_stop: A stop signal ends the process at once, with status 0;
            only while the process has nothing to clean up.
    """

    def __init__(self, *, ends_at_stop: bool = False) -> None:
        self.ends_at_stop = ends_at_stop
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
        return any(number != _signal.SIGHUP for number in self._numbers)

    def hold(self, number: int, frame: object) -> None:
        """Queue a signal; a handler for `signal.signal`."""
        del frame
        if self.ends_at_stop and number != _signal.SIGHUP:
            line = _STOPPED_LINE.format(time.time())
            try:
                posix.write(_STDOUT, line.encode())
            finally:
                # Also if nobody reads the log.
                posix._exit(0)
        self._received_at.append(boot_time.read_boot_time())
        self._numbers.append(number)


def hold_signals(*, ends_at_stop: bool = False) -> HeldSignals:
    """Queue the signals in `HANDLED` from now on.

    A later handler restores this one when it ends, so that a signal never
    triggers the default action, which would end the process and its requests.

    Args:
        ends_at_stop: A stop signal ends the process at once until the
            attribute of that name is cleared.
    """
    held = HeldSignals(ends_at_stop=ends_at_stop)
    for number in HANDLED:
        _signal.signal(number, held.hold)
    return held
