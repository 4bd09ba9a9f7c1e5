"""Subprocesses of Python programs that print JSON lines."""

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

from martenquay_standins import loopback

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["Program", "start_program"]

_RECEIVE_BYTES = 65_536
_STDERR_TAIL_BYTES = 4000
_STDOUT_TAIL_LINES = 40
# With less CPU time than this, the interpreter is starting and no program has
# signal handlers yet. Elapsed time would depend on the load of the machine.
_STARTUP_CPU_S = 0.1


class Program:
    """A running subprocess.

    Attributes:
        name: Its name in reports.
        process: The process.
        errors: The last bytes of its standard error.
        is_expected_to_end: A test has told it to end.
        started_at: When it was started, in seconds of the monotonic clock.
        signals: The signals sent to it, with seconds since its start.
        lines: Its last log lines, with seconds since its start.
        address: Where it listens; empty while unknown.
        cpu_time_s: Processor time that it had used when it was killed; None
            if it was not.
        has_read_lines: Set once its lines are read to the end.
    """

    def __init__(self, name: str, process: trio.Process) -> None:
        self.name = name
        self.process = process
        self.errors = b""
        self.address = ""
        self.is_expected_to_end = False
        self.cpu_time_s: float | None = None
        self.has_read_lines = trio.Event()
        self.signals: list[str] = []
        self.lines: collections.deque[str] = collections.deque(
            maxlen=_STDOUT_TAIL_LINES
        )
        self.started_at = time.monotonic()
        # The timestamps of log lines are Unix times.
        self._started_at_epoch_s = time.time()
        self._startup_signals: set[int] = set()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process if it is still running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def send_and_record(self, number: signal.Signals) -> None:
        """Send a signal and record whether the program was still starting."""
        if self.process.poll() is not None:
            return
        cpu_time_s = self._read_cpu_time_s()
        if cpu_time_s < _STARTUP_CPU_S:
            self._startup_signals.add(number)
        elif cpu_time_s > 2 * _STARTUP_CPU_S:
            # A program that runs on has survived its startup signals.
            self._startup_signals.clear()
        age_s = time.monotonic() - self.started_at
        self.signals.append(f"{number.name}+{age_s:.3f}")
        self.send(number)

    def was_killed_at_startup(self) -> bool:
        """Return whether a signal sent during startup has killed it."""
        status = self.process.poll()
        return status is not None and -status in self._startup_signals

    def keep_line(self, line: dict[str, Any]) -> None:
        """Keep a log line for the report on why the program ended."""
        age_s = line.get("timestamp", 0.0) - self._started_at_epoch_s
        self.lines.append(f"{age_s:.3f} {line.get('text', line)}")

    def kill(self) -> None:
        """Send SIGKILL, marking the end as expected."""
        self.is_expected_to_end = True
        if self.process.poll() is None:
            self.cpu_time_s = self._read_cpu_time_s()
        self.send(signal.SIGKILL)

    async def read_lines(
        self, handle_line: Callable[[dict[str, Any]], None]
    ) -> None:
        """Call `handle_line` with each JSON line that it prints, until EOF."""
        assert self.process.stdout is not None, "stdout is not a pipe"
        partial_line = b""
        while data := await self.process.stdout.receive_some(_RECEIVE_BYTES):
            *lines, partial_line = (partial_line + data).split(b"\n")
            for line in lines:
                handle_line(json.loads(line))
        self.has_read_lines.set()

    def _read_cpu_time_s(self) -> float:
        """Return the user and system CPU time of the process."""
        stat_line = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        # The command name, in parentheses, may hold spaces and parentheses.
        fields = stat_line.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    async def read_errors(self) -> None:
        """Keep the last bytes of its standard error, until EOF."""
        assert self.process.stderr is not None, "stderr is not a pipe"
        while data := await self.process.stderr.receive_some(_RECEIVE_BYTES):
            self.errors = (self.errors + data)[-_STDERR_TAIL_BYTES:]


async def start_program(
    name: str, arguments: list[str], env: Mapping[str, str]
) -> Program:
    """Start a Python program; call `read_lines` and `read_errors` on it.

    Without these two, the program would block on a full pipe.
    """
    process = await trio.lowlevel.open_process(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**env, loopback.VARIABLE: loopback.HOST},
    )
    return Program(name, process)
