"""Loads are estimated from delayed reports and own placements."""

from __future__ import annotations

import testtools
import trio
import trio.testing

from martenquay_daemon.routing import loads


class LoadBookTest(testtools.TestCase):
    def _run(self, scenario) -> None:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(scenario, clock=clock)

    def test_own_placements_count_until_a_report_includes_them(self):
        async def scenario() -> None:
            book = loads.LoadBook(lag_s=0.5)
            book.note_placed("model-1")
            book.note_report("model-1", 3, 1)
            self.assertEqual(5, book.count_ahead("model-1"))
            await trio.sleep(1.0)
            book.note_report("model-1", 4, 1)
            self.assertEqual(5, book.count_ahead("model-1"))

        self._run(scenario)

    def test_requests_of_a_forgotten_runner_may_still_end(self):
        async def scenario() -> None:
            book = loads.LoadBook()
            book.note_placed("model-1")
            book.note_placed("model-1")
            book.forget("model-1")
            book.note_done("model-1", 1.0)
            self.assertEqual(1, book.get("model-1").in_flight)
            book.note_done("model-1", None)
            self.assertEqual(0, book.count_ahead("model-1"))

        self._run(scenario)
