"""A soak's fleet tells of each process that does not end as it has to."""

from __future__ import annotations

import os
import pathlib
import signal

import testtools
import trio

from martenquay_core.util import http
from martenquay_platform_standins import fleet, history, places
from martenquay_standins.chaos import programs, proxy

_HANDLER = (
    "import signal, sys, time; signal.signal({}, lambda *_: sys.exit({}))"
)
_SAY = "print('{}', flush=True)"
# More than the interpreter's first moments.
_WORK = "while time.process_time() < 0.3: pass"
# A signal that comes in the moment before a sleep is handled only after it; in
# one long sleep it was lost, and the program did not stop in time.
_REST = "for _ in range(1200): time.sleep(0.05)"
_LIMIT_S = 60.0


class StopTest(testtools.TestCase):
    async def _start(self, *lines: str) -> programs.Program:
        words = ["-c", "\n".join(lines)]
        return await programs.start_program("entry-0.1", words, os.environ)

    async def _start_ready(self, *lines: str) -> programs.Program:
        """Start a program and wait until it is past its first moments."""
        end = (_WORK, _SAY.format("{}"), _REST)
        program = await self._start(*lines, *end)
        await self._read_word(program)
        return program

    async def _read_word(self, program: programs.Program) -> None:
        """Wait for one line of a program, which may come in two pieces.

        An interpreter that does not buffer writes the end of a line by itself;
        taken for the next word, it had the next signal come too early.
        """
        assert program.process.stdout is not None, "it has a pipe"
        said = b""
        while not said.endswith(b"\n"):
            piece = await program.process.stdout.receive_some()
            assert piece, "it has ended"
            said += piece

    async def _stop(self, program: programs.Program) -> list[str]:
        """Stop it as a daemon; return what the fleet tells of that."""
        seen = history.History()
        nowhere = proxy.FaultyProxy("")
        place = places.DaemonPlace(
            name="entry-0",
            zone="a",
            address="",
            callers=nowhere,
            log=nowhere,
            peers=nowhere,
            settings=pathlib.Path(),
            content={},
            program=program,
        )
        async with http.open_client() as client, trio.open_nursery() as nursery:
            work = fleet.SoakFleet(nursery, pathlib.Path(), seen, client)
            await work.stop_daemon(place)
        return seen.lost

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
            (told,) = await self._stop(program)
            self.assertIn("was stopped and ended 4", told)

        self._run(run)

    def test_a_stop_that_a_signal_ends(self) -> None:
        async def run() -> None:
            program = await self._start_ready("import time")
            (told,) = await self._stop(program)
            self.assertIn("was stopped and ended -15", told)
            self.assertIn("SIGTERM+", told)

        self._run(run)

    def test_a_stop_that_takes_too_long(self) -> None:
        async def run() -> None:
            program = await self._start_ready(
                "import signal, time",
                "signal.signal(signal.SIGTERM, signal.SIG_IGN)",
            )
            (told,) = await self._stop(program)
            self.assertIn("did not stop in time and ended -9", told)

        self._run(run)

    def test_a_signal_that_nobody_could_catch(self) -> None:
        async def run() -> None:
            program = await self._start("import time; time.sleep(60)")
            self.assertEqual([], await self._stop(program))
            self.assertTrue(program.was_killed_at_startup())

        self._run(run)

    def test_an_early_signal_excuses_no_other_end(self) -> None:
        async def run() -> None:
            program = await self._start(
                "import signal, time",
                "signal.signal(signal.SIGHUP, signal.SIG_IGN)",
                "time.sleep(60)",
            )
            program.send_and_record(signal.SIGCONT)
            program.send(signal.SIGKILL)
            await program.process.wait()
            self.assertFalse(program.was_killed_at_startup())

        self._run(run)

    def test_a_program_that_outlived_an_early_signal(self) -> None:
        async def run() -> None:
            program = await self._start(
                "import signal, time",
                "handle = lambda *_: signal.signal(1, signal.SIG_DFL)",
                "signal.signal(1, handle)",
                _SAY.format("{}"),
                _WORK,
                _SAY.format("{}"),
                _REST,
            )
            await self._read_word(program)
            program.send_and_record(signal.SIGHUP)
            await self._read_word(program)
            program.send_and_record(signal.SIGHUP)
            self.assertEqual(-1, await program.process.wait())
            self.assertFalse(program.was_killed_at_startup())

        self._run(run)
