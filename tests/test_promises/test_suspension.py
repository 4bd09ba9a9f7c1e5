"""Leases, quota and other time limits expire during a suspension.

The mock clock jumps as the daemon's clock does on resume; the checks follow
before any task has run.
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
from martenquay_daemon.origins import finder
from martenquay_daemon.quarantine import crash_table
from martenquay_standins.ports import log
from tests import allowance_fleet, origin_fleet

_SUSPENDED_S = 5.0
_LEASE_S = 3.0


class SuspensionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = trio.testing.MockClock(autojump_threshold=0)

    def test_a_lease_expires(self) -> None:
        async def scenario() -> None:
            held_lease = lease.create_lease(
                log.MemoryLog(),
                "lease",
                "entry-1.aa",
                "entry-1",
                _LEASE_S,
                view.FleetView("entry-1"),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(held_lease.run)
                while not held_lease.is_held():
                    await trio.sleep(0.1)
                self.clock.jump(_SUSPENDED_S)
                self.assertFalse(held_lease.is_held())
                self.assertIsNone(held_lease.create_status())
                nursery.cancel_scope.cancel()

        self._run(scenario)

    def test_a_delegated_share_returns_to_its_owner(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_refill_shares(0.0)
            owner = allowance_fleet.build_refill_shares(0.1)
            reported_at = trio.current_time()
            delegation = owner.delegate("hub.1", 7)
            hub.accept_delegation(
                "entry-1", "entry-1.1", delegation, reported_at
            )
            self.assertAlmostEqual(0.1, hub.find_usable_share())
            self.clock.jump(_SUSPENDED_S)
            self.assertEqual(0.0, hub.find_usable_share())
            hub.advance()
            refilled_s = sum(s.end - s.start for s in hub.list_spans(0.0))
            self.assertLessEqual(refilled_s, refill_shares.DELEGATION_S)

        self._run(scenario)

    def test_the_one_version_of_before_is_not_the_only_one_after(
        self,
    ) -> None:
        async def scenario() -> None:
            world = origin_fleet.World()
            world.add_runner("v1")
            async with trio.open_nursery() as nursery:
                world.nursery = nursery
                world.daemons = [None]
                world.start(0)
                await trio.sleep(20.0)
                (daemon,) = world.daemons
                self.assertEqual(
                    finder.OnlyVersion("v1"),
                    await daemon.finder.find("a", origin_fleet.SERVICE, 0.8),
                )
                # Joins while the daemon stands still.
                world.add_runner("v1.1")
                self.clock.jump(4.0)
                self.assertEqual(
                    finder.UnknownVersion(is_log_read=True),
                    await daemon.finder.find("b", origin_fleet.SERVICE, 0.8),
                )
                nursery.cancel_scope.cancel()

        self._run(scenario)

    def test_quota_expires(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            await trio.sleep(20.0)
            quota_before = _count_quota(ledger)
            self.clock.jump(_SUSPENDED_S)
            # The refill during the suspension is at most what has expired.
            self.assertLessEqual(_count_quota(ledger), quota_before * 1.001)

        self._run(scenario)

    def test_the_age_of_entries_includes_the_suspension(self) -> None:
        async def scenario() -> None:
            entries_age = copy_age.CopyAge()
            entries_age.confirm(trio.current_time(), copy_age.AgeEvent.READ)
            self.clock.jump(_SUSPENDED_S)
            self.assertEqual(_SUSPENDED_S, entries_age.age_s)

        self._run(scenario)

    def test_the_retry_window_slides(self) -> None:
        async def scenario() -> None:
            bounds = retry_window.RetryBounds(0.0, _SUSPENDED_S - 1.0, 2.0)
            window = retry_window.RetryWindow(bounds, lambda: 1)
            self.assertTrue(window.try_spend("desk"))
            self.assertFalse(window.try_spend("desk"))
            self.clock.jump(_SUSPENDED_S)
            self.assertTrue(window.try_spend("desk"))

        self._run(scenario)

    def test_a_quarantine_ends_at_the_announced_time(self) -> None:
        async def scenario() -> None:
            table = crash_table.CrashTable(trio.current_time)
            for number in range(crash_table.QUARANTINE_ROUNDS):
                table.add(crash_table.CrashRecord("a", number, "runner-1"))
            quarantine_s = table.find_quarantine_s("a")
            self.clock.jump(_SUSPENDED_S)
            self.assertEqual(
                quarantine_s - _SUSPENDED_S, table.find_quarantine_s("a")
            )

        self._run(scenario)

    def _run(self, scenario) -> None:
        trio.run(scenario, clock=self.clock)


def _count_quota(ledger) -> float:
    ledger.refill([allowance_fleet.TEAM])
    return ledger.describe(allowance_fleet.TEAM.name).there
