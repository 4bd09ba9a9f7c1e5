"""Handle a process's signals for as long as it runs."""

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
    """What a process is doing."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class SignalHandler:
    """Turn signals into a stop, which is asked for once, and reloads.

    Attributes:
        stop: Set at the first SIGTERM or SIGINT.
        stopped_at: When that came, in trio's time.
        stage: Stands in each line.
    """

    def __init__(
        self,
        held: held_signals.HeldSignals,
        reload: Callable[[], None],
        force_stop: Callable[[], None] | None = None,
    ) -> None:
        """Handle nothing yet.

        Args:
            held: Signals that came before.
            reload: Called at each SIGHUP.
            force_stop: Called at each SIGINT after the stop was asked for,
                since a person at the terminal wants the end now.
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
        """Handle signals until cancelled, which is to be at the very end."""
        with trio.open_signal_receiver(*held_signals.HANDLED) as received:
            for held in self._held.take():
                self._handle(held.number, held.age_s)
            task_status.started()
            async for number in received:
                self._handle(signal.Signals(number))

    def _handle(self, number: signal.Signals, age_s: float = 0.0) -> None:
        # A stop or reload that nobody here asked for is told from one that
        # was by this line alone.
        _LOG.write(
            f"Took {number.name}.", stage=self.stage, age_s=round(age_s, 3)
        )
        if number is signal.SIGHUP:
            self._reload()
        elif not self.stop.is_set():
            # The kill is due a grace time after the signal, not after this.
            self.stopped_at = trio.current_time() - age_s
            self.stop.set()
        elif number is signal.SIGINT and self._force_stop is not None:
            self._force_stop()


def ignore_signals() -> None:
    """Have no signal act any more, once nothing is left to finish.

    The interpreter takes handlers out before it ends; a signal after that
    would turn a planned stop's exit status into that of a kill.
    """
    for number in held_signals.HANDLED:
        signal.signal(number, signal.SIG_IGN)
