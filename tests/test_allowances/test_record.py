"""After a common restart teams have what they had not spent before."""

from __future__ import annotations

import trio

from martenquay_daemon.allowances import ledger, record, terms
from martenquay_daemon.duties import lease
from martenquay_daemon.fleet import view
from martenquay_standins.ports import log
from tests import clocked
from tests import serving_builders as builders

_RATE = 100.0
_TEAM = builders.build_team(rate=_RATE, burst=_RATE)
_BOUNDS = terms.ToleranceBounds(8.0, 0.1, 100.0)
_FACTS = terms.FleetFacts(lambda: 1, lambda: 1.2, lambda: None)


class _Daemon:
    """One daemon's accounts and their record."""

    def __init__(self, store: log.MemoryLog, name: str) -> None:
        self.ledger = ledger.create_ledger(_BOUNDS, _FACTS)
        duty = lease.create_lease(
            store, "lease", f"{name}.aa", name, 3.0, view.FleetView(name)
        )
        self._tasks = [
            duty.run,
            record.SpendingRecord(
                store, "spending", self.ledger, duty, trio.current_time
            ).run,
        ]

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            for task in self._tasks:
                nursery.start_soon(task)


class SpendingRecordTest(clocked.ClockedTestCase):
    async def _spend_and_restart(
        self, store: log.MemoryLog, units: float
    ) -> ledger.AllowanceLedger:
        first = _Daemon(store, "entry-1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.run)
            for _ in range(40):
                first.ledger.refill([_TEAM])
                await trio.sleep(0.5)
            first.ledger.take(_TEAM, units)
            await trio.sleep(1.5)
            nursery.cancel_scope.cancel()
        second = _Daemon(store, "entry-2")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(second.run)
            await trio.sleep(0.3)
            second.ledger.refill([_TEAM])
            await trio.sleep(0.2)
            nursery.cancel_scope.cancel()
        return second.ledger

    def test_a_modest_team_is_let_in_at_once(self) -> None:
        async def scenario() -> None:
            again = await self._spend_and_restart(log.MemoryLog(), 50.0)
            self.assertEqual(0.0, again.take(_TEAM, 50.0))

        self.run_clocked(scenario)

    def test_a_team_that_had_spent_all_is_not(self) -> None:
        async def scenario() -> None:
            again = await self._spend_and_restart(log.MemoryLog(), 1200.0)
            self.assertGreater(again.take(_TEAM, 50.0), 0.0)

        self.run_clocked(scenario)

    def test_sums_are_written_before_the_old_lease_is_waited_out(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            await self._spend_and_restart(store, 50.0)
            second = _Daemon(store, "entry-2")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(second.run)
                await trio.sleep(0.3)
                second.ledger.refill([_TEAM])
                await trio.sleep(0.2)
                self.assertEqual(0.0, second.ledger.take(_TEAM, 900.0))
                await trio.sleep(1.6)
                nursery.cancel_scope.cancel()
            third = _Daemon(store, "entry-3")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(third.run)
                await trio.sleep(0.5)
                third.ledger.refill([_TEAM])
                self.assertGreater(third.ledger.find_used("florists"), 900.0)
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)

    def test_without_the_log_nothing_is_taken_for_granted(self) -> None:
        async def scenario() -> None:
            store = log.MemoryLog()
            store.faults.is_down = True
            one = _Daemon(store, "entry-1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(one.run)
                await trio.sleep(0.1)
                one.ledger.refill([_TEAM])
                self.assertGreater(one.ledger.take(_TEAM, 1.0), 0.0)
                nursery.cancel_scope.cancel()

        self.run_clocked(scenario)
