"""Each refill share is used by at most one daemon at a time."""

from __future__ import annotations

import math

import trio

from martenquay_daemon.allowances import refill_shares
from tests import allowance_fleet, clocked

_WINDOW_S = allowance_fleet.BOUNDS.window_s


def _sum_share_seconds(
    shares: refill_shares.RefillShares, since: float = -math.inf
) -> float:
    """Return the usable shares, summed over time."""
    shares.advance()
    return sum(s.share * (s.end - s.start) for s in shares.list_spans(since))


class RefillSharesTest(clocked.ClockedTestCase):
    def test_a_delegated_share_is_not_used_here_until_it_ends(self) -> None:
        async def scenario() -> None:
            owner = allowance_fleet.build_refill_shares(0.1)
            await trio.sleep(1.0)
            delegation = owner.delegate("hub.1", 7)
            self.assertAlmostEqual(0.1, delegation.part)
            self.assertEqual(0.0, owner.find_usable_share())
            await trio.sleep(refill_shares.DELEGATION_S + 0.5)
            self.assertAlmostEqual(0.1, owner.find_usable_share())
            self.assertAlmostEqual(0.15, _sum_share_seconds(owner))

        self.run_clocked(scenario)

    def test_a_delegation_ends_counted_from_the_named_report(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_refill_shares(0.0)
            owner = allowance_fleet.build_refill_shares(0.1)
            reported_at = trio.current_time()
            await trio.sleep(0.5)
            delegation = owner.delegate("hub.1", 7)
            # However late it arrives, it ends before the owner's share is
            # usable again.
            await trio.sleep(0.8)
            hub.accept_delegation(
                "entry-1", "entry-1.1", delegation, reported_at
            )
            self.assertAlmostEqual(0.1, hub.find_usable_share())
            await trio.sleep(5.0)
            left_s = refill_shares.DELEGATION_S - 0.5 - 0.8
            self.assertAlmostEqual(0.1 * left_s, _sum_share_seconds(hub))
            self.assertEqual(0.0, hub.find_usable_share())

        self.run_clocked(scenario)

    def test_a_delegation_that_arrives_after_its_end_is_ignored(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_refill_shares(0.0)
            owner = allowance_fleet.build_refill_shares(0.1)
            reported_at = trio.current_time()
            delegation = owner.delegate("hub.1", 7)
            await trio.sleep(refill_shares.DELEGATION_S + 0.1)
            hub.accept_delegation(
                "entry-1", "entry-1.1", delegation, reported_at
            )
            self.assertEqual(0.0, hub.find_usable_share())

        self.run_clocked(scenario)

    def test_a_second_hub_waits_until_the_first_delegation_ends(
        self,
    ) -> None:
        async def scenario() -> None:
            owner = allowance_fleet.build_refill_shares(0.1)
            first = allowance_fleet.build_refill_shares(0.0)
            second = allowance_fleet.build_refill_shares(0.0)
            now = trio.current_time()
            first.accept_delegation("e", "e.1", owner.delegate("hub.1", 1), now)
            await trio.sleep(0.6)
            now = trio.current_time()
            for _ in range(4):
                delegation = owner.delegate("hub.2", 3)
                second.accept_delegation(
                    "e", "e.1", delegation, trio.current_time()
                )
                total = sum(
                    one.find_usable_share() for one in (owner, first, second)
                )
                self.assertAlmostEqual(0.1, total)
                await trio.sleep(0.5)
            self.assertEqual(0.0, first.find_usable_share())
            self.assertAlmostEqual(0.1, second.find_usable_share())

        self.run_clocked(scenario)

    def test_a_new_process_ends_delegations_of_the_former_one(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_refill_shares(0.0)
            owner = allowance_fleet.build_refill_shares(0.1)
            now = trio.current_time()
            delegation = owner.delegate("hub.1", 1)
            hub.accept_delegation("e", "e.1", delegation, now)
            await trio.sleep(0.5)
            hub.end_former_delegations("e", "e.2")
            self.assertEqual(0.0, hub.find_usable_share())
            # A late message of the former process.
            hub.accept_delegation("e", "e.1", delegation, trio.current_time())
            self.assertEqual(0.0, hub.find_usable_share())
            self.assertAlmostEqual(0.05, _sum_share_seconds(hub))

        self.run_clocked(scenario)

    def test_a_new_process_waits_until_former_delegations_end(
        self,
    ) -> None:
        async def scenario() -> None:
            unused_since = [math.inf]
            own = refill_shares.RateShare(0.1, -math.inf)
            instance = refill_shares.RefillShares(
                lambda: own, _WINDOW_S, lambda: unused_since[0]
            )
            await trio.sleep(0.4)
            self.assertEqual(0.0, instance.find_usable_share())
            self.assertIsNone(instance.delegate("hub.1", 1))
            unused_since[0] = trio.current_time()
            await trio.sleep(0.1)
            self.assertAlmostEqual(0.1, instance.find_usable_share())
            self.assertAlmostEqual(0.01, _sum_share_seconds(instance))
            restarted = refill_shares.RefillShares(
                lambda: own, _WINDOW_S, lambda: math.inf
            )
            await trio.sleep(refill_shares.DELEGATION_S + 0.1)
            self.assertAlmostEqual(0.1, restarted.find_usable_share())

        self.run_clocked(scenario)

    def test_a_hub_overdraws_on_shares_held_for_a_window(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_refill_shares(0.2)
            owner = allowance_fleet.build_refill_shares(0.1)
            while trio.current_time() < 0.9 * _WINDOW_S:
                now = trio.current_time()
                hub.accept_delegation(
                    "e", "e.1", owner.delegate("hub.1", 1), now
                )
                await trio.sleep(0.5)
            held, fresh = hub.find_overdraft_shares()
            self.assertEqual((0.0, 0.2), (held, fresh))
            for _ in range(4):
                now = trio.current_time()
                hub.accept_delegation(
                    "e", "e.1", owner.delegate("hub.1", 1), now
                )
                await trio.sleep(0.5)
            held, fresh = hub.find_overdraft_shares()
            self.assertAlmostEqual(0.3, held)
            self.assertEqual(0.0, fresh)
            # The hub may overdraw on the share, so its owner must not.
            self.assertEqual((0.0, 0.0), owner.find_overdraft_shares())

        self.run_clocked(scenario)

    def test_an_earlier_larger_delegation_is_reported_while_valid(self) -> None:
        async def scenario() -> None:
            share = [0.2]
            instance = refill_shares.RefillShares(
                lambda: refill_shares.RateShare(share[0], -math.inf), _WINDOW_S
            )
            instance.delegate("hub.1", 1)
            share[0] = 0.1
            self.assertFalse(instance.has_larger_delegation())
            await trio.sleep(0.5)
            self.assertAlmostEqual(0.1, instance.delegate("hub.1", 2).part)
            self.assertTrue(instance.has_larger_delegation())
            await trio.sleep(refill_shares.DELEGATION_S)
            self.assertFalse(instance.has_larger_delegation())

        self.run_clocked(scenario)

    def test_a_long_pause_records_the_spans_as_they_were(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_refill_shares(0.0)
            owner = allowance_fleet.build_refill_shares(0.1)
            await trio.sleep(1.0)
            start = trio.current_time()
            hub.accept_delegation("e", "e.1", owner.delegate("hub.1", 1), start)
            await trio.sleep(6.0)
            hub.advance()
            spans = list(hub.list_spans(0.0))
            self.assertEqual(1, len(spans))
            self.assertAlmostEqual(start, spans[0].start)
            self.assertAlmostEqual(
                start + refill_shares.DELEGATION_S, spans[0].end
            )

        self.run_clocked(scenario)
