"""Tests of the links of a fleet: discovery, state transfer, gossip, quota."""

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
    quota_client,
    runner_report_gossip,
    state_copies,
    timing,
    topology,
    view,
)
from martenquay_standins import loopback
from martenquay_standins.ports import log
from tests import serving_builders as builders

_HANG_S = 30.0
_INTERVALS = timing.GossipIntervals(
    digest_s=0.02,
    min_interval_s=0.005,
    check_s=0.005,
    report_s=0.02,
    max_report_s=0.1,
    report_bytes_per_s=1e6,
    silent_s=5.0,
    quota_update_s=0.02,
)
_MAX_MBPS = 100.0
_INVALID_ADDRESSES = ("", "entry-1", "10.0.0.1:", "10.0.0.1:x")


class _Daemon:
    """Links of one daemon, with its state and the messages it received."""

    def __init__(
        self, number: int, records: builders.FakeRecords, zone: str = "a"
    ) -> None:
        self.name = f"entry-{number}"
        self.zone = zone
        self.number = 0
        self.digests: list[messages.Digest] = []
        self.subscribers: set[str] = set()
        self.updates: list[messages.QuotaUpdate] = []
        self.quota_requests: list[messages.QuotaRequest] = []
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
        own_address = topology.PeerAddress(
            loopback.create_address(), zone, _MAX_MBPS - number
        )
        self.own_address = own_address
        self.links = links.FleetLinks(
            own_address,
            self.view,
            state,
            self._create_digest,
            _INTERVALS,
            _INTERVALS,
        )
        self.limits = builders.build_runner_limits()
        self.report_gossip = runner_report_gossip.RunnerReportGossip(
            self.limits, self.directory.leaving
        )
        self.links.listeners = links.Listeners(
            self.digests.append,
            self.reports.append,
            lambda: None,
            lambda digest, _: self.subscribers.add(digest.instance),
            self._create_quota_update,
            self.updates.append,
            self._answer_quota_request,
            lambda _: 9,
            self.report_gossip,
        )

    def find_address(self) -> topology.PeerAddress:
        """Return its own address with the port that it listens at."""
        return dataclasses.replace(self.own_address, address=self.links.address)

    def _create_quota_update(self) -> messages.QuotaUpdate:
        return messages.QuotaUpdate(
            f"{self.name}.aa", self.links.address, self.number, {}, {}
        )

    async def _answer_quota_request(self, request, reply) -> None:
        self.quota_requests.append(request)
        verdict = messages.QuotaVerdict.GRANTED
        reply(
            messages.QuotaReply(
                request.number, verdict, member=f"{self.name}.aa"
            )
        )

    def _create_digest(self):
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
            capacity=self.own_address.capacity,
            loads={self.name: messages.LoadEntry(1, 10)},
            runner_reports=self.report_gossip.create_reports(is_hub=False),
        )


def _introduce(daemons: list[_Daemon]) -> None:
    """Add each daemon's address to all others."""
    for one in daemons:
        for other in daemons:
            one.links.add_peer(other.find_address())


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

    def test_two_daemons_get_digests_when_one_knows_the_other(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            first, second = daemons
            second.links.add_peer(first.find_address())
            while not (first.view.list_fresh() and second.view.list_fresh()):
                await trio.sleep(0.01)

        self._run(scenario, 2)

    def test_an_invalid_address_is_dropped_and_other_links_work(self) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            first, second = daemons
            with mock.patch.object(links, "_LOG") as log_mock:
                for _ in range(3):
                    for address in _INVALID_ADDRESSES:
                        peer = topology.PeerAddress(address, "a", _MAX_MBPS)
                        first.links.add_peer(peer)
                    await trio.sleep(0.05)
            log_lines = [call.args[0] for call in log_mock.write.call_args_list]
            self.assertEqual(len(_INVALID_ADDRESSES), len(log_lines), log_lines)
            self.assertEqual(0, first.links.count_links())
            # Other links still work.
            second.links.add_peer(first.find_address())
            while not (first.view.list_fresh() and second.view.list_fresh()):
                await trio.sleep(0.01)
            self.assertEqual(1, first.links.count_links())

        self._run(scenario, 2)

    def test_a_daemon_without_the_log_gets_the_catalog_from_a_peer(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            first, second = daemons
            sink = catalog_sink.CatalogSink(first.store, "config")
            sink.apply_change(ports.KeyedRecord(0, "config", b"3"))
            second.links.add_peer(first.find_address())
            while second.store.version != 3:
                await trio.sleep(0.01)

        self._run(scenario, 2)

    def test_a_daemon_without_the_log_gets_runner_entries_from_a_peer(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            first, second = daemons
            first.contact.note_answer()
            first.directory.apply_change(ports.KeyedRecord(4, "r-1", b"r"))
            first.follower.skip_to(5)
            second.links.add_peer(first.find_address())
            while not second.directory.list_usable("desk"):
                first.contact.note_answer()
                await trio.sleep(0.01)
            self.assertEqual(5, second.follower.end)

        self._run(scenario, 2)

    def test_in_a_large_fleet_all_daemons_get_the_catalog_without_the_log(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            # The source is no hub.
            sink = catalog_sink.CatalogSink(daemons[-1].store, "config")
            sink.apply_change(ports.KeyedRecord(0, "config", b"3"))
            while any(one.store.version != 3 for one in daemons):
                await trio.sleep(0.01)

        self._run(scenario, 18, 2)

    def test_in_a_large_fleet_runner_entries_that_hubs_read_reach_all(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            # The first hub of each zone; the second ones rely on them.
            hubs = daemons[:2]

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
                for one in daemons[2:]:
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

    def test_a_runners_limit_and_its_end_reach_all_daemons(
        self,
    ) -> None:
        self._check_limit_reaches_all(3)

    def test_in_a_large_fleet_a_limit_and_its_end_reach_all_daemons(
        self,
    ) -> None:
        self._check_limit_reaches_all(18, 2)

    def _check_limit_reaches_all(self, count: int, zones: int = 1) -> None:
        """Check that a limit reported to one daemon, and its end, reach all."""
        runner = builders.build_runner(born_ms=1)

        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            # In a large fleet the receiver is no hub.
            receiver = daemons[-1]
            for limit in (2.0, None):
                signal = signals.RunnerSignals(limit_per_s=limit)
                while any(
                    one.limits.is_limited(runner) != (limit is not None)
                    for one in daemons
                ):
                    # A runner reports the limit in each answer.
                    now = trio.current_time()
                    receiver.limits.note_answer(runner, signal, now)
                    await trio.sleep(0.01)
                # A report of the same moment would count as older.
                await trio.sleep(0.5)

        self._run(scenario, count, zones)

    def test_in_a_large_fleet_all_others_are_counted_once(self) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            while any(one.view.count_daemons() != 18 for one in daemons):
                await trio.sleep(0.01)
            # A report leaves out the receiver's own load.
            wanted = {f"entry-{n}" for n in range(18)}
            for one in daemons:
                while not one.reports or set(
                    one.reports[-1].loads
                ) != wanted - {one.name}:
                    await trio.sleep(0.01)
            most = max(one.links.count_links() for one in daemons[4:])
            self.assertLessEqual(most, 3)

        self._run(scenario, 18, 2)

    def test_in_a_large_fleet_a_hub_answers_quota_requests(self) -> None:
        # All daemons share this process, which may delay replies.
        self.patch(quota_client, "_HEDGE_S", _HANG_S)
        self.patch(quota_client, "_TIMEOUT_S", _HANG_S)

        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            requester = daemons[-1]
            # The last one is in the zone of the second, its first hub.
            while (
                quota_hub := requester.links.find_quota_hub()
            ) is None or quota_hub.member != "entry-1.aa":
                await trio.sleep(0.01)
            self.assertFalse(requester.links.quota_client.holds_quota_here())
            admission = terms.AdmissionRequest(500.0, 1)
            decision = await requester.links.quota_client.ask(
                "florists", admission
            )
            self.assertTrue(decision.is_admitted)
            self.assertEqual("entry-1.aa", decision.kept_at)
            self.assertEqual("florists", daemons[1].quota_requests[0].team)

        self._run(scenario, 18, 2)

    def test_another_zones_hub_is_asked_when_the_zones_own_hubs_are_silent(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            requester = daemons[-1]
            while not (requester.links.find_quota_hub() and requester.reports):
                await trio.sleep(0.01)

            async def send_no_reply(request, reply) -> None:
                del request, reply

            for one in daemons[1:4:2]:
                one.links.listeners = dataclasses.replace(
                    one.links.listeners, answer_quota_request=send_no_reply
                )
            found = set()
            with trio.move_on_after(5.0):
                while not found:
                    decision = await requester.links.quota_client.ask(
                        "florists", terms.AdmissionRequest(500.0)
                    )
                    found = {decision.kept_at} if decision else set()
            self.assertTrue(found <= {"entry-0.aa", "entry-2.aa"})
            self.assertTrue(found)

        self._run(scenario, 18, 2)

    def test_in_a_large_fleet_quota_hubs_send_updates_to_other_zones_hubs(
        self,
    ) -> None:
        async def scenario(daemons: list[_Daemon]) -> None:
            _introduce(daemons)
            # A zone's second hub gets updates, as it may become the quota hub.
            for number, other_hub in ((0, 1), (1, 0), (2, 1), (3, 0)):
                updates = daemons[number].updates
                while not any(
                    n.member == f"entry-{other_hub}.aa" for n in updates
                ):
                    await trio.sleep(0.01)
            self.assertTrue(daemons[0].links.quota_client.holds_quota_here())
            self.assertFalse(daemons[2].links.quota_client.holds_quota_here())
            self.assertEqual([], daemons[-1].updates)

        self._run(scenario, 18, 2)

    def test_hubs_get_their_zones_digests_and_report_its_members_end(
        self,
    ) -> None:
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
