"""Optional gateway settings have defaults; invalid ones are reported."""

from __future__ import annotations

import json
import pathlib
import tempfile

import testtools

from martenquay_core.settings import gateway, reader
from tests import serving_builders as builders


class GatewaySettingsTest(testtools.TestCase):
    def _read(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.jsonc"
            path.write_text(text)
            return reader.read_settings(str(path), gateway.GatewaySettings)

    def test_omitted_bounds_have_defaults(self) -> None:
        content = builders.build_gateway_settings()
        del content["bounds"]["retry_slack"]
        found = self._read(json.dumps(content)).ok
        self.assertEqual(0.0, found.bounds.retry_slack)
        del content["bounds"]
        found = self._read(json.dumps(content)).ok
        self.assertEqual(8.0, found.bounds.grace_s)

    def test_a_trailing_comma_is_allowed(self) -> None:
        content = builders.build_gateway_settings()
        text = json.dumps(content).replace("72000}", "72000,}")
        self.assertTrue(self._read(text).is_ok())

    def test_an_invalid_value_is_reported_with_its_key(self) -> None:
        content = builders.build_gateway_settings()
        content["bounds"]["grace_s"] = -1
        problem = self._read(json.dumps(content)).error[0]
        self.assertEqual("bounds.grace_s", problem.key)
        self.assertIn("> 0", problem.message)
        self.assertIn("found -1", problem.message)
        self.assertGreater(problem.line, 0)

    def test_all_problems_are_reported_together(self) -> None:
        content = builders.build_gateway_settings(zone="")
        content["listen"]["callers"] = "somewhere"
        content["bounds"]["grase_s"] = 3
        del content["platform"]["log"]
        problems = self._read(json.dumps(content)).error
        self.assertEqual(
            {"zone", "listen.callers", "platform.log", "bounds.grase_s"},
            {problem.key for problem in problems},
        )

    def test_an_unknown_setting_is_reported(self) -> None:
        content = builders.build_gateway_settings()
        content["bounds"]["grase_s"] = 3
        (problem,) = self._read(json.dumps(content)).error
        self.assertEqual("bounds.grase_s", problem.key)
        self.assertIn("grace_s", problem.message)

    def test_an_invalid_address_is_refused(self) -> None:
        bad = ("127.0.0.1:99999", "127.0.0.1:65536", ":80", "1.2.3:80")
        good = ("127.0.0.1:65535", "255.1.20.0:8080", "10.200.1.7:0")
        for address in (*bad, *good):
            content = builders.build_gateway_settings()
            content["platform"]["log"] = address
            found = self._read(json.dumps(content))
            self.assertEqual(address in good, found.is_ok(), address)
