"""Each signal is acted on once, also one that came before."""

from __future__ import annotations

import os
import signal
import time

import testtools
import trio
import trio.testing

from martenquay_core.util import held_signals, signals

# Ends a scenario that hangs.
_HANG_S = 10.0


class SignalsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        for number in held_signals.HANDLED:
            before = signal.getsignal(number)
            self.addCleanup(signal.signal, number, before)
        self.held = held_signals.hold_signals()
        self.reloads = 0
        self.insisted = 0
        self.ended_at = 0.0

    def _reload(self) -> None:
        self.reloads += 1

    def _insist(self) -> None:
        self.insisted += 1

    def _run(self, *numbers: signal.Signals) -> signals.SignalHandler:
        """Send signals to this process while a handler runs."""

        async def run() -> signals.SignalHandler:
            handler = signals.SignalHandler(
                self.held, self._reload, self._insist
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

    def test_held_signals_come_in_their_order_and_once(self) -> None:
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        numbers = [held.number for held in self.held.take()]
        self.assertEqual([signal.SIGHUP, signal.SIGTERM], numbers)
        self.assertEqual([], self.held.take())

    def test_a_stop_counts_from_when_its_signal_came(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.2)
        before = time.monotonic()
        handler = self._run()
        took_s = time.monotonic() - before
        age_s = self.ended_at - handler.stopped_at
        self.assertGreaterEqual(age_s, 0.2)
        self.assertLess(age_s, 0.2 + took_s + 0.1)

    def test_signals_from_before_are_obeyed(self) -> None:
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        handler = self._run()
        self.assertEqual(1, self.reloads)
        self.assertTrue(handler.stop.is_set())

    def test_reloads_go_on_after_the_stop_was_asked_for(self) -> None:
        hangup, stop = signal.SIGHUP, signal.SIGTERM
        self._run(hangup, stop, hangup, stop, hangup)
        self.assertEqual(3, self.reloads)
        self.assertEqual(0, self.insisted)

    def test_a_sigint_after_a_stop_was_asked_for_insists(self) -> None:
        self._run(signal.SIGINT, signal.SIGTERM)
        self.assertEqual(0, self.insisted)
        self._run(signal.SIGTERM, signal.SIGINT)
        self.assertEqual(1, self.insisted)
        self._run(signal.SIGINT, signal.SIGINT)
        self.assertEqual(2, self.insisted)

    def test_after_the_handler_signals_are_held_again(self) -> None:
        self._run()
        os.kill(os.getpid(), signal.SIGHUP)
        (held,) = self.held.take()
        self.assertEqual(signal.SIGHUP, held.number)

    def test_ignored_signals_do_nothing(self) -> None:
        signals.ignore_signals()
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual([], self.held.take())
