"""Start programs as processes of their own and read the lines they print."""

from __future__ import annotations

import collections
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["Program", "start_program"]

_RECEIVE_BYTES = 65_536
# What is kept of a program's errors.
_STDERR_TAIL_BYTES = 4000
_STDOUT_TAIL_LINES = 40
# Before an interpreter has worked so long, nothing it runs can catch a signal.
# It is its own time, which a busy machine doesn't stretch.
_STARTUP_CPU_S = 0.1


class Program:
    """A running program.

    Attributes:
        name: What the soak calls it.
        process: The process.
        errors: The end of what it wrote to its error output.
        is_expected_to_end: It was told to end.
        started_at: When it was started, by the steady clock.
        signals: The signals that it was sent, and how long after its start.
        lines: The last lines that it printed, and how long after its start.
        address: Where it listens; empty until it has told.
    """

    def __init__(self, name: str, process: trio.Process) -> None:
        self.name = name
        self.process = process
        self.errors = b""
        self.address = ""
        self.is_expected_to_end = False
        self.signals: list[str] = []
        self.lines: collections.deque[str] = collections.deque(
            maxlen=_STDOUT_TAIL_LINES
        )
        self.started_at = time.monotonic()
        # Lines bear the time of day.
        self._started_at_epoch_s = time.time()
        self._startup_signals: set[int] = set()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process alone, if it is still there."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def send_early_or_late(self, number: signal.Signals) -> None:
        """Send a signal; note whether the program can know of it by now."""
        if self.process.poll() is not None:
            return
        cpu_time_s = self._read_cpu_time_s()
        if cpu_time_s < _STARTUP_CPU_S:
            self._startup_signals.add(number)
        elif cpu_time_s > 2 * _STARTUP_CPU_S:
            # It has outlived what came early.
            self._startup_signals.clear()
        age_s = time.monotonic() - self.started_at
        self.signals.append(f"{number.name}+{age_s:.3f}")
        self.send(number)

    def is_excused(self) -> bool:
        """Tell whether it ended by a signal that nobody could catch."""
        status = self.process.poll()
        return status is not None and -status in self._startup_signals

    def keep_line(self, line: dict[str, Any]) -> None:
        """Keep a line that it printed, for those who ask why it ended."""
        age_s = line.get("timestamp", 0.0) - self._started_at_epoch_s
        self.lines.append(f"{age_s:.3f} {line.get('text', line)}")

    def kill(self) -> None:
        """End it at once."""
        self.is_expected_to_end = True
        self.send(signal.SIGKILL)

    async def read_lines(
        self, handle_line: Callable[[dict[str, Any]], None]
    ) -> None:
        """Hand on each JSON line that it prints, until it ends."""
        assert self.process.stdout is not None, "it is started with a pipe"
        partial_line = b""
        while data := await self.process.stdout.receive_some(_RECEIVE_BYTES):
            *lines, partial_line = (partial_line + data).split(b"\n")
            for line in lines:
                handle_line(json.loads(line))

    def _read_cpu_time_s(self) -> float:
        """Return how long it has worked, by the system's account."""
        stat_line = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        # The name, in brackets, may hold anything.
        fields = stat_line.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    async def read_errors(self) -> None:
        """Keep what it writes to its error output."""
        assert self.process.stderr is not None, "it is started with a pipe"
        while data := await self.process.stderr.receive_some(_RECEIVE_BYTES):
            self.errors = (self.errors + data)[-_STDERR_TAIL_BYTES:]


async def start_program(
    name: str, arguments: list[str], env: Mapping[str, str]
) -> Program:
    """Start a Python program; its output is read by `read_lines`."""
    process = await trio.lowlevel.open_process(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=dict(env),
    )
    return Program(name, process)
