"""Measure how long single steps of trio tasks hold the loop."""

from __future__ import annotations

import gc
import time
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from trio.lowlevel import Task

__all__ = ["MAX_STEP_S", "StepTimer"]

# All other requests wait for a step. Runners are tried again elsewhere, and
# links are kept alive, within some tenths of a second.
MAX_STEP_S = 0.05


class StepTimer(trio.abc.Instrument):
    """Records the longest step between two checkpoints, in processor time.

    Processor time, as other programs on the machine take none of it. Garbage
    collection is left out: it takes as long as the test process, with all its
    modules, has objects (44 ms with two of them loaded).

    Args:
        prefix: Measure only tasks whose names begin so.

    Attributes:
        longest_s: The longest step, in seconds.
        task_name: The task whose step it was.
    """

    def __init__(self, prefix: str = "") -> None:
        self._prefix = prefix
        self.longest_s = 0.0
        self.task_name = ""
        self._began_at = 0.0
        self._collecting_since = 0.0
        self._collected_s = 0.0

    def before_run(self) -> None:
        """Begin to watch the garbage collector."""
        gc.callbacks.append(self._note_collection)

    def after_run(self) -> None:
        """Stop to watch the garbage collector."""
        gc.callbacks.remove(self._note_collection)

    def before_task_step(self, task: Task) -> None:
        """Begin to measure; implements `trio.abc.Instrument`."""
        del task
        self._collected_s = 0.0
        self._began_at = time.thread_time()

    def after_task_step(self, task: Task) -> None:
        """End to measure; implements `trio.abc.Instrument`."""
        took_s = time.thread_time() - self._began_at - self._collected_s
        if took_s > self.longest_s and task.name.startswith(self._prefix):
            self.longest_s = took_s
            self.task_name = task.name

    def _note_collection(self, phase: str, info: dict[str, int]) -> None:
        del info
        if phase == "start":
            self._collecting_since = time.thread_time()
        else:
            self._collected_s += time.thread_time() - self._collecting_since
