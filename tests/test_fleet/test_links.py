"""Daemons find each other and hand on what one of them cannot read."""

from __future__ import annotations

import dataclasses
from unittest import mock

import testtools
import trio

from martenquay_core.serving import ports, signals
from martenquay_daemon.allowances import terms
from martenquay_daemon.discovery import (
    catalog_sink,
    catalog_store,
    contact,
    keyed_follower,
    runner_directory,
)
from martenquay_daemon.fleet import (
    links,
    messages,
    pace,
    quota_client,
    runner_report_gossip,
    state_copies,
    topology,
    view,
)
from martenquay_standins.ports import log
from tests import serving_builders as builders

_HANG_S = 30.0
_PACE = pace.GossipIntervals(
    own_s=0.02,
    min_interval_s=0.005,
    step_s=0.005,
    report_s=0.02,
    longest_report_s=0.1,
    report_bytes_per_s=1e6,
    silent_s=5.0,
    units_s=0.02,
)
# The first ones have the best links.
_MBPS = 100.0
_NO_ADDRESSES = ("", "entry-1", "10.0.0.1:", "10.0.0.1:x")


class _Daemon:
    """One daemon's links and what they hand on."""

    def __init__(
        self, number: int, records: builders.FakeRecords, zone: str = "a"
    ) -> None:
        self.name = f"entry-{number}"
        self.zone = zone
        self.number = 0
        self.digests: list[messages.Digest] = []
        self.subscribers: set[str] = set()
        self.notes: list[messages.QuotaUpdate] = []
        self.asked: list[messages.QuotaRequest] = []
        self.reports: list[messages.FleetReport] = []
        self.view = view.FleetView(self.name)
        self.contact = contact.LogContact()
        self.store = catalog_store.create_store(records)
        self.directory = runner_directory.RunnerDirectory(records, self.contact)
        self.follower = keyed_follower.KeyedFollower(
            log.MemoryLog(),
            self.contact,
            "runners",
            self.directory,
            keyed_follower.ReadSchedule(wait_s=1.0),
        )
        state = state_copies.FleetState(
            self.store, self.directory, self.follower, self.contact
        )
        place = topology.PeerAddress("127.0.0.1:0", zone, _MBPS - number)
        self.place = place
        self.links = links.FleetLinks(
            place, self.view, state, self._digest, _PACE, _PACE
        )
        self.limits = builders.build_runner_limits()
        self.runner_news = runner_report_gossip.RunnerReportGossip(
            self.limits, self.directory.leaving
        )
        self.links.listeners = links.Listeners(
            self.digests.append,
            self.reports.append,
            lambda: None,
            lambda digest, _: self.subscribers.add(digest.instance),
            self._create_units,
            self.notes.append,
            self._answer_units,
            lambda _: 9,
            self.runner_news,
        )

    def find_place(self) -> topology.PeerAddress:
        """Return where others reach it."""
        return dataclasses.replace(self.place, address=self.links.address)

    def _create_units(self) -> messages.QuotaUpdate:
        return messages.QuotaUpdate(
            f"{self.name}.aa", self.links.address, self.number, {}, {}
        )

    async def _answer_units(self, want, reply) -> None:
        self.asked.append(want)
        verdict = messages.QuotaVerdict.GRANTED
        reply(
            messages.QuotaReply(want.number, verdict, member=f"{self.name}.aa")
        )

    def _digest(self):
        self.number += 1
        age_s = min(self.contact.age_s, 1000.0)
        return builders.build_digest(
            member=f"{self.name}.aa",
            instance=self.name,
            zone=self.zone,
            address=self.links.address,
            number=self.number,
            catalog_version=self.store.version,
            runners_changed=self.directory.entries.changed_end,
            log_age_ms=int(age_s * 1000),
            capacity=self.place.capacity,
            loads={self.name: messages.LoadEntry(1, 10)},
            runner_reports=self.runner_news.create(is_hub=False),
        )


def _introduce(daemons: list[_Daemon]) -> None:
    """Have all know all."""
    for one in daemons:
        for other in daemons:
            one.links.add_peer(other.find_place())


class FleetLinksTest(testtools.TestCase):
    def _run(self, scenario, count: int, zones: int = 1) -> None:
        records = builders.FakeRecords()
        records.catalogs[b"3"] = builders.build_catalog(version=3)
        records.runners[b"r"] = builders.build_runner(id="r-1")
        daemons = [_Daemon(n, records, "ab"[n % zones]) for n in range(count)]

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with trio.open_nursery() as nursery:
                    for one in daemons:
                        await nursery.start(one.links.run)
                    await scenario(daemons)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_a_daemon_that_knows_one_other_comes_to_know_it_both_ways(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            first, second = daemons
            second.links.add_peer(first.find_place())
            while not (first.view.list_fresh() and second.view.list_fresh()):
                await trio.sleep(0.01)

        self._run(scenario, 2)

    def test_an_announced_address_that_is_none_is_dropped(self) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            first, second = daemons
            with mock.patch.object(links, "_LOG") as told:
                for _ in range(3):
                    for address in _NO_ADDRESSES:
                        peer = topology.PeerAddress(address, "a", _MBPS)
                        first.links.add_peer(peer)
                    await trio.sleep(0.05)
            lines = [call.args[0] for call in told.write.call_args_list]
            self.assertEqual(len(_NO_ADDRESSES), len(lines), lines)
            self.assertEqual(0, first.links.count_links())
            # The links are still kept.
            second.links.add_peer(first.find_place())
            while not (first.view.list_fresh() and second.view.list_fresh()):
                await trio.sleep(0.01)
            self.assertEqual(1, first.links.count_links())

        self._run(scenario, 2)

    def test_the_catalog_spreads_to_a_daemon_without_the_log(self) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            first, second = daemons
            sink = catalog_sink.CatalogSink(first.store, "config")
            sink.apply_change(ports.KeyedRecord(0, "config", b"3"))
            second.links.add_peer(first.find_place())
            while second.store.version != 3:
                await trio.sleep(0.01)

        self._run(scenario, 2)

    def test_runners_spread_to_a_daemon_without_the_log(self) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            first, second = daemons
            first.contact.note_answer()
            first.directory.apply_change(ports.KeyedRecord(4, "r-1", b"r"))
            first.follower.skip_to(5)
            second.links.add_peer(first.find_place())
            while not second.directory.list_usable("desk"):
                first.contact.note_answer()
                await trio.sleep(0.01)
            self.assertEqual(5, second.follower.end)

        self._run(scenario, 2)

    def test_in_a_large_fleet_the_catalog_spreads_without_the_log(self) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            # Also from a daemon that is no hub.
            sink = catalog_sink.CatalogSink(daemons[-1].store, "config")
            sink.apply_change(ports.KeyedRecord(0, "config", b"3"))
            while any(one.store.version != 3 for one in daemons):
                await trio.sleep(0.01)

        self._run(scenario, 18, 2)

    def test_in_a_large_fleet_what_hubs_read_of_runners_reaches_all(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            hubs = daemons[:4]

            async def read() -> None:
                while True:
                    for one in hubs:
                        one.contact.note_answer()
                    await trio.sleep(0.05)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                for one in hubs:
                    one.directory.apply_change(
                        ports.KeyedRecord(4, "r-1", b"r")
                    )
                    one.follower.skip_to(5)
                while any(
                    not one.directory.list_usable("desk") for one in daemons
                ):
                    await trio.sleep(0.01)
                await trio.sleep(0.1)
                self.assertTrue(all(one.links.needs_log() for one in hubs))
                for one in daemons[4:]:
                    self.assertFalse(one.links.needs_log())
                for one in hubs:
                    one.directory.apply_change(
                        ports.KeyedRecord(6, "r-1", None)
                    )
                    one.follower.skip_to(7)
                while any(one.directory.list_usable("desk") for one in daemons):
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        self._run(scenario, 18, 2)

    def test_all_hear_of_a_limit_that_one_was_told_and_of_its_end(
        self,
    ) -> None:
        self._spread_limit(3)

    def test_in_a_large_fleet_all_hear_of_a_limit_and_of_its_end(self) -> None:
        self._spread_limit(18, 2)

    def _spread_limit(self, count: int, zones: int = 1) -> None:
        """Have all hear of a limit, and of its end, that one was told."""
        runner = builders.build_runner(born_ms=1)

        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            # In a large fleet it is no hub.
            told = daemons[-1]
            for limit in (2.0, None):
                signal = signals.RunnerSignals(limit_per_s=limit)
                while any(
                    one.limits.is_limited(runner) != (limit is not None)
                    for one in daemons
                ):
                    # Each of its answers says so.
                    now = trio.current_time()
                    told.limits.note_answer(runner, signal, now)
                    await trio.sleep(0.01)
                # What is told in the same moment counts as older.
                await trio.sleep(0.5)

        self._run(scenario, count, zones)

    def test_in_a_large_fleet_all_others_are_counted_once(self) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            while any(one.view.count_daemons() != 18 for one in daemons):
                await trio.sleep(0.01)
            # One's own part is not in what it is told.
            wanted = {f"entry-{n}" for n in range(18)}
            for one in daemons:
                while not one.reports or set(
                    one.reports[-1].loads
                ) != wanted - {one.name}:
                    await trio.sleep(0.01)
            most = max(one.links.count_links() for one in daemons[4:])
            self.assertLessEqual(most, 3)

        self._run(scenario, 18, 2)

    def test_in_a_large_fleet_a_hub_answers_for_units(self) -> None:
        # All daemons run in this one process, which may be busy for longer.
        self.patch(quota_client, "_HEDGE_S", _HANG_S)
        self.patch(quota_client, "_LONGEST_S", _HANG_S)

        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            asker = daemons[-1]
            # The last one is in the zone of the second, its first hub.
            while (
                keeper := asker.links.find_quota_hub()
            ) is None or keeper.member != "entry-1.aa":
                await trio.sleep(0.01)
            self.assertFalse(asker.links.quota_client.holds_quota_here())
            wish = terms.AdmissionRequest(500.0, 1)
            answer = await asker.links.quota_client.ask("florists", wish)
            self.assertTrue(answer.is_admitted)
            self.assertEqual("entry-1.aa", answer.kept_at)
            self.assertEqual("florists", daemons[1].asked[0].team)

        self._run(scenario, 18, 2)

    def test_another_zones_hub_is_asked_when_the_own_ones_are_silent(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            asker = daemons[-1]
            while not (asker.links.find_quota_hub() and asker.reports):
                await trio.sleep(0.01)

            async def say_nothing(want, reply) -> None:
                del want, reply

            for one in daemons[1:4:2]:
                one.links.listeners = dataclasses.replace(
                    one.links.listeners, answer_units=say_nothing
                )
            found = set()
            with trio.move_on_after(5.0):
                while not found:
                    answer = await asker.links.quota_client.ask(
                        "florists", terms.AdmissionRequest(500.0)
                    )
                    found = {answer.kept_at} if answer else set()
            self.assertTrue(found <= {"entry-0.aa", "entry-2.aa"})
            self.assertTrue(found)

        self._run(scenario, 18, 2)

    def test_in_a_large_fleet_each_zones_keeper_tells_the_others_of_units(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            # The second hub of a zone may become its keeper, so it hears too.
            for number, keeper in ((0, 1), (1, 0), (2, 1), (3, 0)):
                notes = daemons[number].notes
                while not any(n.member == f"entry-{keeper}.aa" for n in notes):
                    await trio.sleep(0.01)
            self.assertTrue(daemons[0].links.quota_client.holds_quota_here())
            self.assertFalse(daemons[2].links.quota_client.holds_quota_here())
            self.assertEqual([], daemons[-1].notes)

        self._run(scenario, 18, 2)

    def test_hubs_hear_what_daemons_of_their_zone_lend(self) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            wanted = {one.name for one in daemons if one.zone == "a"}
            while not wanted - {"entry-0"} <= daemons[0].subscribers:
                await trio.sleep(0.01)
            self.assertLessEqual(daemons[0].subscribers, wanted)
            while any(
                one.reports[-1:] and one.reports[-1].zones[0].members_end != 9
                for one in daemons
            ):
                await trio.sleep(0.01)

        self._run(scenario, 18, 2)
