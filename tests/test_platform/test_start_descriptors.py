"""A process that may open too few files ends with a status and a reason."""

from __future__ import annotations

import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile

import testtools

from tests import serving_builders as builders

_PROGRAM = pathlib.Path(__file__).parents[2] / "platform" / "martenquayd.py"
_EXIT_START = 8
# A process ends or, if it does not, is stopped after this time.
_TIMEOUT_S = 60.0
# With fewer, the interpreter cannot import the program.
_LIMITS = (10, 13, 19, 63)


class StartDescriptorsTest(testtools.TestCase):
    def _start(self, limit: int) -> subprocess.CompletedProcess[str]:
        with tempfile.TemporaryDirectory() as folder:
            settings = pathlib.Path(folder) / "settings.jsonc"
            settings.write_text(json.dumps(builders.build_gateway_settings()))
            return subprocess.run(
                [sys.executable, str(_PROGRAM)],
                check=False,
                capture_output=True,
                text=True,
                timeout=_TIMEOUT_S,
                env={**os.environ, "MARTENQUAY_BOOT": str(settings)},
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (limit, limit)
                ),
            )

    def test_too_few_descriptors_end_the_start_with_an_error(self) -> None:
        for limit in _LIMITS:
            done = self._start(limit)
            self.assertEqual(_EXIT_START, done.returncode, done.stderr)
            self.assertIn(f"(RLIMIT_NOFILE) is {limit};", done.stderr)
