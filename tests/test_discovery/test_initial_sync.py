"""Requests wait, for a limited time, until a new daemon has read the log."""

from __future__ import annotations

import trio

from martenquay_daemon.discovery import initial_sync
from tests import clocked


class InitialSyncTest(clocked.ClockedTestCase):
    def test_requests_wait_until_all_topics_are_read(self) -> None:
        async def scenario() -> None:
            sources = {"catalog": trio.Event(), "runners": trio.Event()}
            reading = initial_sync.create_initial_sync(sources)
            waited: list[float] = []

            async def ask() -> None:
                await reading.wait()
                waited.append(trio.current_time() - started)

            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.02)
                sources["catalog"].set()
                await trio.sleep(0.03)
                self.assertEqual([], waited)
                sources["runners"].set()
            self.assertAlmostEqual(0.05, waited[0])

        self.run_clocked(scenario)

    def test_requests_are_held_only_briefly_while_the_log_is_down(self) -> None:
        async def scenario() -> None:
            sources = {"catalog": trio.Event()}
            reading = initial_sync.create_initial_sync(sources)
            started = trio.current_time()
            await reading.wait()
            self.assertLess(trio.current_time() - started, 0.3)
            second = trio.current_time()
            await reading.wait()
            self.assertEqual(second, trio.current_time())

        self.run_clocked(scenario)
