"""Tests of the trace command: lines of one request only, in time order."""

from __future__ import annotations

import json
import pathlib
import tempfile

import testtools

from martenquay_client import trace


def _line(at: float, request: str, text: str, **fields: object) -> str:
    content = {
        "timestamp": at,
        "request": request,
        "text": text,
        "source": "entry-1",
        "message_type": "forwarding",
        **fields,
    }
    return json.dumps(content)


class TraceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _write(self, name: str, *lines: str) -> str:
        path = self.folder / name
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    def test_lines_of_several_files_come_in_order_of_time(self) -> None:
        first = self._write("a", _line(2.0, "r-1", "late"), "no json {")
        second = self._write(
            "b",
            "12.5 entry-1 " + _line(1.0, "r-1", "early"),
            _line(1.5, "r-2", "of another"),
            _line(1.6, "r-10", "of one with a longer id"),
        )
        found = trace.find_lines("r-1", [first, second])
        self.assertEqual(["early", "late"], [line.text for line in found])

    def test_a_rendered_line_shows_fields_that_have_a_value(self) -> None:
        path = self._write("a", _line(1.0, "r-1", "Whole.", status=200, x=None))
        line = trace.find_lines("r-1", [path])[0]
        rendered = trace.render_line(line, 0.5)
        self.assertIn("500.0 ms", rendered)
        self.assertIn("status=200", rendered)
        self.assertNotIn("x=", rendered)
