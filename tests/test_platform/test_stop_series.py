"""Signals in series at a process lose no request of callers that go on."""

from __future__ import annotations

import testtools
import trio

from tests.test_platform import stop_series

# Ends a play that hangs; nothing is asserted about time.
_HANG_S = 120.0
_SEEDS = (2, 3)


class StopSeriesTest(testtools.TestCase):
    def test_drawn_stops_lose_nothing(self) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for seed in _SEEDS:
                    nursery.start_soon(self._check, seed)

        trio.run(run)

    async def _check(self, seed: int) -> None:
        with trio.fail_after(_HANG_S):
            report = await stop_series.play_stops(seed)
        self.assertEqual([], report.problems)
        self.assertGreater(report.answered, 0)
