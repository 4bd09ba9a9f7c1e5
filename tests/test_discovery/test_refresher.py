"""A copy that is too old is read again before use, unless the log is down."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.discovery import contact, keyed_follower, refresher
from martenquay_standins.ports import log
from tests import clocked

if TYPE_CHECKING:
    from martenquay_core.serving import ports

_MAX_AGE_S = 1.0


class _Sink:
    """Records the keys."""

    def __init__(self) -> None:
        self.keys: list[str] = []

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Record a snapshot's keys."""
        self.keys = [record.key for record in snapshot.records]

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Record one key."""
        self.keys.append(record.key)


class CopyRefresherTest(clocked.ClockedTestCase):
    def _run(self, scenario, *, is_needed: bool = False) -> None:
        async def run() -> None:
            self.log = log.MemoryLog()
            self.sink = _Sink()
            self.follower = keyed_follower.KeyedFollower(
                self.log,
                contact.LogContact(),
                "runners",
                self.sink,
                keyed_follower.ReadSchedule(wait_s=1.0),
                is_needed=lambda: is_needed,
            )
            self.refresher = refresher.create_refresher(
                self.follower, "entries", _MAX_AGE_S
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.refresher.run)
                await trio.testing.wait_all_tasks_blocked()
                await scenario()
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def test_a_recent_copy_is_used_without_a_read(self) -> None:
        async def scenario() -> None:
            self.follower.copy_age.confirmed_at = trio.current_time() - 0.9
            await self.refresher.refresh()
            self.assertEqual(0, self.log.calls)

        self._run(scenario)

    def test_an_old_copy_is_read_once_for_all_waiting_requests(self) -> None:
        async def scenario() -> None:
            self.log.put("runners", "r-1", b"leaves")
            self.follower.copy_age.confirmed_at = trio.current_time() - 1.1
            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    nursery.start_soon(self.refresher.refresh)
            self.assertEqual(1, self.log.calls)
            self.assertEqual(["r-1"], self.sink.keys)
            self.assertEqual(0.0, self.follower.copy_age.age_s)

        self._run(scenario)

    def test_a_daemon_that_follows_the_topic_reads_only_new_records(
        self,
    ) -> None:
        async def scenario() -> None:
            self.log.put("runners", "r-1", b"x")
            self.follower.skip_to(1)
            self.log.put("runners", "r-2", b"x")
            await self.refresher.refresh()
            self.assertEqual(["r-2"], self.sink.keys)

        self._run(scenario, is_needed=True)

    def test_requests_wait_only_briefly_for_a_silent_log(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_silent = True
            started = trio.current_time()
            await self.refresher.refresh()
            self.assertLessEqual(trio.current_time() - started, 0.16)
            # After a failed read, later requests do not wait.
            await trio.sleep(0.9)
            started = trio.current_time()
            await self.refresher.refresh()
            self.assertEqual(started, trio.current_time())

        self._run(scenario)

    def test_while_the_log_is_down_only_one_request_waits_for_it(self) -> None:
        """Requests during each failing read must not wait for it."""

        async def scenario() -> None:
            self.log.faults.is_silent = True
            waited = 0
            for _ in range(60):
                started = trio.current_time()
                await self.refresher.refresh()
                waited += trio.current_time() > started
                await trio.sleep(0.1)
            self.assertEqual(1, waited)

        self._run(scenario)

    def test_after_an_outage_requests_wait_for_reads_again(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_down = True
            for _ in range(30):
                await self.refresher.refresh()
                await trio.sleep(0.1)
            self.log.faults.is_down = False
            await trio.sleep(0.6)
            self.assertLessEqual(self.follower.copy_age.age_s, 0.6)
            self.log.put("runners", "r-1", b"leaves")
            await trio.sleep(_MAX_AGE_S)
            await self.refresher.refresh()
            self.assertEqual(["r-1"], self.sink.keys)

        self._run(scenario)

    def test_reads_stop_when_no_request_needs_the_topic(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_down = True
            await self.refresher.refresh()
            await trio.sleep(10.0)
            calls = self.log.calls
            await trio.sleep(10.0)
            self.assertEqual(calls, self.log.calls)

        self._run(scenario)

    def test_after_an_outage_the_topic_is_read_without_a_request(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_down = True
            await self.refresher.refresh()
            self.log.faults.is_down = False
            await trio.sleep(0.6)
            # Read again before the next request, which then need not wait.
            self.assertAlmostEqual(0.1, self.follower.copy_age.age_s)
            started = trio.current_time()
            await self.refresher.refresh()
            self.assertEqual(started, trio.current_time())

        self._run(scenario)
