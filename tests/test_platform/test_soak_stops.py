"""A soak's fleet records each process that exits in an unexpected way."""

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
# Longer than the CPU time in which a signal can't be caught.
_BUSY_STARTUP = "while time.process_time() < 0.3: pass"
# Many short sleeps: a signal that arrives just before a sleep is handled only
# after it.
_SLEEP = "for _ in range(1200): time.sleep(0.05)"
_LIMIT_S = 60.0


class StopTest(testtools.TestCase):
    async def _start(self, *lines: str) -> programs.Program:
        args = ["-c", "\n".join(lines)]
        return await programs.start_program("entry-0.1", args, os.environ)

    async def _start_ready(self, *lines: str) -> programs.Program:
        """Start a program and wait until it can handle signals."""
        end = (_BUSY_STARTUP, _PRINT.format("{}"), _SLEEP)
        program = await self._start(*lines, *end)
        await self._read_line(program)
        return program

    async def _read_line(self, program: programs.Program) -> None:
        """Wait for a line of a program.

        An unbuffered interpreter writes the line's end separately; taken for
        the next line, it would let the test send a signal too early.
        """
        assert program.process.stdout is not None, "it is started with a pipe"
        output = b""
        while not output.endswith(b"\n"):
            piece = await program.process.stdout.receive_some()
            assert piece, "the program exited before it printed a line"
            output += piece

    async def _stop(self, program: programs.Program) -> list[str]:
        """Stop a program as a daemon; return the failures recorded."""
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

    def test_a_stop_with_exit_status_zero_passes(self) -> None:
        async def run() -> None:
            program = await self._start_ready(_HANDLER.format(15, 0))
            self.assertEqual([], await self._stop(program))

        self._run(run)

    def test_a_stop_with_another_exit_status(self) -> None:
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

    def test_a_signal_before_a_handler_could_exist(self) -> None:
        async def run() -> None:
            program = await self._start("import time; time.sleep(60)")
            self.assertEqual([], await self._stop(program))
            self.assertTrue(program.was_killed_at_startup())

        self._run(run)

    def test_an_early_signal_excuses_no_other_exit(self) -> None:
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

    def test_a_program_that_survived_an_early_signal(self) -> None:
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
            program.send_and_record(signal.SIGHUP)
            await self._read_line(program)
            program.send_and_record(signal.SIGHUP)
            self.assertEqual(-1, await program.process.wait())
            self.assertFalse(program.was_killed_at_startup())

        self._run(run)
