"""Handle stop and reload signals while a process runs."""

from __future__ import annotations

import enum
import math
import signal
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_core.util import held_signals

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SignalHandler", "Stage", "ignore_signals"]

_LOG = logs.create_log("signals")


class Stage(enum.StrEnum):
    """Lifecycle stage of a process."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class SignalHandler:
    """Turns signals into a stop event and calls to reload.

    Attributes:
        stop: Set by the first SIGTERM or SIGINT.
        stopped_at: When that signal was received, in trio's time.
        stage: Lifecycle stage that each log line has.
    """

    def __init__(
        self,
        held: held_signals.HeldSignals,
        reload: Callable[[], None],
        force_stop: Callable[[], None] | None = None,
    ) -> None:
        """Create a handler; `run` starts it.

        Args:
            held: Signals received before `run`.
            reload: Called for each SIGHUP.
            force_stop: Called for each SIGINT (Ctrl-C) after the stop was
                requested.
        """
        self.stop = trio.Event()
        self.stopped_at = math.inf
        self.stage = Stage.STARTING
        self._held = held
        self._reload = reload
        self._force_stop = force_stop

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Handle signals until cancelled at the end of the process."""
        with trio.open_signal_receiver(*held_signals.HANDLED) as received:
            for held in self._held.take():
                self._handle(held.number, held.age_s)
            task_status.started()
            async for number in received:
                self._handle(signal.Signals(number))

    def _handle(self, number: signal.Signals, age_s: float = 0.0) -> None:
        # Only this line shows that a stop or reload came from a signal.
        _LOG.write(
            f"Received {number.name}.", stage=self.stage, age_s=round(age_s, 3)
        )
        if number is signal.SIGHUP:
            self._reload()
        elif not self.stop.is_set():
            # The grace time before the kill starts when the signal is sent.
            self.stopped_at = trio.current_time() - age_s
            self.stop.set()
        elif number is signal.SIGINT and self._force_stop is not None:
            self._force_stop()


def ignore_signals() -> None:
    """Ignore all handled signals; to be called when nothing is left to do.

    The interpreter removes handlers before it exits. A signal after that
    would kill the process and change the exit status of a planned stop.
    """
    for number in held_signals.HANDLED:
        signal.signal(number, signal.SIG_IGN)
