"""Each signal is handled once, also if received before the handler ran."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

import testtools
import trio
import trio.testing

from martenquay_core.util import held_signals, signals

_HANG_S = 10.0


_STOPPED_WHILE_IMPORTING = """\
import os
from martenquay_core.util import held_signals
held_signals.hold_signals(ends_at_stop=True)
os.kill(os.getpid(), 15)
"""


class ImportingTest(testtools.TestCase):
    def test_a_stop_without_a_reader_of_the_log_ends_with_0(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        ended = subprocess.run(
            [sys.executable, "-c", _STOPPED_WHILE_IMPORTING],
            stdout=writer,
            timeout=_HANG_S,
            check=False,
        )
        self.assertEqual(0, ended.returncode)


class SignalsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        for number in held_signals.HANDLED:
            before = signal.getsignal(number)
            self.addCleanup(signal.signal, number, before)
        self.held = held_signals.hold_signals()
        self.reloads = 0
        self.forced_stops = 0
        self.ended_at = 0.0

    def _reload(self) -> None:
        self.reloads += 1

    def _force_stop(self) -> None:
        self.forced_stops += 1

    def _run(self, *numbers: signal.Signals) -> signals.SignalHandler:
        """Send signals to this process while a handler runs."""

        async def run() -> signals.SignalHandler:
            handler = signals.SignalHandler(
                self.held, self._reload, self._force_stop
            )
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    await nursery.start(handler.run)
                    for number in numbers:
                        os.kill(os.getpid(), number)
                        await trio.testing.wait_all_tasks_blocked(0.01)
                    nursery.cancel_scope.cancel()
            self.ended_at = trio.current_time()
            return handler

        return trio.run(run)

    def test_held_signals_are_returned_once_and_in_order(self) -> None:
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        numbers = [held.number for held in self.held.take()]
        self.assertEqual([signal.SIGHUP, signal.SIGTERM], numbers)
        self.assertEqual([], self.held.take())

    def test_the_stop_time_is_when_the_signal_was_received(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.2)
        before = time.monotonic()
        handler = self._run()
        elapsed_s = time.monotonic() - before
        age_s = self.ended_at - handler.stopped_at
        self.assertGreaterEqual(age_s, 0.2)
        self.assertLess(age_s, 0.2 + elapsed_s + 0.1)

    def test_signals_received_before_the_handler_are_handled(self) -> None:
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        handler = self._run()
        self.assertEqual(1, self.reloads)
        self.assertTrue(handler.stop.is_set())

    def test_reloads_are_handled_after_a_stop_request(self) -> None:
        hangup, stop = signal.SIGHUP, signal.SIGTERM
        self._run(hangup, stop, hangup, stop, hangup)
        self.assertEqual(3, self.reloads)
        self.assertEqual(0, self.forced_stops)

    def test_a_sigint_after_a_stop_request_forces_the_stop(self) -> None:
        self._run(signal.SIGINT, signal.SIGTERM)
        self.assertEqual(0, self.forced_stops)
        self._run(signal.SIGTERM, signal.SIGINT)
        self.assertEqual(1, self.forced_stops)
        self._run(signal.SIGINT, signal.SIGINT)
        self.assertEqual(2, self.forced_stops)

    def test_signals_are_held_again_after_the_handler_ends(self) -> None:
        self._run()
        os.kill(os.getpid(), signal.SIGHUP)
        (held,) = self.held.take()
        self.assertEqual(signal.SIGHUP, held.number)

    def test_ignored_signals_do_nothing(self) -> None:
        signals.ignore_signals()
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual([], self.held.take())
