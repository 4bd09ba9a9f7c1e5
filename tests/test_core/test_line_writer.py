"""Log lines never hold up the daemon, and what is left out is counted."""

from __future__ import annotations

import fcntl
import json
import os
import select

import testtools

from martenquay_core.util import line_writer

# What Linux allows any user.
_PIPE_BYTES = 1 << 20
# Ends a test that hangs.
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

    def test_a_kind_over_its_rate_is_left_out_and_counted(self) -> None:
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

    def test_a_kind_of_few_lines_is_not_bounded_in_rate(self) -> None:
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

    def test_a_kind_of_few_lines_is_bounded_in_number(self) -> None:
        for _ in range(10_000):
            self.writer.write({"message_type": "few"})
        # All that waits fits in: nobody has to read meanwhile.
        fcntl.fcntl(self.writing, fcntl.F_SETPIPE_SZ, _PIPE_BYTES)
        self.writer.start()
        # Once one line is out, the queue has room for its end.
        select.select([self.reading], [], [], _HANG_S)
        self.assertEqual(4000, len(self._finish()))

    def test_a_reader_that_stops_holds_up_nobody(self) -> None:
        self.writer.start()
        for second in range(200):
            self.second = float(second)
            for _ in range(100):
                line = {"message_type": "a", "text": "x" * 200}
                self.writer.write(line)
        # 20,000 lines of 200 bytes fill the pipe and the queue; reaching
        # this line is what is tested.
        lines = self._drain()
        self.assertTrue(all(line["message_type"] == "a" for line in lines))

    def _drain(self) -> list[dict[str, object]]:
        """Read until the writer has caught up."""
        data = b""
        while data.count(b"\n") < 4000:
            data += os.read(self.reading, 65_536)
        os.close(self.writing)
        return [json.loads(line) for line in data.splitlines()[:4000]]
