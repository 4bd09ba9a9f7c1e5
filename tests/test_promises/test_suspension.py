"""What an instance may do ends while it sleeps, before any of its tasks wake.

A machine may be suspended for seconds, in which its steady clock stands. The
clock here leaps as the one that daemons use does on waking, and no task runs
between the leap and the question: what asks first must get the right answer.
"""

from __future__ import annotations

import testtools
import trio
import trio.testing

from martenquay_daemon.allowances import refill_shares
from martenquay_daemon.discovery import copy_age
from martenquay_daemon.duties import lease
from martenquay_daemon.fleet import view
from martenquay_daemon.forwarding import retry_window
from martenquay_daemon.quarantine import crash_table
from martenquay_standins.ports import log
from tests import allowance_fleet

_SLEEP_S = 5.0
_LEASE_S = 3.0


class SuspensionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = trio.testing.MockClock(autojump_threshold=0)

    def test_a_lease_is_over_and_its_fence_with_it(self) -> None:
        async def scenario() -> None:
            found = lease.create_lease(
                log.MemoryLog(),
                "lease",
                "entry-1.aa",
                "entry-1",
                _LEASE_S,
                view.FleetView("entry-1"),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(found.run)
                while not found.is_held():
                    await trio.sleep(0.1)
                self.clock.jump(_SLEEP_S)
                self.assertFalse(found.is_held())
                self.assertIsNone(found.create_status())
                nursery.cancel_scope.cancel()

        self._run(scenario)

    def test_a_borrowed_part_is_its_owners_again(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_refill_shares(0.0)
            lender = allowance_fleet.build_refill_shares(0.1)
            reported_at = trio.current_time()
            loan = lender.delegate("hub.1", 7)
            hub.accept_delegation("entry-1", "entry-1.1", loan, reported_at)
            self.assertAlmostEqual(0.1, hub.find_usable_share())
            self.clock.jump(_SLEEP_S)
            self.assertEqual(0.0, hub.find_usable_share())
            hub.advance()
            minted_s = sum(s.end - s.start for s in hub.list_spans(0.0))
            self.assertLessEqual(minted_s, refill_shares.DELEGATION_S)

        self._run(scenario)

    def test_units_end_with_their_time(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            await trio.sleep(20.0)
            before = _count_units(ledger)
            self.clock.jump(_SLEEP_S)
            # What was minted meanwhile is no more than what has ended.
            self.assertLessEqual(_count_units(ledger), before * 1.001)

        self._run(scenario)

    def test_entries_are_as_old_as_they_are(self) -> None:
        async def scenario() -> None:
            age = copy_age.CopyAge()
            age.confirm(trio.current_time(), copy_age.AgeEvent.READ)
            self.clock.jump(_SLEEP_S)
            self.assertEqual(_SLEEP_S, age.age_s)

        self._run(scenario)

    def test_repeats_leave_their_window(self) -> None:
        async def scenario() -> None:
            bounds = retry_window.RetryBounds(0.0, _SLEEP_S - 1.0, 2.0)
            window = retry_window.RetryWindow(bounds, lambda: 1)
            self.assertTrue(window.try_spend("desk"))
            self.assertFalse(window.try_spend("desk"))
            self.clock.jump(_SLEEP_S)
            self.assertTrue(window.try_spend("desk"))

        self._run(scenario)

    def test_a_quarantine_lasts_as_long_as_was_told(self) -> None:
        async def scenario() -> None:
            table = crash_table.CrashTable(trio.current_time)
            for number in range(crash_table.QUARANTINE_ROUNDS):
                table.add(crash_table.CrashRecord("a", number, "runner-1"))
            told_s = table.find_quarantine_s("a")
            self.clock.jump(_SLEEP_S)
            self.assertEqual(told_s - _SLEEP_S, table.find_quarantine_s("a"))

        self._run(scenario)

    def _run(self, scenario) -> None:
        trio.run(scenario, clock=self.clock)


def _count_units(ledger) -> float:
    ledger.refill([allowance_fleet.TEAM])
    return ledger.describe(allowance_fleet.TEAM.name).there
