"""Write log lines from a thread, with a bounded queue and rate limits.

A reader that stops reading blocks only the thread. Lines that exceed the queue
or their kind's rate limit are dropped; the next line of the kind has the count
of dropped lines.

Unlimited kinds have no rate limit, so that a busy second does not drop the
lines on how a process ended.
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

# For each kind of line. Several times the 20 lines a second that ten requests
# write, and 100 KB/s at most.
_LINES_PER_S = 250
_QUEUE_LINES = 4000
# Lines may quote heads of callers, of some kilobytes each.
_QUEUE_BYTES = 4_000_000
_KIND_FIELD = "message_type"
_END = b""


class LineWriter:
    """Queues lines and writes them to a descriptor in a thread."""

    def __init__(
        self,
        descriptor: int,
        read_clock: Callable[[], float] = time.monotonic,
        unlimited_kinds: Collection[str] = (),
    ) -> None:
        """Create a writer without starting its thread.

        Args:
            descriptor: File descriptor that lines are written to.
            read_clock: Returns the time in seconds.
            unlimited_kinds: Kinds without a rate limit. They must not be
                written for events that others can repeat at will, such as
                signals or requests.
        """
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._unlimited_kinds = frozenset(unlimited_kinds)
        self._queue: queue.Queue[bytes] = queue.Queue(_QUEUE_LINES)
        self._thread = threading.Thread(
            target=self._write_lines, name="log", daemon=True
        )
        # Counted apart, as each is changed by one thread only.
        self._queued_bytes = 0
        self._written_bytes = 0
        self._second = 0
        self._counts: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    def write(self, message: dict[str, Any]) -> None:
        """Queue one line, or drop it; never blocks."""
        kind = str(message.get(_KIND_FIELD, ""))
        if not self._is_within_rate(kind):
            self._dropped[kind] = self._dropped.get(kind, 0) + 1
            return
        left_out = self._dropped.pop(kind, 0)
        if left_out:
            message = {**message, "left_out": left_out}
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        waiting_bytes = self._queued_bytes - self._written_bytes
        if waiting_bytes + len(line) > _QUEUE_BYTES:
            self._dropped[kind] = left_out + 1
            return
        try:
            self._queue.put_nowait(line)
            self._queued_bytes += len(line)
        except queue.Full:
            self._dropped[kind] = left_out + 1

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def close(self, timeout_s: float) -> None:
        """Stop the thread; wait up to `timeout_s` for queued lines."""
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
                # The log itself is broken, so the error cannot be logged.
                return
            self._written_bytes += len(line)

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
    """Create a writer and start its thread."""
    writer = LineWriter(descriptor, unlimited_kinds=unlimited_kinds)
    writer.start()
    return writer


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        written = os.write(descriptor, data)
        data = data[written:]
