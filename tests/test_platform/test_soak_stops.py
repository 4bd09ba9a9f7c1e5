"""A soak's fleet tells of each process that does not end as it has to."""

from __future__ import annotations

import os
import pathlib
import signal

import testtools
import trio

from martenquay_core.util import http
from martenquay_platform_standins import fleet, history, instances
from martenquay_standins.chaos import programs, proxy

_HANDLER = (
    "import signal, sys, time; signal.signal({}, lambda *_: sys.exit({}))"
)
_PRINT = "print('{}', flush=True)"
# More than the interpreter's first moments.
_BUSY_STARTUP = "while time.process_time() < 0.3: pass"
# A signal that comes in the moment before a sleep is handled only after it; in
# one long sleep it was lost, and the program did not stop in time.
_SLEEP = "for _ in range(1200): time.sleep(0.05)"
_LIMIT_S = 60.0


class StopTest(testtools.TestCase):
    async def _start(self, *lines: str) -> programs.Program:
        words = ["-c", "\n".join(lines)]
        return await programs.start_program("entry-0.1", words, os.environ)

    async def _start_ready(self, *lines: str) -> programs.Program:
        """Start a program and wait until it is past its first moments."""
        end = (_BUSY_STARTUP, _PRINT.format("{}"), _SLEEP)
        program = await self._start(*lines, *end)
        await self._read_line(program)
        return program

    async def _read_line(self, program: programs.Program) -> None:
        """Wait for one line of a program, which may come in two pieces.

        An interpreter that does not buffer writes the end of a line by itself;
        taken for the next word, it had the next signal come too early.
        """
        assert program.process.stdout is not None, "it has a pipe"
        output = b""
        while not output.endswith(b"\n"):
            piece = await program.process.stdout.receive_some()
            assert piece, "it has ended"
            output += piece

    async def _stop(self, program: programs.Program) -> list[str]:
        """Stop it as a daemon; return what the fleet tells of that."""
        seen = history.History()
        unused_proxy = proxy.FaultyProxy("")
        instance = instances.DaemonInstance(
            name="entry-0",
            zone="a",
            address="",
            callers=unused_proxy,
            log=unused_proxy,
            peers=unused_proxy,
            settings=pathlib.Path(),
            content={},
            program=program,
        )
        async with http.open_client() as client, trio.open_nursery() as nursery:
            soak_fleet = fleet.SoakFleet(nursery, pathlib.Path(), seen, client)
            await soak_fleet.stop_daemon(instance)
        return seen.failures

    def _run(self, test) -> None:
        async def limit() -> None:
            with trio.fail_after(_LIMIT_S):
                await test()

        trio.run(limit)

    def test_a_stop_that_ends_with_zero_passes(self) -> None:
        async def run() -> None:
            program = await self._start_ready(_HANDLER.format(15, 0))
            self.assertEqual([], await self._stop(program))

        self._run(run)

    def test_a_stop_that_ends_with_another_status(self) -> None:
        async def run() -> None:
            program = await self._start_ready(_HANDLER.format(15, 4))
            (failure,) = await self._stop(program)
            self.assertIn("was stopped and ended 4", failure)

        self._run(run)

    def test_a_stop_that_a_signal_ends(self) -> None:
        async def run() -> None:
            program = await self._start_ready("import time")
            (failure,) = await self._stop(program)
            self.assertIn("was stopped and ended -15", failure)
            self.assertIn("SIGTERM+", failure)

        self._run(run)

    def test_a_stop_that_takes_too_long(self) -> None:
        async def run() -> None:
            program = await self._start_ready(
                "import signal, time",
                "signal.signal(signal.SIGTERM, signal.SIG_IGN)",
            )
            (failure,) = await self._stop(program)
            self.assertIn("did not stop in time and ended -9", failure)

        self._run(run)

    def test_a_signal_that_nobody_could_catch(self) -> None:
        async def run() -> None:
            program = await self._start("import time; time.sleep(60)")
            self.assertEqual([], await self._stop(program))
            self.assertTrue(program.is_excused())

        self._run(run)

    def test_an_early_signal_excuses_no_other_end(self) -> None:
        async def run() -> None:
            program = await self._start(
                "import signal, time",
                "signal.signal(signal.SIGHUP, signal.SIG_IGN)",
                "time.sleep(60)",
            )
            program.send_early_or_late(signal.SIGCONT)
            program.send(signal.SIGKILL)
            await program.process.wait()
            self.assertFalse(program.is_excused())

        self._run(run)

    def test_a_program_that_outlived_an_early_signal(self) -> None:
        async def run() -> None:
            program = await self._start(
                "import signal, time",
                "handle = lambda *_: signal.signal(1, signal.SIG_DFL)",
                "signal.signal(1, handle)",
                _PRINT.format("{}"),
                _BUSY_STARTUP,
                _PRINT.format("{}"),
                _SLEEP,
            )
            await self._read_line(program)
            program.send_early_or_late(signal.SIGHUP)
            await self._read_line(program)
            program.send_early_or_late(signal.SIGHUP)
            self.assertEqual(-1, await program.process.wait())
            self.assertFalse(program.is_excused())

        self._run(run)
