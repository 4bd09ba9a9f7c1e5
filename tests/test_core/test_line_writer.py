"""Logging never blocks the daemon, and dropped lines are counted."""

from __future__ import annotations

import fcntl
import json
import os
import select
import tempfile

import testtools

from martenquay_core.util import line_writer

# The most that Linux allows an unprivileged user.
_PIPE_BYTES = 1 << 20
_HANG_S = 30.0


class LineWriterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.second = 0.0
        self.writer = line_writer.LineWriter(
            self.writing, lambda: self.second, unlimited_kinds=["few"]
        )

    def _finish(self) -> list[dict[str, object]]:
        """Close the pipe and return the lines that went through it."""
        self.writer.close(30.0)
        os.close(self.writing)
        with os.fdopen(os.dup(self.reading), "rb") as lines:
            return [json.loads(line) for line in lines]

    def test_lines_come_out_in_order(self) -> None:
        self.writer.start()
        for number in range(20):
            self.writer.write({"message_type": "a", "number": number})
        found = [line["number"] for line in self._finish()]
        self.assertEqual(list(range(20)), found)

    def test_lines_over_the_rate_limit_are_dropped_and_counted(self) -> None:
        self.writer.start()
        for _ in range(1000):
            self.writer.write({"message_type": "busy"})
        self.writer.write({"message_type": "calm"})
        self.second = 1.0
        self.writer.write({"message_type": "busy"})
        lines = self._finish()
        busy = [line for line in lines if line["message_type"] == "busy"]
        calm = [line for line in lines if line["message_type"] == "calm"]
        self.assertEqual(1, len(calm))
        self.assertEqual(1000 - (len(busy) - 1), busy[-1]["left_out"])

    def test_an_unlimited_kind_has_no_rate_limit(self) -> None:
        self.writer.start()
        for _ in range(1000):
            self.writer.write({"message_type": "few"})
            self.writer.write({"message_type": "busy"})
        self.writer.write({"message_type": "few", "text": "Stopped."})
        lines = self._finish()
        few = [line for line in lines if line["message_type"] == "few"]
        self.assertEqual(1001, len(few))
        self.assertEqual("Stopped.", few[-1]["text"])
        self.assertLess(len(lines) - len(few), 1000)

    def test_an_unlimited_kind_is_bounded_by_the_queue(self) -> None:
        for _ in range(10_000):
            self.writer.write({"message_type": "few"})
        # The pipe holds all queued lines, so nothing must read meanwhile.
        fcntl.fcntl(self.writing, fcntl.F_SETPIPE_SZ, _PIPE_BYTES)
        self.writer.start()
        # After the first line the queue has room for the end marker.
        select.select([self.reading], [], [], _HANG_S)
        self.assertEqual(4000, len(self._finish()))

    def test_a_stopped_reader_does_not_block_writes(self) -> None:
        self.writer.start()
        for second in range(200):
            self.second = float(second)
            for _ in range(100):
                line = {"message_type": "a", "text": "x" * 200}
                self.writer.write(line)
        # The lines fill the pipe and the queue; `write` must not have blocked.
        lines = self._drain()
        self.assertTrue(all(line["message_type"] == "a" for line in lines))

    def _drain(self) -> list[dict[str, object]]:
        """Read all lines that the queue holds."""
        data = b""
        while data.count(b"\n") < 4000:
            data += os.read(self.reading, 65_536)
        os.close(self.writing)
        return [json.loads(line) for line in data.splitlines()[:4000]]

    def test_long_lines_that_wait_are_bounded_by_their_bytes(self) -> None:
        with tempfile.TemporaryFile() as file:
            writer = line_writer.LineWriter(file.fileno(), lambda: self.second)
            for second in range(16):
                self.second = float(second)
                for _ in range(250):
                    writer.write({"message_type": "a", "text": "x" * 16_000})
            writer.start()
            writer.close(_HANG_S)
            self.assertLess(os.fstat(file.fileno()).st_size, 8_000_000)
