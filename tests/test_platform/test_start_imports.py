"""Signals are held before the program imports anything that takes long.

A signal that arrives earlier ends the process by the signal's default action.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tomllib

import testtools

_ROOT = pathlib.Path(__file__).parents[2]
_PROGRAM = _ROOT / "platform" / "martenquayd.py"
_HOLDS_SIGNALS = "martenquay_core.util.held_signals"
_ALLOWED = frozenset(
    {
        "martenquay_core",
        "martenquay_core.util",
        "martenquay_core.util.boot_time",
        _HOLDS_SIGNALS,
    }
)


def _list_imports(*arguments: str) -> list[str]:
    """Return the modules that an interpreter imports, in order of their end."""
    done = subprocess.run(
        [sys.executable, "-S", "-X", "importtime", *arguments],
        check=False,
        capture_output=True,
        text=True,
        env={},
    )
    return [
        line.rpartition("|")[2].strip()
        for line in done.stderr.splitlines()
        if line.startswith("import time:")
    ]


class StartImportsTest(testtools.TestCase):
    def test_signals_are_held_before_other_imports(self) -> None:
        of_interpreter = set(_list_imports("-c", "pass"))
        imported = _list_imports(str(_PROGRAM))
        before = set(imported[: imported.index(_HOLDS_SIGNALS) + 1])
        self.assertEqual(set(), before - of_interpreter - _ALLOWED)

    def test_the_platform_starts_the_program_without_site(self) -> None:
        deploy = tomllib.loads((_ROOT / "deploy/system.toml").read_text())
        arguments = deploy["roles"]["martenquayd"]["run"].split()
        self.assertIn("-S", arguments[1:-1])
