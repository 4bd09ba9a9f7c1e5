"""A test gets the log lines that are written while it listens, no earlier ones.

Guards against lines of earlier tests, which eliot keeps for the first listener.
"""

from __future__ import annotations

import eliot
import testtools

from martenquay_core import logs


class LogLinesTest(testtools.TestCase):
    def test_lines_of_earlier_tests_are_not_delivered(self) -> None:
        logs.create_log("earlier").write("Written before.")
        lines: list[dict[str, object]] = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        self.assertEqual([], lines)
