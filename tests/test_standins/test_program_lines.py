"""A program's last lines are known when its end is judged."""

from __future__ import annotations

import os
from typing import Any

import testtools
import trio

from martenquay_standins.chaos import programs

_HANG_S = 30.0
_SCRIPT = 'import os; os.write(1, b\'{"kind": "crash"}\\n\'); os._exit(70)'


class ProgramLinesTest(testtools.TestCase):
    # A soak took a runner for one that ended unasked while the line that
    # announced its crash was still unread.
    def test_the_last_line_is_read_after_the_exit(self) -> None:
        async def run() -> None:
            lines: list[dict[str, Any]] = []
            with trio.fail_after(_HANG_S):
                program = await programs.start_program(
                    "runner", ["-c", _SCRIPT], os.environ
                )
                self.assertEqual(70, await program.process.wait())
                self.assertFalse(program.has_read_lines.is_set())
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(program.read_lines, lines.append)
                    await program.has_read_lines.wait()
            self.assertEqual([{"kind": "crash"}], lines)

        trio.run(run)
