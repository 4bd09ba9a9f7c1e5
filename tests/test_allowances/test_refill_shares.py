"""At any moment each part is at one daemon at the most."""

from __future__ import annotations

import math

import trio

from martenquay_daemon.allowances import refill_shares
from tests import allowance_fleet, clocked

_WINDOW_S = allowance_fleet.BOUNDS.window_s


def _sum_share_seconds(
    one: refill_shares.RefillShares, since: float = -math.inf
) -> float:
    """Return the seconds of the whole rate that may be minted."""
    one.advance()
    return sum(s.share * (s.end - s.start) for s in one.list_spans(since))


class MintRightsTest(clocked.ClockedTestCase):
    def test_what_is_lent_is_not_minted_here_until_it_is_over(self) -> None:
        async def scenario() -> None:
            lender = allowance_fleet.build_rights(0.1)
            await trio.sleep(1.0)
            delegation = lender.delegate("hub.1", 7)
            self.assertAlmostEqual(0.1, delegation.part)
            self.assertEqual(0.0, lender.find_usable_share())
            await trio.sleep(refill_shares.DELEGATION_S + 0.5)
            self.assertAlmostEqual(0.1, lender.find_usable_share())
            self.assertAlmostEqual(0.15, _sum_share_seconds(lender))

        self.run_clocked(scenario)

    def test_a_loan_ends_counted_from_the_report_that_it_names(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_rights(0.0)
            lender = allowance_fleet.build_rights(0.1)
            reported_at = trio.current_time()
            await trio.sleep(0.5)
            delegation = lender.delegate("hub.1", 7)
            # However late it comes, it ends before the lender mints again.
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

    def test_a_loan_that_was_too_long_on_its_way_is_nothing(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_rights(0.0)
            lender = allowance_fleet.build_rights(0.1)
            reported_at = trio.current_time()
            delegation = lender.delegate("hub.1", 7)
            await trio.sleep(refill_shares.DELEGATION_S + 0.1)
            hub.accept_delegation(
                "entry-1", "entry-1.1", delegation, reported_at
            )
            self.assertEqual(0.0, hub.find_usable_share())

        self.run_clocked(scenario)

    def test_another_hub_has_to_wait_until_the_first_ones_loan_is_over(
        self,
    ) -> None:
        async def scenario() -> None:
            lender = allowance_fleet.build_rights(0.1)
            first = allowance_fleet.build_rights(0.0)
            second = allowance_fleet.build_rights(0.0)
            now = trio.current_time()
            first.accept_delegation(
                "e", "e.1", lender.delegate("hub.1", 1), now
            )
            await trio.sleep(0.6)
            now = trio.current_time()
            for _ in range(4):
                delegation = lender.delegate("hub.2", 3)
                second.accept_delegation(
                    "e", "e.1", delegation, trio.current_time()
                )
                total = sum(
                    one.find_usable_share() for one in (lender, first, second)
                )
                self.assertAlmostEqual(0.1, total)
                await trio.sleep(0.5)
            self.assertEqual(0.0, first.find_usable_share())
            self.assertAlmostEqual(0.1, second.find_usable_share())

        self.run_clocked(scenario)

    def test_a_new_process_ends_what_the_one_before_had_lent(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_rights(0.0)
            lender = allowance_fleet.build_rights(0.1)
            now = trio.current_time()
            delegation = lender.delegate("hub.1", 1)
            hub.accept_delegation("e", "e.1", delegation, now)
            await trio.sleep(0.5)
            hub.end_former_delegations("e", "e.2")
            self.assertEqual(0.0, hub.find_usable_share())
            # A message of the process before that comes only now.
            hub.accept_delegation("e", "e.1", delegation, trio.current_time())
            self.assertEqual(0.0, hub.find_usable_share())
            self.assertAlmostEqual(0.05, _sum_share_seconds(hub))

        self.run_clocked(scenario)

    def test_a_new_process_waits_until_loans_of_the_last_one_are_over(
        self,
    ) -> None:
        async def scenario() -> None:
            sole_since = [math.inf]
            own = refill_shares.RateShare(0.1, -math.inf)
            one = refill_shares.RefillShares(
                lambda: own, _WINDOW_S, lambda: sole_since[0]
            )
            await trio.sleep(0.4)
            self.assertEqual(0.0, one.find_usable_share())
            self.assertIsNone(one.delegate("hub.1", 1))
            sole_since[0] = trio.current_time()
            await trio.sleep(0.1)
            self.assertAlmostEqual(0.1, one.find_usable_share())
            self.assertAlmostEqual(0.01, _sum_share_seconds(one))
            other = refill_shares.RefillShares(
                lambda: own, _WINDOW_S, lambda: math.inf
            )
            await trio.sleep(refill_shares.DELEGATION_S + 0.1)
            self.assertAlmostEqual(0.1, other.find_usable_share())

        self.run_clocked(scenario)

    def test_a_hub_owes_on_parts_that_it_has_had_for_a_window(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_rights(0.2)
            lender = allowance_fleet.build_rights(0.1)
            while trio.current_time() < 0.9 * _WINDOW_S:
                now = trio.current_time()
                hub.accept_delegation(
                    "e", "e.1", lender.delegate("hub.1", 1), now
                )
                await trio.sleep(0.5)
            held, fresh = hub.find_overdraft_shares()
            self.assertEqual((0.0, 0.2), (held, fresh))
            for _ in range(4):
                now = trio.current_time()
                hub.accept_delegation(
                    "e", "e.1", lender.delegate("hub.1", 1), now
                )
                await trio.sleep(0.5)
            held, fresh = hub.find_overdraft_shares()
            self.assertAlmostEqual(0.3, held)
            self.assertEqual(0.0, fresh)
            # The lender itself does not: the hub may.
            self.assertEqual((0.0, 0.0), lender.find_overdraft_shares())

        self.run_clocked(scenario)

    def test_a_larger_loan_of_before_is_told_while_it_is_good(self) -> None:
        async def scenario() -> None:
            parts = [0.2]
            one = refill_shares.RefillShares(
                lambda: refill_shares.RateShare(parts[0], -math.inf), _WINDOW_S
            )
            one.delegate("hub.1", 1)
            parts[0] = 0.1
            self.assertFalse(one.has_larger_delegation())
            await trio.sleep(0.5)
            self.assertAlmostEqual(0.1, one.delegate("hub.1", 2).part)
            self.assertTrue(one.has_larger_delegation())
            await trio.sleep(refill_shares.DELEGATION_S)
            self.assertFalse(one.has_larger_delegation())

        self.run_clocked(scenario)

    def test_time_is_counted_as_it_was_after_a_long_stop(self) -> None:
        async def scenario() -> None:
            hub = allowance_fleet.build_rights(0.0)
            lender = allowance_fleet.build_rights(0.1)
            await trio.sleep(1.0)
            start = trio.current_time()
            hub.accept_delegation(
                "e", "e.1", lender.delegate("hub.1", 1), start
            )
            await trio.sleep(6.0)
            hub.advance()
            spans = list(hub.list_spans(0.0))
            self.assertEqual(1, len(spans))
            self.assertAlmostEqual(start, spans[0].start)
            self.assertAlmostEqual(
                start + refill_shares.DELEGATION_S, spans[0].end
            )

        self.run_clocked(scenario)
