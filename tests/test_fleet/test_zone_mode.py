"""A zone goes by one hub's reading of the log while that is fresh."""

from __future__ import annotations

import math

import trio

from martenquay_daemon.discovery import (
    catalog_store,
    contact,
    keyed_follower,
    runner_directory,
)
from martenquay_daemon.fleet import (
    messages,
    state_copies,
    timing,
    topology,
    view,
    zone_mode,
)
from martenquay_standins.ports import log
from tests import clocked
from tests import serving_builders as builders

_FIRST = topology.PeerAddress("127.0.0.1:1", "a", 100.0)
_SECOND = topology.PeerAddress("127.0.0.1:2", "a", 90.0)
_OTHERS = [
    topology.PeerAddress(f"127.0.0.1:{number}", "a", 10.0)
    for number in range(3, 16)
]


class ZoneModeTest(clocked.ClockedTestCase):
    def _build(self, place: topology.PeerAddress) -> zone_mode.ZoneMode:
        records = builders.FakeRecords()
        self.contact = contact.LogContact()
        directory = runner_directory.RunnerDirectory(records, self.contact)
        follower = keyed_follower.KeyedFollower(
            log.MemoryLog(),
            self.contact,
            "runners",
            directory,
            keyed_follower.ReadSchedule(wait_s=1.0),
        )
        state = state_copies.FleetState(
            catalog_store.create_store(records),
            directory,
            follower,
            self.contact,
        )
        self.follower = follower
        fleet = view.FleetView("entry-9")
        fleet.is_mesh = False
        return zone_mode.ZoneMode(place, fleet, state, timing.ZONE_INTERVALS)

    def _report(self, one: zone_mode.ZoneMode, number: int, age_ms: int):
        summary = builders.build_summary(
            zone="a",
            address=_FIRST.address,
            number=number,
            log_age_ms=age_ms,
        )
        return one.apply_report(
            messages.FleetReport(
                "entry-1.aa",
                [summary],
                {},
                0,
                number,
                {},
                [],
                messages.NO_RUNNER_REPORTS,
            )
        )

    def test_entries_are_as_old_as_the_hubs_when_it_heard_this_daemon(
        self,
    ) -> None:
        async def scenario() -> None:
            one = self._build(_OTHERS[0])
            one.select_peers([_FIRST, _SECOND, *_OTHERS[1:]])
            self.follower.skip_to(5)
            one.create_digest_messages(builders.build_digest(number=7))
            told_at = trio.current_time()
            await trio.sleep(0.4)
            summary = builders.build_summary(
                zone="a", address=_FIRST.address, runners_age_ms=600
            )
            report = messages.FleetReport(
                "entry-1.aa",
                [summary],
                {},
                7,
                1,
                {},
                [],
                messages.NO_RUNNER_REPORTS,
            )
            one.apply_report(report)
            # However late the report is, it was made after that digest.
            confirmed_at = self.follower.copy_age.confirmed_at
            self.assertAlmostEqual(told_at - 0.6, confirmed_at)

        self.run_clocked(scenario)

    def test_a_hub_that_knows_more_says_nothing_of_entries_here(self) -> None:
        async def scenario() -> None:
            one = self._build(_OTHERS[0])
            one.select_peers([_FIRST, _SECOND, *_OTHERS[1:]])
            one.create_digest_messages(builders.build_digest(number=7))
            summary = builders.build_summary(
                zone="a", address=_FIRST.address, runners_changed=40
            )
            report = messages.FleetReport(
                "entry-1.aa",
                [summary],
                {},
                7,
                1,
                {},
                [],
                messages.NO_RUNNER_REPORTS,
            )
            one.apply_report(report)
            self.assertEqual(math.inf, self.follower.copy_age.age_s)

        self.run_clocked(scenario)

    def test_the_second_hub_leads_when_the_first_has_lost_the_log(self) -> None:
        async def scenario() -> None:
            one = self._build(_SECOND)
            one.select_peers([_FIRST, *_OTHERS])
            self.assertTrue(one.is_hub)
            self._report(one, 1, 100)
            self.assertFalse(one.is_log_reader())
            self._report(one, 2, 1500)
            self.assertTrue(one.is_log_reader())
            self._report(one, 3, 100)
            self.assertFalse(one.is_log_reader())
            await trio.sleep(2.0)
            self.assertTrue(one.is_log_reader())

        self.run_clocked(scenario)

    def test_a_daemon_is_served_while_a_hub_reports_and_reads(self) -> None:
        async def scenario() -> None:
            one = self._build(_OTHERS[0])
            one.select_peers([_FIRST, _SECOND, *_OTHERS[1:]])
            self.assertFalse(one.is_log_relayed())
            self._report(one, 1, 100)
            self.assertTrue(one.is_log_relayed())
            # What the hub has read lately counts as read here.
            self.assertAlmostEqual(0.1, self.contact.age_s)
            self._report(one, 2, 1500)
            self.assertFalse(one.is_log_relayed())
            self._report(one, 3, 100)
            await trio.sleep(2.0)
            self.assertFalse(one.is_log_relayed())

        self.run_clocked(scenario)

    def test_a_daemon_that_is_told_digests_reports_as_a_hub(self) -> None:
        async def scenario() -> None:
            one = self._build(_OTHERS[0])
            self.assertEqual(
                {_FIRST.address, _SECOND.address},
                one.select_peers([_FIRST, _SECOND, *_OTHERS[1:]]),
            )
            one.apply_digest(
                builders.build_digest(zone="a", address=_OTHERS[1].address)
            )
            peers = one.select_peers([_FIRST, _SECOND, *_OTHERS[1:]])
            self.assertTrue(one.is_hub)
            self.assertIn(_OTHERS[1].address, peers)

        self.run_clocked(scenario)
