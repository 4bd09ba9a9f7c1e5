"""Write log lines in a thread, bounded in rate and in number.

A reader that stops reading holds up only the thread. Lines that find the
queue full, or their kind's rate used up, are left out and counted; the count
is written with the next line that gets through.

Kinds without a limit are bounded in number only: how a process ended must not
be left out because the second before was a busy one.
"""

from __future__ import annotations

import contextlib
import os
import queue
import threading
import time
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

__all__ = ["LineWriter", "create_writer"]

# A daemon of the size to come answers ten requests a second, two lines each;
# this is several times that, and 100 KB/s at most a kind.
_LINES_PER_S = 250
# About one MB of lines waits for a slow reader.
_QUEUE_LINES = 4000
_KIND_FIELD = "message_type"
_END = b""


class LineWriter:
    """Queue lines for the thread that writes them."""

    def __init__(
        self,
        descriptor: int,
        read_clock: Callable[[], float] = time.monotonic,
        unlimited_kinds: Collection[str] = (),
    ) -> None:
        """Write nothing yet.

        Args:
            descriptor: Where lines go.
            read_clock: Returns seconds.
            unlimited_kinds: Kinds that are not bounded in rate. Nothing that
                others can
                repeat at will, as signals or requests, may write them.
        """
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._unlimited_kinds = frozenset(unlimited_kinds)
        self._queue: queue.Queue[bytes] = queue.Queue(_QUEUE_LINES)
        self._thread = threading.Thread(
            target=self._write_lines, name="log", daemon=True
        )
        self._second = 0
        self._counts: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    def write(self, message: dict[str, Any]) -> None:
        """Queue one line; never waits."""
        kind = str(message.get(_KIND_FIELD, ""))
        if not self._is_within_rate(kind):
            self._dropped[kind] = self._dropped.get(kind, 0) + 1
            return
        left_out = self._dropped.pop(kind, 0)
        if left_out:
            message = {**message, "left_out": left_out}
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self._dropped[kind] = left_out + 1

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self, timeout_s: float) -> None:
        """Give the lines that wait so long to be written."""
        with contextlib.suppress(queue.Full):
            self._queue.put_nowait(_END)
        self._thread.join(timeout_s)

    def _write_lines(self) -> None:
        while True:
            line = self._queue.get()
            if line is _END:
                return
            try:
                _write_all(self._descriptor, line)
            except OSError:
                # Nobody can be told: this is where lines go.
                return

    def _is_within_rate(self, kind: str) -> bool:
        if kind in self._unlimited_kinds:
            return True
        second = int(self._read_clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(kind, 0)
        self._counts[kind] = count + 1
        return count < _LINES_PER_S


def create_writer(
    descriptor: int, unlimited_kinds: Collection[str] = ()
) -> LineWriter:
    """Return a writer whose thread runs as long as the process."""
    writer = LineWriter(descriptor, unlimited_kinds=unlimited_kinds)
    writer.start()
    return writer


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        written = os.write(descriptor, data)
        data = data[written:]
