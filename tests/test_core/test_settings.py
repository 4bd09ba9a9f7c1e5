"""Settings may hold comments; errors name the line and key."""

from __future__ import annotations

import json
import pathlib
import tempfile

import testtools

from martenquay_core import results
from martenquay_core.settings import models, reader
from tests import builders

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


class ReaderTest(testtools.TestCase):
    def _read(self, text: str):
        with tempfile.NamedTemporaryFile("w", suffix=".jsonc") as file:
            file.write(text)
            file.flush()
            return reader.read_settings(file.name, models.DaemonSettings)

    def _read_content(self, **changes):
        content = builders.build_settings(**changes)
        return self._read(json.dumps(content, indent=2))

    def test_the_examples_are_valid(self):
        for path in sorted(_EXAMPLES.glob("*.jsonc")):
            read = reader.read_settings(str(path), models.DaemonSettings)
            self.assertTrue(read.is_ok(), read)

    def test_comments_and_trailing_commas_are_allowed(self):
        text = json.dumps(builders.build_settings())
        text = "// a comment\n" + text[:-1] + ", /* last */ }"
        self.assertTrue(self._read(text).is_ok())

    def test_a_missing_file_is_reported(self):
        read = reader.read_settings("/nonexistent", models.DaemonSettings)
        problem = read.error[0]
        self.assertEqual(results.ResultCode.SETTINGS_UNREADABLE, problem.code)

    def test_invalid_json_is_reported_with_its_line(self):
        problem = self._read('{\n  "partner": \n}').error[0]
        self.assertEqual(results.ResultCode.SETTINGS_SYNTAX, problem.code)
        self.assertEqual(3, problem.line)

    def test_an_invalid_value_is_reported_with_line_key_and_range(self):
        problem = self._read_content(limits={"body_bytes": 0}).error[0]
        self.assertEqual("limits.body_bytes", problem.key)
        self.assertIn("greater than or equal to 1; found 0", problem.message)
        self.assertGreater(problem.line, 20)
        text = reader.describe_problem(problem)
        self.assertIn(f":{problem.line}: limits.body_bytes", text)
        self.assertIn("(6003)", text)

    def test_an_unknown_key_is_refused(self):
        problem = self._read_content(colour="blue").error[0]
        self.assertEqual("colour", problem.key)

    def test_all_problems_are_reported_together(self):
        problems = self._read_content(zone="NO", signing_key="x").error
        self.assertEqual({"zone", "signing_key"}, {p.key for p in problems})

    def test_a_zone_of_no_partner_is_refused(self):
        problem = self._read_content(zone="serra-z").error[0]
        self.assertIn("serra-a, serra-b", problem.message)
