"""The standalone daemon ends at once when it is told to stop at its start."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import testtools

_HANG_S = 30.0
# Stands in for trio, the first third-party module that the daemon imports.
_SLOW_MODULE = 'import time\nprint("importing", flush=True)\ntime.sleep(60)\n'
_START = "from martenquay_daemon import entry; entry.start()"


class EntryTest(testtools.TestCase):
    # On a busy machine the imports take longer than the grace time.
    def test_a_stop_signal_does_not_wait_for_the_imports(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            (pathlib.Path(folder) / "trio.py").write_text(_SLOW_MODULE)
            inherited = os.environ.get("PYTHONPATH", "")
            with subprocess.Popen(
                [sys.executable, "-c", _START],
                env=os.environ
                | {"PYTHONPATH": f"{folder}{os.pathsep}{inherited}"},
                stdout=subprocess.PIPE,
                text=True,
            ) as process:
                self.addCleanup(process.kill)
                self.assertEqual("importing\n", process.stdout.readline())
                process.send_signal(signal.SIGTERM)
                output, _ = process.communicate(timeout=_HANG_S)
        self.assertEqual(0, process.returncode)
        self.assertIn("Stopped before callers were served.", output)
