"""A copy that is too old is read before it is used, if that can be."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.discovery import contact, keyed_follower, refresher
from martenquay_standins.ports import log
from tests import clocked

if TYPE_CHECKING:
    from martenquay_core.serving import ports

_OLDEST_S = 1.0


class _Sink:
    """Remember the keys that were told."""

    def __init__(self) -> None:
        self.keys: list[str] = []

    def replace_all(self, snapshot: ports.Snapshot) -> None:
        """Take a snapshot's keys."""
        self.keys = [record.key for record in snapshot.records]

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Take one key."""
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
                self.follower, "entries", _OLDEST_S
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.refresher.run)
                await trio.testing.wait_all_tasks_blocked()
                await scenario()
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def test_a_young_copy_is_used_as_it_is(self) -> None:
        async def scenario() -> None:
            self.follower.copy_age.confirmed_at = trio.current_time() - 0.9
            await self.refresher.refresh()
            self.assertEqual(0, self.log.calls)

        self._run(scenario)

    def test_an_old_one_is_read_once_for_all_that_wait(self) -> None:
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

    def test_who_follows_the_records_reads_on_from_there(self) -> None:
        async def scenario() -> None:
            self.log.put("runners", "r-1", b"x")
            self.follower.skip_to(1)
            self.log.put("runners", "r-2", b"x")
            await self.refresher.refresh()
            self.assertEqual(["r-2"], self.sink.keys)

        self._run(scenario, is_needed=True)

    def test_nobody_waits_long_for_a_log_that_says_nothing(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_silent = True
            started = trio.current_time()
            await self.refresher.refresh()
            self.assertLessEqual(trio.current_time() - started, 0.16)
            # Once the read has failed, the next ones do not wait at all.
            await trio.sleep(0.9)
            started = trio.current_time()
            await self.refresher.refresh()
            self.assertEqual(started, trio.current_time())

        self._run(scenario)

    def test_while_a_log_is_away_one_request_in_all_waits_for_it(self) -> None:
        """A log that is away held up most requests by the longest wait.

        Each read of it takes 1.5 s to fail, and all that came meanwhile waited
        0.15 s, then for half a second nobody. Of 44 plain calls in 12 s without
        the log 30 were late, with a median of 157 ms in place of 28.
        """

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

    def test_a_log_that_is_back_after_long_is_waited_for_again(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_down = True
            for _ in range(30):
                await self.refresher.refresh()
                await trio.sleep(0.1)
            self.log.faults.is_down = False
            await trio.sleep(0.6)
            self.assertLessEqual(self.follower.copy_age.age_s, 0.6)
            self.log.put("runners", "r-1", b"leaves")
            await trio.sleep(_OLDEST_S)
            await self.refresher.refresh()
            self.assertEqual(["r-1"], self.sink.keys)

        self._run(scenario)

    def test_nobody_reads_for_long_for_nobody(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_down = True
            await self.refresher.refresh()
            await trio.sleep(10.0)
            calls = self.log.calls
            await trio.sleep(10.0)
            self.assertEqual(calls, self.log.calls)

        self._run(scenario)

    def test_a_log_that_is_back_is_read_again(self) -> None:
        async def scenario() -> None:
            self.log.faults.is_down = True
            await self.refresher.refresh()
            self.log.faults.is_down = False
            await trio.sleep(0.6)
            # Before anybody asks for it, so that nobody has to wait.
            self.assertAlmostEqual(0.1, self.follower.copy_age.age_s)
            started = trio.current_time()
            await self.refresher.refresh()
            self.assertEqual(started, trio.current_time())

        self._run(scenario)
