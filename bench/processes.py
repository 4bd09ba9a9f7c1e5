"""Start programs as subprocesses and read their processor and memory use."""

from __future__ import annotations

import json
import sys

import trio

__all__ = ["Program", "read_cpu_s", "read_resident_mb", "start_program"]


class Program:
    """A running subprocess that listens at an address.

    Attributes:
        process: The process.
        address: Host and port where it listens.
    """

    def __init__(self, process: trio.Process, address: str) -> None:
        self.process = process
        self.address = address

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()


async def start_program(module: str, *arguments: str) -> Program:
    """Run `python -m module arguments` and wait until it prints its address.

    Raises:
        RuntimeError: The process exited before it printed its address.
    """
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", module, *arguments], stdout=-1
    )
    line = b""
    while not line.endswith(b"\n"):
        chunk = await process.stdout.receive_some(4096)
        if not chunk:
            raise RuntimeError(f"{module} exited before it printed its address")
        line += chunk
    return Program(process, json.loads(line)["address"])


def read_resident_mb(pid: int) -> float:
    """Return a process's resident memory in megabytes."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    ticks_per_s = 100
    return (int(fields[11]) + int(fields[12])) / ticks_per_s
