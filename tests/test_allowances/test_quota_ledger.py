"""The quota ledger spends, transfers and redirects; the gate decides."""

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


async def _fill(ledger: quota_ledger.QuotaLedger) -> None:
    """Refill the ledger to its capacity."""
    ledger.refill([_TEAM])
    await trio.sleep(_LIFE_S)
    ledger.refill([_TEAM])


def _count_admitted(
    ledger: quota_ledger.QuotaLedger, request: terms.AdmissionRequest
) -> int:
    """Spend until refused; return how many requests were admitted."""
    count = 0
    while isinstance(ledger.try_spend(_TEAM, request), terms.Admitted):
        count += 1
    return count


class QuotaLedgerTest(clocked.ClockedTestCase):
    def test_no_more_is_spent_than_a_lifetime_refills(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            await _fill(ledger)
            count = _count_admitted(ledger, terms.AdmissionRequest(100.0))
            self.assertLessEqual(100.0 * count, _RATE * _LIFE_S)
            self.assertGreater(100.0 * count, 0.8 * _RATE * _LIFE_S)

        self.run_clocked(scenario)

    def test_the_refill_rate_reaches_the_teams_rate_within_the_bounds(
        self,
    ) -> None:
        for rate, burst in ((46_000.0, 46_000.0), (100.0, 10.0), (5.0, 500.0)):
            team = builders.build_team(rate=rate, burst=burst)
            for overrun, slack in ((0.1, 72_000.0), (0.1, 0.0)):
                bounds = terms.ToleranceBounds(8.0, overrun, slack)
                refill_rate = bounds.find_refill_rate(team)
                self.assertGreater(refill_rate, 0.95 * rate)
                span_s = 8.0 + bounds.find_unit_life(team)
                max_spent = refill_rate * span_s + bounds.find_max_overdraft()
                allowance = rate * 8.0 + burst
                self.assertLess(max_spent, allowance * (1 + overrun) + slack)

    def test_a_restarted_process_overdraws_nothing_for_a_window(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            await _fill(ledger)
            _count_admitted(ledger, terms.AdmissionRequest(100.0))
            self.assertIsInstance(
                ledger.try_spend(_TEAM, terms.AdmissionRequest(8_000.0)),
                terms.Refused,
            )
            await trio.sleep(_BOUNDS.window_s)
            ledger.refill([_TEAM])
            large = terms.AdmissionRequest(_RATE * _LIFE_S + 20_000.0)
            self.assertIsInstance(
                ledger.try_spend(_TEAM, large), terms.Admitted
            )
            self.assertGreater(ledger.describe(_TEAM.name).owed, 10_000.0)

        self.run_clocked(scenario)

    def test_late_requests_leave_quota_to_requests_on_time(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            await _fill(ledger)
            # Demand above the refill rate.
            ledger.try_spend(_TEAM, terms.AdmissionRequest(2 * _RATE))
            late = _count_admitted(
                ledger, terms.AdmissionRequest(500.0, is_late=True)
            )
            on_time = _count_admitted(ledger, terms.AdmissionRequest(500.0))
            self.assertGreater(late, 10)
            self.assertGreater(on_time, 0.8 * late)

        self.run_clocked(scenario)

    def test_a_late_request_is_served_while_there_is_enough_for_all(
        self,
    ) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            await _fill(ledger)
            ledger.try_spend(
                _TEAM, terms.AdmissionRequest(0.6 * _RATE * _LIFE_S)
            )
            await trio.sleep(0.8)
            request = terms.AdmissionRequest(200.0, is_late=True)
            self.assertIsInstance(
                ledger.try_spend(_TEAM, request), terms.Admitted
            )

        self.run_clocked(scenario)

    def test_transferred_quota_leaves_the_sender_and_still_expires(
        self,
    ) -> None:
        async def scenario() -> None:
            sender = allowance_fleet.build_ledger(0.5)
            receiver = allowance_fleet.build_ledger(0.0)
            receiver.refill([_TEAM])
            await _fill(sender)
            sent_at = trio.current_time()
            available = sender.describe(_TEAM.name).there
            balance = sharing.QuotaBalance(0.0, 20_000.0)
            sender.apply_balances("b", 7, {_TEAM.name: balance})
            transfer = sender.create_transfers([_TEAM])["b"]
            transferred = sum(units for units, _ in transfer.lots[_TEAM.name])
            self.assertEqual(7, transfer.heard)
            self.assertAlmostEqual(
                available - transferred, sender.describe(_TEAM.name).there
            )
            receiver.accept_transfer(transfer, sent_at)
            self.assertAlmostEqual(
                transferred, receiver.describe(_TEAM.name).there
            )
            await trio.sleep(_LIFE_S)
            receiver.refill([_TEAM])
            self.assertEqual(0.0, receiver.describe(_TEAM.name).there)

        self.run_clocked(scenario)

    def test_a_transfer_that_arrives_after_its_expiry_adds_nothing(
        self,
    ) -> None:
        async def scenario() -> None:
            receiver = allowance_fleet.build_ledger(0.0)
            receiver.refill([_TEAM])
            sent_at = trio.current_time()
            await trio.sleep(2.0)
            receiver.accept_transfer(
                quota_ledger.QuotaTransfer(1, {_TEAM.name: [(900.0, 0.9)]}),
                sent_at,
            )
            self.assertEqual(0.0, receiver.describe(_TEAM.name).there)

        self.run_clocked(scenario)

    def test_no_quota_is_transferred_to_silent_daemons(self) -> None:
        async def scenario() -> None:
            sender = allowance_fleet.build_ledger(0.5)
            await _fill(sender)
            sender.apply_balances(
                "b", 1, {_TEAM.name: sharing.QuotaBalance(0.0, 20_000.0)}
            )
            await trio.sleep(1.5)
            self.assertEqual({}, sender.create_transfers([_TEAM]))

        self.run_clocked(scenario)

    def test_callers_refused_together_get_increasing_retry_delays(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            ledger.refill([_TEAM])
            delays = [ledger.schedule_retry(_TEAM, 10_000.0) for _ in range(8)]
            self.assertEqual(sorted(delays), delays)
            self.assertGreater(delays[7], delays[0] + 1.0)
            self.assertLessEqual(delays[7], 4.0)

        self.run_clocked(scenario)

    def test_a_reduced_share_applies_since_the_last_refill(
        self,
    ) -> None:
        async def scenario() -> None:
            shares = [0.5]
            share_tracker = refill_shares.RefillShares(
                lambda: refill_shares.RateShare(shares[0], -math.inf),
                _BOUNDS.window_s,
            )
            ledger = quota_ledger.create_quota_ledger(
                _BOUNDS, share_tracker, lambda: None
            )
            ledger.refill([_TEAM])
            await trio.sleep(0.4)
            shares[0] = 0.25
            ledger.refill([_TEAM])
            self.assertAlmostEqual(
                0.4 * 0.25 * _RATE, ledger.describe(_TEAM.name).there, delta=1.0
            )

        self.run_clocked(scenario)


class _RemoteHub:
    """Implements `gate.QuotaHolders` with one decision."""

    def __init__(self, decision: terms.AdmissionDecision | None) -> None:
        self.asked: list[tuple[str, terms.AdmissionRequest]] = []
        self._decision = decision

    def holds_quota_here(self) -> bool:
        """Return False: a hub holds the quota."""
        return False

    async def ask(
        self, team: str, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return the decision."""
        self.asked.append((team, request))
        return self._decision

    async def ask_address(
        self, address: str, team: str, request: terms.AdmissionRequest
    ) -> terms.AdmissionDecision | None:
        """Return the decision."""
        self.asked.append((address, request))
        return self._decision


class AllowanceGateTest(clocked.ClockedTestCase):
    def _build(
        self,
        ledger: quota_ledger.QuotaLedger,
        holders: gate.QuotaHolders | None = None,
    ) -> gate.AllowanceGate:
        holders = holders or allowance_fleet.LocalQuota()
        return gate.create_gate(ledger, holders)

    def test_a_request_waits_for_a_transfer(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger(0.0)
            ledger.refill([_TEAM])
            quota_gate = self._build(ledger)
            ledger.apply_balances(
                "b", 1, {_TEAM.name: sharing.QuotaBalance(9_000.0, 0.0)}
            )
            sent_at = trio.current_time()
            decisions: list[bool] = []

            async def ask() -> None:
                decision = await quota_gate.acquire(
                    _TEAM, terms.AdmissionRequest(500.0)
                )
                decisions.append(decision.is_admitted)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.08)
                needed = ledger.list_balances()[_TEAM.name].needed
                self.assertAlmostEqual(500.0, needed)
                transfer = quota_ledger.QuotaTransfer(
                    1, {_TEAM.name: [(600.0, 0.9)]}
                )
                ledger.accept_transfer(transfer, sent_at)
            self.assertEqual([True], decisions)
            self.assertEqual(0.0, ledger.list_balances()[_TEAM.name].needed)

        self.run_clocked(scenario)

    def test_a_resumed_stream_gets_quota_before_new_requests(self) -> None:
        async def scenario() -> None:
            # As after a restart: nothing is there and nothing is overdrawn.
            ledger = allowance_fleet.build_ledger(0.125)
            quota_gate = self._build(ledger)
            admitted: dict[bool, int] = {True: 0, False: 0}

            async def ask(units: float, *, is_resuming: bool) -> None:
                decision = await quota_gate.acquire(
                    _TEAM,
                    terms.AdmissionRequest(
                        units, max_wait_s=1.5, is_resuming=is_resuming
                    ),
                )
                admitted[is_resuming] += decision.is_admitted

            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(lambda: ask(1_500.0, is_resuming=True))
                for _ in range(100):
                    nursery.start_soon(lambda: ask(300.0, is_resuming=False))
                    await trio.sleep(0.02)
            self.assertEqual(3, admitted[True])
            # New requests get the rest once nobody waits.
            self.assertGreater(admitted[False], 5)

        self.run_clocked(scenario)

    def test_a_resumed_stream_beyond_all_quota_holds_nobody_up(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            await _fill(ledger)
            quota_gate = self._build(ledger)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    quota_gate.acquire,
                    _TEAM,
                    terms.AdmissionRequest(
                        10_000_000.0, max_wait_s=1.5, is_resuming=True
                    ),
                )
                await trio.sleep(0.5)
                decision = await quota_gate.acquire(
                    _TEAM, terms.AdmissionRequest(100.0)
                )
                self.assertTrue(decision.is_admitted)

        self.run_clocked(scenario)

    def test_a_request_is_refused_when_no_transfer_arrives(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger(0.0)
            ledger.refill([_TEAM])
            quota_gate = self._build(ledger)
            ledger.apply_balances(
                "b", 1, {_TEAM.name: sharing.QuotaBalance(9_000.0, 0.0)}
            )
            started = trio.current_time()
            decision = await quota_gate.acquire(
                _TEAM, terms.AdmissionRequest(500.0)
            )
            self.assertGreater(decision.retry_s, 0.0)
            self.assertLessEqual(trio.current_time() - started, 0.21)

        self.run_clocked(scenario)

    def test_a_request_is_refused_at_once_when_no_daemon_holds_quota(
        self,
    ) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger(0.0)
            ledger.refill([_TEAM])
            quota_gate = self._build(ledger)
            ledger.apply_balances(
                "b", 1, {_TEAM.name: sharing.QuotaBalance(10.0, 0.0)}
            )
            started = trio.current_time()
            decision = await quota_gate.acquire(
                _TEAM, terms.AdmissionRequest(500.0)
            )
            self.assertGreater(decision.retry_s, 0.0)
            self.assertEqual(started, trio.current_time())

        self.run_clocked(scenario)

    def test_a_daemon_without_quota_has_a_hub_decide(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            await _fill(ledger)
            hub = _RemoteHub(terms.AdmissionDecision(0.7, kept_at="hub"))
            quota_gate = self._build(ledger, hub)
            decision = await quota_gate.acquire(
                _TEAM, terms.AdmissionRequest(500.0)
            )
            self.assertEqual(0.7, decision.retry_s)
            self.assertEqual(
                [(_TEAM.name, terms.AdmissionRequest(500.0))], hub.asked
            )

        self.run_clocked(scenario)

    def test_a_hub_waits_for_shares_that_are_yet_to_be_delegated(self) -> None:
        async def scenario() -> None:
            shares = [0.0]
            share_tracker = refill_shares.RefillShares(
                lambda: refill_shares.RateShare(shares[0], -math.inf),
                _BOUNDS.window_s,
            )
            ledger = quota_ledger.create_quota_ledger(
                _BOUNDS, share_tracker, lambda: None
            )
            ledger.refill([_TEAM])
            quota_gate = self._build(ledger)
            quota_gate.lacks_shares = lambda: shares[0] == 0.0
            decisions: list[terms.AdmissionDecision] = []

            async def ask() -> None:
                request = terms.AdmissionRequest(500.0, max_wait_s=1.0)
                decisions.append(await quota_gate.acquire(_TEAM, request))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.4)
                self.assertEqual([], decisions)
                shares[0] = 1.0
                await trio.sleep(0.2)
            self.assertTrue(decisions[0].is_admitted)
            # A request waits no longer than its `max_wait_s`.
            shares[0] = 0.0
            ledger.try_spend(_TEAM, terms.AdmissionRequest(10 * _RATE))
            started = trio.current_time()
            request = terms.AdmissionRequest(9 * _RATE, max_wait_s=0.3)
            decision = await quota_gate.acquire(_TEAM, request)
            self.assertFalse(decision.is_admitted)
            self.assertLess(trio.current_time() - started, 0.4)

        self.run_clocked(scenario)

    def test_local_quota_decides_when_no_hub_answers(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger()
            await _fill(ledger)
            quota_gate = self._build(ledger, _RemoteHub(None))
            decision = await quota_gate.acquire(
                _TEAM, terms.AdmissionRequest(500.0)
            )
            self.assertTrue(decision.is_admitted)

        self.run_clocked(scenario)

    def test_a_team_without_a_rate_is_never_refused(self) -> None:
        async def scenario() -> None:
            ledger = allowance_fleet.build_ledger(0.0)
            quota_gate = self._build(ledger)
            request = terms.AdmissionRequest(1e9)
            decision = await quota_gate.acquire(builders.build_team(), request)
            self.assertTrue(decision.is_admitted)

        self.run_clocked(scenario)
