"""Deadlines pass while an instance is suspended."""

from __future__ import annotations

import time
from unittest import mock

import testtools
import trio

from martenquay_core.util import boot_clock
from martenquay_platform import main
from tests import suspension


class BootClockTest(testtools.TestCase):
    def test_a_deadline_passes_during_a_suspension(self) -> None:
        clocks = suspension.InstanceClocks()
        clock = boot_clock.BootClock(lambda: clocks.boot)
        deadline = clock.current_time() + 3.0
        clocks.suspend(5.0)
        self.assertEqual(100.0, clocks.steady)
        self.assertGreater(clock.current_time(), deadline)
        self.assertLess(clock.deadline_to_sleep_time(deadline), 0.0)

    def test_trio_time_is_the_time_since_boot(self) -> None:
        async def scenario() -> tuple[float, float]:
            started_at = trio.current_time()
            await trio.sleep(0.05)
            now = time.clock_gettime(time.CLOCK_BOOTTIME)
            return trio.current_time() - started_at, abs(
                now - trio.current_time()
            )

        elapsed_s, difference_s = trio.run(
            scenario, clock=boot_clock.create_clock()
        )
        self.assertGreaterEqual(elapsed_s, 0.05)
        self.assertLess(difference_s, 0.05)

    def test_the_daemon_runs_with_the_boot_clock(self) -> None:
        with (
            mock.patch.dict("os.environ", {"MARTENQUAY_BOOT": "settings"}),
            mock.patch.object(main.reader, "read_settings") as read,
            mock.patch.object(main.trio, "run", return_value=0) as run,
            mock.patch.object(main.signals, "ignore_signals"),
        ):
            read.return_value.is_error.return_value = False
            main.start(mock.Mock())
        self.assertIsInstance(
            run.call_args.kwargs["clock"], boot_clock.BootClock
        )
