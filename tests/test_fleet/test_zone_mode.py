"""A zone must not rely on a hub that is silent or has lost the log."""

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
_SUBSCRIBERS = [
    topology.PeerAddress(f"127.0.0.1:{number}", "a", 10.0)
    for number in range(3, 16)
]


class ZoneModeTest(clocked.ClockedTestCase):
    def _build(self, own_address: topology.PeerAddress) -> zone_mode.ZoneMode:
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
        return zone_mode.ZoneMode(
            own_address, fleet, state, timing.ZONE_INTERVALS
        )

    def _apply_report(self, mode: zone_mode.ZoneMode, number: int, age_ms: int):
        summary = builders.build_summary(
            zone="a",
            address=_FIRST.address,
            number=number,
            log_age_ms=age_ms,
        )
        return mode.apply_report(
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

    def test_entries_are_confirmed_as_of_the_digest_that_the_hub_had(
        self,
    ) -> None:
        async def scenario() -> None:
            mode = self._build(_SUBSCRIBERS[0])
            mode.select_peers([_FIRST, _SECOND, *_SUBSCRIBERS[1:]])
            self.follower.skip_to(5)
            mode.create_digest_messages(builders.build_digest(number=7))
            digest_sent_at = trio.current_time()
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
            mode.apply_report(report)
            # The report was made after that digest, however late it arrives.
            confirmed_at = self.follower.copy_age.confirmed_at
            self.assertAlmostEqual(digest_sent_at - 0.6, confirmed_at)

        self.run_clocked(scenario)

    def test_a_hub_with_newer_entries_does_not_confirm_those_here(self) -> None:
        async def scenario() -> None:
            mode = self._build(_SUBSCRIBERS[0])
            mode.select_peers([_FIRST, _SECOND, *_SUBSCRIBERS[1:]])
            mode.create_digest_messages(builders.build_digest(number=7))
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
            mode.apply_report(report)
            self.assertEqual(math.inf, self.follower.copy_age.age_s)

        self.run_clocked(scenario)

    def test_the_second_hub_reads_the_log_when_the_first_has_lost_it(
        self,
    ) -> None:
        async def scenario() -> None:
            mode = self._build(_SECOND)
            mode.select_peers([_FIRST, *_SUBSCRIBERS])
            self.assertTrue(mode.is_hub)
            self._apply_report(mode, 1, 100)
            self.assertFalse(mode.is_log_reader())
            self._apply_report(mode, 2, 1500)
            self.assertTrue(mode.is_log_reader())
            self._apply_report(mode, 3, 100)
            self.assertFalse(mode.is_log_reader())
            await trio.sleep(2.0)
            self.assertTrue(mode.is_log_reader())

        self.run_clocked(scenario)

    def test_the_second_hub_relies_on_the_first_while_that_reads_the_log(
        self,
    ) -> None:
        """Both hubs of each zone made calls for the same records."""

        async def scenario() -> None:
            mode = self._build(_SECOND)
            mode.select_peers([_FIRST, *_SUBSCRIBERS])
            self.assertFalse(mode.is_log_relayed())
            self._apply_report(mode, 1, 100)
            self.assertTrue(mode.is_log_relayed())
            # Otherwise the zone would take this hub for one without a log.
            self.assertAlmostEqual(0.1, self.contact.age_s)
            await trio.sleep(1.0)
            self.assertTrue(mode.is_log_relayed())
            await trio.sleep(0.3)
            self.assertFalse(mode.is_log_relayed())

        self.run_clocked(scenario)

    def test_the_first_hub_relies_on_no_other(self) -> None:
        """Two hubs that rely on each other would read nothing."""

        async def scenario() -> None:
            mode = self._build(topology.PeerAddress("127.0.0.1:9", "a", 200.0))
            mode.select_peers([_FIRST, _SECOND, *_SUBSCRIBERS])
            self._apply_report(mode, 1, 100)
            self.assertFalse(mode.is_log_relayed())
            self.assertTrue(mode.is_log_reader())
            self.assertEqual(math.inf, self.contact.age_s)

        self.run_clocked(scenario)

    def test_the_log_is_relayed_while_a_hub_reports_and_reads_it(self) -> None:
        async def scenario() -> None:
            mode = self._build(_SUBSCRIBERS[0])
            mode.select_peers([_FIRST, _SECOND, *_SUBSCRIBERS[1:]])
            self.assertFalse(mode.is_log_relayed())
            self._apply_report(mode, 1, 100)
            self.assertTrue(mode.is_log_relayed())
            # A relayed answer of the log counts as an answer to this daemon.
            self.assertAlmostEqual(0.1, self.contact.age_s)
            self._apply_report(mode, 2, 1500)
            self.assertFalse(mode.is_log_relayed())
            self._apply_report(mode, 3, 100)
            await trio.sleep(2.0)
            self.assertFalse(mode.is_log_relayed())

        self.run_clocked(scenario)

    def test_a_daemon_that_receives_digests_becomes_a_hub(self) -> None:
        async def scenario() -> None:
            mode = self._build(_SUBSCRIBERS[0])
            self.assertEqual(
                {_FIRST.address, _SECOND.address},
                mode.select_peers([_FIRST, _SECOND, *_SUBSCRIBERS[1:]]),
            )
            mode.apply_digest(
                builders.build_digest(zone="a", address=_SUBSCRIBERS[1].address)
            )
            peers = mode.select_peers([_FIRST, _SECOND, *_SUBSCRIBERS[1:]])
            self.assertTrue(mode.is_hub)
            self.assertIn(_SUBSCRIBERS[1].address, peers)

        self.run_clocked(scenario)
