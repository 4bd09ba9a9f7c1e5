"""A daemon answers for the units that it keeps, and only for those."""

from __future__ import annotations

import trio

from martenquay_daemon.allowances import gate, quota_ledger, refill_shares
from martenquay_daemon.discovery import catalog_store
from martenquay_daemon.fleet import messages, quota_exchange, roster, zone_mode
from tests import allowance_fleet, clocked
from tests import serving_builders as builders

_TEAM = allowance_fleet.TEAM
_Verdict = messages.QuotaVerdict


class _Links:
    """What is asked of the links.

    Attributes:
        address: Of this daemon.
        keeper: Its keeper.
        is_small: Daemons are linked to all.
    """

    def __init__(self) -> None:
        self.address = "127.0.0.1:7001"
        self.keeper: zone_mode.Keeper | None = None
        self.is_small = False

    def find_quota_hub(self) -> zone_mode.Keeper | None:
        """Return the keeper."""
        return self.keeper

    def is_mesh(self) -> bool:
        """Tell whether the fleet is small."""
        return self.is_small


class _Members:
    """How far the announcements are read."""

    end = 4


class UnitNewsTest(clocked.ClockedTestCase):
    def _build(self, part: float) -> quota_exchange.QuotaExchange:
        records = builders.FakeRecords()
        records.catalogs[b"catalog"] = builders.build_catalog(teams=(_TEAM,))
        store = catalog_store.create_store(records)
        store.offer(b"catalog", "the test")
        self.part = part
        self.shares = refill_shares.RefillShares(
            lambda: refill_shares.RateShare(self.part, 0.0), 8.0
        )
        self.units = quota_ledger.create_quota_ledger(
            allowance_fleet.BOUNDS, self.shares, lambda: None
        )
        self.units.refill([_TEAM])
        self.roster = roster.Roster("entry-1")
        for number in range(4):
            self.roster.note_listed(
                f"entry-{number}",
                number,
                is_counted=True,
                zone="a" if number < 2 else "b",
            )
        self.links = _Links()
        return quota_exchange.QuotaExchange(
            "entry-1.aa",
            "a",
            store,
            self.units,
            gate.create_gate(self.units, allowance_fleet.LocalQuota()),
            self.roster,
            _Members(),
            self.links,
        )

    async def _ask(
        self,
        news: quota_exchange.QuotaExchange,
        units: float,
        team: str = _TEAM.name,
    ) -> list[messages.QuotaVerdict]:
        replies: list[messages.QuotaReply] = []
        want = messages.QuotaRequest(7, team, units, 0, False, False)
        await news.answer(want, replies.append)
        return [reply.verdict for reply in replies]

    def test_a_daemon_without_a_part_passes_on(self) -> None:
        async def scenario() -> None:
            news = self._build(0.0)
            found = await self._ask(news, 100.0)
            self.assertEqual([_Verdict.PASSED], found)

        self.run_clocked(scenario)

    def test_a_team_that_is_not_known_here_is_passed_on(self) -> None:
        async def scenario() -> None:
            news = self._build(0.5)
            found = await self._ask(news, 100.0, "strangers")
            self.assertEqual([_Verdict.PASSED], found)

        self.run_clocked(scenario)

    def test_a_keeper_that_lacks_parts_passes_on_what_it_cannot_grant(
        self,
    ) -> None:
        async def scenario() -> None:
            news = self._build(0.25)
            await trio.sleep(0.5)
            self.assertEqual([_Verdict.GRANTED], await self._ask(news, 50.0))
            found = await self._ask(news, 90_000.0)
            self.assertEqual([_Verdict.PASSED], found)
            # Who has not lent by now is gone.
            await trio.sleep(3.0)
            found = await self._ask(news, 90_000.0)
            self.assertEqual([_Verdict.REFUSED], found)

        self.run_clocked(scenario)

    def test_a_keeper_with_its_zones_parts_refuses_at_once(self) -> None:
        async def scenario() -> None:
            news = self._build(0.5)
            await trio.sleep(0.5)
            found = await self._ask(news, 90_000.0)
            self.assertEqual([_Verdict.REFUSED], found)

        self.run_clocked(scenario)

    def test_a_small_fleets_daemon_lacks_nobodys_parts(self) -> None:
        async def scenario() -> None:
            news = self._build(0.25)
            self.assertTrue(news.lacks_shares())
            self.links.is_small = True
            self.assertFalse(news.lacks_shares())

        self.run_clocked(scenario)

    def test_a_part_is_lent_to_the_keeper_and_ends_at_it_first(self) -> None:
        async def scenario() -> None:
            lender = self._build(0.25)
            await trio.sleep(0.1)
            self.assertIsNone(lender.create_delegation())
            self.links.keeper = zone_mode.Keeper("entry-0.bb", "h:1", 9)
            self.assertTrue(lender.has_share_to_delegate())
            line = lender.create_delegation()
            self.assertEqual(("entry-0.bb", 9), (line.receiver, line.heard))
            self.assertFalse(lender.has_share_to_delegate())
            digest = builders.build_digest(
                member="entry-1.aa", instance="entry-1", loan=line
            )
            hub = self._build(0.0)
            # It is meant for another process.
            hub.apply_subscriber_digest(digest, trio.current_time())
            self.assertEqual(0.0, self.shares.find_usable_share())

        self.run_clocked(scenario)
