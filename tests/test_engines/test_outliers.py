"""An engine that is slow for a moment gets less load until a probe succeeds."""

from __future__ import annotations

import trio

from martenquay_daemon.engines import outliers
from tests import clocked

_EXPECTED_S = 0.1


class OutlierDetectorTest(clocked.ClockedTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.detector = outliers.OutlierDetector()
        self.changes: list[str] = []
        self.detector.on_change = lambda _, reason: self.changes.append(reason)

    async def _serve(self, took_s: float) -> None:
        with self.detector.watch("r-0", _EXPECTED_S) as pending:
            await trio.sleep(took_s)
            self.detector.note_first_event("r-0", pending, took_s)

    def test_a_late_result_makes_an_engine_slow(self) -> None:
        async def scenario() -> None:
            await self._serve(0.11)
            self.assertEqual(1.0, self.detector.find_factor("r-0"))
            await self._serve(0.3)
            self.assertLess(self.detector.find_factor("r-0"), 0.5)
            self.assertEqual(["late"], self.changes)

        self.run_clocked(scenario)

    def test_a_missing_result_is_noticed_within_half_a_second(self) -> None:
        async def scenario() -> None:
            with self.detector.watch("r-0", _EXPECTED_S):
                await trio.sleep(0.2)
                self.assertEqual(1.0, self.detector.find_factor("r-0"))
                await trio.sleep(0.25)
                self.assertLess(self.detector.find_factor("r-0"), 0.5)
            self.assertEqual(["overdue"], self.changes)

        self.run_clocked(scenario)

    def test_only_one_probe_is_sent_at_a_time(self) -> None:
        async def scenario() -> None:
            await self._serve(0.3)
            await trio.sleep(0.5)
            self.assertEqual(1.0, self.detector.find_factor("r-0"))
            with self.detector.watch("r-0", _EXPECTED_S):
                self.assertLess(self.detector.find_factor("r-0"), 0.5)

        self.run_clocked(scenario)

    def test_a_probe_on_time_readmits_the_engine(self) -> None:
        async def scenario() -> None:
            await self._serve(0.3)
            await trio.sleep(0.5)
            await self._serve(0.1)
            self.assertEqual(1.0, self.detector.find_factor("r-0"))
            self.assertEqual(["late", "readmitted"], self.changes)

        self.run_clocked(scenario)

    def test_a_late_probe_starts_another_pause(self) -> None:
        async def scenario() -> None:
            await self._serve(0.3)
            await trio.sleep(0.5)
            await self._serve(0.3)
            self.assertLess(self.detector.find_factor("r-0"), 0.5)
            self.assertEqual(["late"], self.changes)

        self.run_clocked(scenario)

    def test_a_request_sent_in_the_pause_readmits_nothing(self) -> None:
        # Its first event may have come before the engine became slow.
        async def scenario() -> None:
            await self._serve(0.3)
            await self._serve(0.1)
            self.assertLess(self.detector.find_factor("r-0"), 0.5)

        self.run_clocked(scenario)

    def test_an_abandoned_probe_allows_another(self) -> None:
        async def scenario() -> None:
            await self._serve(0.3)
            await trio.sleep(0.5)
            with self.detector.watch("r-0", _EXPECTED_S):
                pass
            self.assertEqual(1.0, self.detector.find_factor("r-0"))

        self.run_clocked(scenario)

    def test_a_late_result_of_a_former_process_is_ignored(self) -> None:
        async def scenario() -> None:
            with self.detector.watch("r-0", _EXPECTED_S) as pending:
                self.detector.forget("r-0")
                is_current = self.detector.note_first_event("r-0", pending, 9.0)
            self.assertFalse(is_current)
            self.assertEqual(1.0, self.detector.find_factor("r-0"))

        self.run_clocked(scenario)
