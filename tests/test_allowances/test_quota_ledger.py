"""A daemon spends what is there, and says what others may have."""

from __future__ import annotations

import math

import trio

from martenquay_daemon.allowances import (
    gate,
    quota_ledger,
    refill_shares,
    sharing,
    terms,
)
from tests import allowance_fleet, clocked
from tests import serving_builders as builders

_TEAM = allowance_fleet.TEAM
_BOUNDS = allowance_fleet.BOUNDS
_RATE = _BOUNDS.find_refill_rate(_TEAM)
_LIFE_S = _BOUNDS.find_unit_life(_TEAM)


async def _fill(units: quota_ledger.QuotaLedger) -> None:
    """Let a lifetime pass, in which the units come that there may be."""
    units.refill([_TEAM])
    await trio.sleep(_LIFE_S)
    units.refill([_TEAM])


def _count_admitted(
    units: quota_ledger.QuotaLedger, wish: terms.AdmissionRequest
) -> int:
    """Ask until it is refused; return how often it was not."""
    count = 0
    while isinstance(units.try_spend(_TEAM, wish), terms.Admitted):
        count += 1
    return count


class EscrowLedgerTest(clocked.ClockedTestCase):
    def test_no_more_is_spent_than_a_lifetime_has_minted(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow()
            await _fill(units)
            count = _count_admitted(units, terms.AdmissionRequest(100.0))
            self.assertLessEqual(100.0 * count, _RATE * _LIFE_S)
            self.assertGreater(100.0 * count, 0.8 * _RATE * _LIFE_S)

        self.run_clocked(scenario)

    def test_a_steady_rate_is_never_less_than_the_teams(self) -> None:
        for rate, burst in ((46_000.0, 46_000.0), (100.0, 10.0), (5.0, 500.0)):
            team = builders.build_team(rate=rate, burst=burst)
            for overrun, slack in ((0.1, 72_000.0), (0.1, 0.0)):
                bounds = terms.ToleranceBounds(8.0, overrun, slack)
                minted = bounds.find_refill_rate(team)
                self.assertGreater(minted, 0.95 * rate)
                span_s = 8.0 + bounds.find_unit_life(team)
                most = minted * span_s + bounds.find_max_overdraft()
                allowance = rate * 8.0 + burst
                self.assertLess(most, allowance * (1 + overrun) + slack)

    def test_a_process_that_starts_anew_owes_nothing_for_a_window(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow()
            await _fill(units)
            _count_admitted(units, terms.AdmissionRequest(100.0))
            self.assertIsInstance(
                units.try_spend(_TEAM, terms.AdmissionRequest(8_000.0)),
                terms.Refused,
            )
            await trio.sleep(_BOUNDS.window_s)
            units.refill([_TEAM])
            large = terms.AdmissionRequest(_RATE * _LIFE_S + 20_000.0)
            self.assertIsInstance(units.try_spend(_TEAM, large), terms.Admitted)
            self.assertGreater(units.describe(_TEAM.name).owed, 10_000.0)

        self.run_clocked(scenario)

    def test_a_request_that_is_late_leaves_units_to_those_on_time(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow()
            await _fill(units)
            # More is asked for than comes.
            units.try_spend(_TEAM, terms.AdmissionRequest(2 * _RATE))
            late = _count_admitted(
                units, terms.AdmissionRequest(500.0, is_late=True)
            )
            on_time = _count_admitted(units, terms.AdmissionRequest(500.0))
            self.assertGreater(late, 10)
            self.assertGreater(on_time, 0.8 * late)

        self.run_clocked(scenario)

    def test_a_late_request_is_served_while_there_is_enough_for_all(
        self,
    ) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow()
            await _fill(units)
            units.try_spend(
                _TEAM, terms.AdmissionRequest(0.6 * _RATE * _LIFE_S)
            )
            await trio.sleep(0.8)
            wish = terms.AdmissionRequest(200.0, is_late=True)
            self.assertIsInstance(units.try_spend(_TEAM, wish), terms.Admitted)

        self.run_clocked(scenario)

    def test_what_is_given_is_gone_here_and_ends_there_in_time(self) -> None:
        async def scenario() -> None:
            giver = allowance_fleet.build_escrow(0.5)
            receiver = allowance_fleet.build_escrow(0.0)
            receiver.refill([_TEAM])
            await _fill(giver)
            told_at = trio.current_time()
            there = giver.describe(_TEAM.name).there
            holding = sharing.QuotaBalance(0.0, 20_000.0)
            giver.apply_balances("b", 7, {_TEAM.name: holding})
            gift = giver.create_transfers([_TEAM])["b"]
            given = sum(units for units, _ in gift.parcels[_TEAM.name])
            self.assertEqual(7, gift.heard)
            self.assertAlmostEqual(
                there - given, giver.describe(_TEAM.name).there
            )
            receiver.accept_transfer(gift, told_at)
            self.assertAlmostEqual(given, receiver.describe(_TEAM.name).there)
            await trio.sleep(_LIFE_S)
            receiver.refill([_TEAM])
            self.assertEqual(0.0, receiver.describe(_TEAM.name).there)

        self.run_clocked(scenario)

    def test_a_gift_that_was_long_on_its_way_is_of_no_use(self) -> None:
        async def scenario() -> None:
            receiver = allowance_fleet.build_escrow(0.0)
            receiver.refill([_TEAM])
            told_at = trio.current_time()
            await trio.sleep(2.0)
            receiver.accept_transfer(
                quota_ledger.QuotaTransfer(1, {_TEAM.name: [(900.0, 0.9)]}),
                told_at,
            )
            self.assertEqual(0.0, receiver.describe(_TEAM.name).there)

        self.run_clocked(scenario)

    def test_daemons_that_are_not_heard_are_given_nothing(self) -> None:
        async def scenario() -> None:
            giver = allowance_fleet.build_escrow(0.5)
            await _fill(giver)
            giver.apply_balances(
                "b", 1, {_TEAM.name: sharing.QuotaBalance(0.0, 20_000.0)}
            )
            await trio.sleep(1.5)
            self.assertEqual({}, giver.create_transfers([_TEAM]))

        self.run_clocked(scenario)

    def test_callers_refused_together_are_called_back_one_by_one(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow()
            units.refill([_TEAM])
            waits = [units.schedule_retry(_TEAM, 10_000.0) for _ in range(8)]
            self.assertEqual(sorted(waits), waits)
            self.assertGreater(waits[7], waits[0] + 1.0)
            self.assertLessEqual(waits[7], 4.0)

        self.run_clocked(scenario)

    def test_a_smaller_part_counts_for_the_time_since_it_was_larger(
        self,
    ) -> None:
        async def scenario() -> None:
            parts = [0.5]
            mint_rights = refill_shares.RefillShares(
                lambda: refill_shares.RateShare(parts[0], -math.inf),
                _BOUNDS.window_s,
            )
            units = quota_ledger.create_quota_ledger(
                _BOUNDS, mint_rights, lambda: None
            )
            units.refill([_TEAM])
            await trio.sleep(0.4)
            parts[0] = 0.25
            units.refill([_TEAM])
            self.assertAlmostEqual(
                0.4 * 0.25 * _RATE, units.describe(_TEAM.name).there, delta=1.0
            )

        self.run_clocked(scenario)


class _FarKeeper:
    """Implement `gate.QuotaHolders` with one answer."""

    def __init__(self, answer: terms.AdmissionDecision | None) -> None:
        self.asked: list[tuple[str, terms.AdmissionRequest]] = []
        self._answer = answer

    def holds_quota_here(self) -> bool:
        """Tell that this daemon does not."""
        return False

    async def ask(
        self, team: str, wish: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return the answer."""
        self.asked.append((team, wish))
        return self._answer

    async def ask_address(
        self, address: str, team: str, wish: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return the answer."""
        self.asked.append((address, wish))
        return self._answer


class AllowanceGateTest(clocked.ClockedTestCase):
    def _build(
        self,
        units: quota_ledger.QuotaLedger,
        keepers: gate.QuotaHolders | None = None,
    ) -> gate.AllowanceGate:
        keepers = keepers or allowance_fleet.OwnKeeper()
        return gate.create_gate(units, keepers)

    def test_a_request_waits_a_moment_for_units_of_others(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow(0.0)
            units.refill([_TEAM])
            one = self._build(units)
            units.apply_balances(
                "b", 1, {_TEAM.name: sharing.QuotaBalance(9_000.0, 0.0)}
            )
            told_at = trio.current_time()
            answers: list[bool] = []

            async def ask() -> None:
                answer = await one.acquire(_TEAM, terms.AdmissionRequest(500.0))
                answers.append(answer.is_admitted)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.08)
                needed = units.list_holdings()[_TEAM.name].needed
                self.assertAlmostEqual(500.0, needed)
                gift = quota_ledger.QuotaTransfer(
                    1, {_TEAM.name: [(600.0, 0.9)]}
                )
                units.accept_transfer(gift, told_at)
            self.assertEqual([True], answers)
            self.assertEqual(0.0, units.list_holdings()[_TEAM.name].needed)

        self.run_clocked(scenario)

    def test_a_request_is_refused_when_no_units_come(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow(0.0)
            units.refill([_TEAM])
            one = self._build(units)
            units.apply_balances(
                "b", 1, {_TEAM.name: sharing.QuotaBalance(9_000.0, 0.0)}
            )
            started = trio.current_time()
            answer = await one.acquire(_TEAM, terms.AdmissionRequest(500.0))
            self.assertGreater(answer.retry_s, 0.0)
            self.assertLessEqual(trio.current_time() - started, 0.21)

        self.run_clocked(scenario)

    def test_a_request_is_refused_at_once_when_nobody_has_units(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow(0.0)
            units.refill([_TEAM])
            one = self._build(units)
            units.apply_balances(
                "b", 1, {_TEAM.name: sharing.QuotaBalance(10.0, 0.0)}
            )
            started = trio.current_time()
            answer = await one.acquire(_TEAM, terms.AdmissionRequest(500.0))
            self.assertGreater(answer.retry_s, 0.0)
            self.assertEqual(started, trio.current_time())

        self.run_clocked(scenario)

    def test_a_daemon_that_keeps_none_has_its_keeper_decide(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow()
            await _fill(units)
            keeper = _FarKeeper(terms.AdmissionDecision(0.7, kept_at="hub"))
            one = self._build(units, keeper)
            answer = await one.acquire(_TEAM, terms.AdmissionRequest(500.0))
            self.assertEqual(0.7, answer.retry_s)
            self.assertEqual(
                [(_TEAM.name, terms.AdmissionRequest(500.0))], keeper.asked
            )

        self.run_clocked(scenario)

    def test_a_keeper_waits_for_parts_that_are_yet_to_be_lent(self) -> None:
        async def scenario() -> None:
            parts = [0.0]
            mint_rights = refill_shares.RefillShares(
                lambda: refill_shares.RateShare(parts[0], -math.inf),
                _BOUNDS.window_s,
            )
            units = quota_ledger.create_quota_ledger(
                _BOUNDS, mint_rights, lambda: None
            )
            units.refill([_TEAM])
            one = self._build(units)
            one.lacks_shares = lambda: parts[0] == 0.0
            answers: list[terms.AdmissionDecision] = []

            async def ask() -> None:
                wish = terms.AdmissionRequest(500.0, max_wait_s=1.0)
                answers.append(await one.acquire(_TEAM, wish))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.4)
                self.assertEqual([], answers)
                parts[0] = 1.0
                await trio.sleep(0.2)
            self.assertTrue(answers[0].is_admitted)
            # It is not held for longer than it may wait.
            parts[0] = 0.0
            units.try_spend(_TEAM, terms.AdmissionRequest(10 * _RATE))
            started = trio.current_time()
            wish = terms.AdmissionRequest(9 * _RATE, max_wait_s=0.3)
            answer = await one.acquire(_TEAM, wish)
            self.assertFalse(answer.is_admitted)
            self.assertLess(trio.current_time() - started, 0.4)

        self.run_clocked(scenario)

    def test_what_is_here_decides_when_no_keeper_answers(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow()
            await _fill(units)
            one = self._build(units, _FarKeeper(None))
            answer = await one.acquire(_TEAM, terms.AdmissionRequest(500.0))
            self.assertTrue(answer.is_admitted)

        self.run_clocked(scenario)

    def test_a_team_without_a_rate_is_never_refused(self) -> None:
        async def scenario() -> None:
            units = allowance_fleet.build_escrow(0.0)
            one = self._build(units)
            wish = terms.AdmissionRequest(1e9)
            answer = await one.acquire(builders.build_team(), wish)
            self.assertTrue(answer.is_admitted)

        self.run_clocked(scenario)
