"""Retries are recognized by the smaller time budget that they carry."""

from __future__ import annotations

import trio

from martenquay_daemon.forwarding import retry_detector
from tests import clocked


class RetryDetectorTest(clocked.ClockedTestCase):
    def test_who_waits_as_long_as_any_comes_for_the_first_time(self) -> None:
        async def scenario() -> None:
            tries = retry_detector.RetryDetector()
            self.assertEqual(0.0, tries.find_elapsed("chat", 8.0))
            self.assertEqual(0.0, tries.find_elapsed("chat", 8.0))
            self.assertEqual(0.0, tries.find_elapsed("chat", None))

        self.run_clocked(scenario)

    def test_who_has_less_time_left_has_tried_before(self) -> None:
        async def scenario() -> None:
            tries = retry_detector.RetryDetector()
            tries.find_elapsed("chat", 8.0)
            tries.find_elapsed("booking", 0.6)
            self.assertAlmostEqual(2.5, tries.find_elapsed("chat", 5.5))
            self.assertAlmostEqual(0.1, tries.find_elapsed("booking", 0.5))

        self.run_clocked(scenario)

    def test_a_shorter_time_is_learnt_after_a_while(self) -> None:
        async def scenario() -> None:
            tries = retry_detector.RetryDetector()
            tries.find_elapsed("chat", 8.0)
            await trio.sleep(61.0)
            tries.find_elapsed("chat", 6.0)
            self.assertEqual(0.0, tries.find_elapsed("chat", 6.0))

        self.run_clocked(scenario)
