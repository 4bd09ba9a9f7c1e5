"""Tests of answers to quota requests and of delegations of rate shares."""

from __future__ import annotations

import trio

from martenquay_daemon.allowances import gate, quota_ledger, refill_shares
from martenquay_daemon.discovery import catalog_store
from martenquay_daemon.fleet import messages, quota_exchange, roster, zone_mode
from tests import allowance_fleet, clocked
from tests import serving_builders as builders

_TEAM = allowance_fleet.TEAM
_Verdict = messages.QuotaVerdict


class _FakeLinks:
    """Fake of `links.FleetLinks`.

    Attributes:
        address: Address of this daemon.
        quota_hub: The hub that holds its quota.
        is_small: The fleet is a mesh.
    """

    def __init__(self) -> None:
        self.address = "127.0.0.1:7001"
        self.quota_hub: zone_mode.QuotaHub | None = None
        self.is_small = False

    def find_quota_hub(self) -> zone_mode.QuotaHub | None:
        """Return the hub that holds this daemon's quota."""
        return self.quota_hub

    def is_mesh(self) -> bool:
        """Return whether the fleet is a mesh."""
        return self.is_small


class _FakeFollower:
    """Fake of the follower of announcements, with its end offset."""

    end = 4


class QuotaExchangeTest(clocked.ClockedTestCase):
    def _build(self, share: float) -> quota_exchange.QuotaExchange:
        records = builders.FakeRecords()
        records.catalogs[b"catalog"] = builders.build_catalog(teams=(_TEAM,))
        store = catalog_store.create_store(records)
        store.offer(b"catalog", "the test")
        self.share = share
        self.shares = refill_shares.RefillShares(
            lambda: refill_shares.RateShare(self.share, 0.0), 8.0
        )
        self.ledger = quota_ledger.create_quota_ledger(
            allowance_fleet.BOUNDS, self.shares, lambda: None
        )
        self.ledger.refill([_TEAM])
        self.roster = roster.Roster("entry-1")
        for number in range(4):
            self.roster.note_listed(
                f"entry-{number}",
                number,
                is_counted=True,
                zone="a" if number < 2 else "b",
            )
        self.links = _FakeLinks()
        return quota_exchange.QuotaExchange(
            "entry-1.aa",
            "a",
            store,
            self.ledger,
            gate.create_gate(self.ledger, allowance_fleet.LocalQuota()),
            self.roster,
            _FakeFollower(),
            self.links,
        )

    async def _ask(
        self,
        exchange: quota_exchange.QuotaExchange,
        units: float,
        team: str = _TEAM.name,
    ) -> list[messages.QuotaVerdict]:
        replies: list[messages.QuotaReply] = []
        request = messages.QuotaRequest(7, team, units, 0, False, False)
        await exchange.answer(request, replies.append)
        return [reply.verdict for reply in replies]

    def test_a_daemon_without_a_share_passes_a_request_on(self) -> None:
        async def scenario() -> None:
            exchange = self._build(0.0)
            found = await self._ask(exchange, 100.0)
            self.assertEqual([_Verdict.PASSED], found)

        self.run_clocked(scenario)

    def test_a_request_for_an_unknown_team_is_passed_on(self) -> None:
        async def scenario() -> None:
            exchange = self._build(0.5)
            found = await self._ask(exchange, 100.0, "strangers")
            self.assertEqual([_Verdict.PASSED], found)

        self.run_clocked(scenario)

    def test_a_hub_that_lacks_shares_passes_on_what_it_cannot_grant(
        self,
    ) -> None:
        async def scenario() -> None:
            exchange = self._build(0.25)
            await trio.sleep(0.5)
            self.assertEqual(
                [_Verdict.GRANTED], await self._ask(exchange, 50.0)
            )
            found = await self._ask(exchange, 90_000.0)
            self.assertEqual([_Verdict.PASSED], found)
            # Daemons that have not delegated by now are down.
            await trio.sleep(3.0)
            found = await self._ask(exchange, 90_000.0)
            self.assertEqual([_Verdict.REFUSED], found)

        self.run_clocked(scenario)

    def test_a_hub_with_its_zones_shares_refuses_at_once(self) -> None:
        async def scenario() -> None:
            exchange = self._build(0.5)
            await trio.sleep(0.5)
            found = await self._ask(exchange, 90_000.0)
            self.assertEqual([_Verdict.REFUSED], found)

        self.run_clocked(scenario)

    def test_a_daemon_of_a_small_fleet_lacks_no_shares(self) -> None:
        async def scenario() -> None:
            exchange = self._build(0.25)
            self.assertTrue(exchange.lacks_shares())
            self.links.is_small = True
            self.assertFalse(exchange.lacks_shares())

        self.run_clocked(scenario)

    def test_a_share_is_delegated_to_the_hub_and_to_no_other_process(
        self,
    ) -> None:
        async def scenario() -> None:
            delegator = self._build(0.25)
            await trio.sleep(0.1)
            self.assertIsNone(delegator.create_delegation())
            self.links.quota_hub = zone_mode.QuotaHub("entry-0.bb", "h:1", 9)
            self.assertTrue(delegator.has_share_to_delegate())
            entry = delegator.create_delegation()
            self.assertEqual(("entry-0.bb", 9), (entry.receiver, entry.heard))
            self.assertFalse(delegator.has_share_to_delegate())
            digest = builders.build_digest(
                member="entry-1.aa", instance="entry-1", delegation=entry
            )
            hub = self._build(0.0)
            # The delegation names another process as its receiver.
            hub.apply_subscriber_digest(digest, trio.current_time())
            self.assertEqual(0.0, self.shares.find_usable_share())

        self.run_clocked(scenario)
