"""Loopback addresses of test runs."""

from __future__ import annotations

import os
import subprocess
import sys

import testtools

from martenquay_standins import loopback

_SCRIPT = "from martenquay_standins import loopback; print(loopback.HOST)"


class LoopbackTest(testtools.TestCase):
    def test_two_runs_have_different_addresses(self) -> None:
        self.assertNotEqual(loopback.HOST, self._read_host({}))

    def test_the_programs_of_a_run_have_its_address(self) -> None:
        host = self._read_host({loopback.VARIABLE: loopback.HOST})
        self.assertEqual(loopback.HOST, host)

    def _read_host(self, variables: dict[str, str]) -> str:
        inherited = {
            name: value
            for name, value in os.environ.items()
            if name != loopback.VARIABLE
        }
        done = subprocess.run(
            [sys.executable, "-c", _SCRIPT],
            capture_output=True,
            check=True,
            text=True,
            env=inherited | variables,
        )
        return done.stdout.strip()
