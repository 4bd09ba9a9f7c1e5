"""Start programs as processes of their own and read the lines they print."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["Program", "start_program"]

_PIECE_BYTES = 65_536
# What is kept of a program's errors.
_KEPT_BYTES = 4000


class Program:
    """A running program.

    Attributes:
        name: What the soak calls it.
        process: The process.
        errors: The end of what it wrote to its error output.
        is_expected_to_end: It was told to end.
    """

    def __init__(self, name: str, process: trio.Process) -> None:
        self.name = name
        self.process = process
        self.errors = b""
        self.is_expected_to_end = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process alone, if it is still there."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.is_expected_to_end = True
        self.send(signal.SIGKILL)

    async def read_lines(self, take: Callable[[dict[str, Any]], None]) -> None:
        """Hand on each JSON line that it prints, until it ends."""
        assert self.process.stdout is not None, "it is started with a pipe"
        rest = b""
        while piece := await self.process.stdout.receive_some(_PIECE_BYTES):
            *lines, rest = (rest + piece).split(b"\n")
            for line in lines:
                take(json.loads(line))

    async def read_errors(self) -> None:
        """Keep what it writes to its error output."""
        assert self.process.stderr is not None, "it is started with a pipe"
        while piece := await self.process.stderr.receive_some(_PIECE_BYTES):
            self.errors = (self.errors + piece)[-_KEPT_BYTES:]


async def start_program(
    name: str, words: list[str], env: Mapping[str, str]
) -> Program:
    """Start a Python program; its output is read by `read_lines`."""
    process = await trio.lowlevel.open_process(
        [sys.executable, *words],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=dict(env),
    )
    return Program(name, process)
