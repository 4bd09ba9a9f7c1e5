"""A greedy team's quota goes to the requests to which it is entitled.

Guards against quota that is spent for whichever requests come while some is
left: a team at six times its rate then got its units, but was refused three
quarters of the requests that one exact token bucket admits.
"""

from __future__ import annotations

import dataclasses

import testtools
import trio

from martenquay_daemon.allowances import (
    entitlement,
    quota_ledger,
    team_account,
    terms,
)
from tests import (
    allowance_days,
    allowance_fleet,
    clocked,
    entitlement_days,
)
from tests import entitlement as comparison
from tests import serving_builders as builders

_TEAM = builders.build_team(rate=100.0, burst=50.0)


def _create_meter(
    demand: entitlement.FleetDemand, lasts_s: float
) -> entitlement.EntitlementMeter:
    """Return the meter of a team whose demand was constant for a time."""
    meter = entitlement.EntitlementMeter(0.0)
    for step in range(1, int(10 * lasts_s) + 1):
        meter.update(step / 10, _TEAM, demand)
    return meter


class ReplayTest(testtools.TestCase):
    def test_an_exact_bucket_admits_its_burst_and_then_its_rate(self) -> None:
        attempts = [
            comparison.Attempt(number, at_s, _TEAM, 30.0)
            for number, at_s in enumerate([0.0, 0.0, 0.05, 0.1, 0.5, 0.5])
        ]
        self.assertEqual({0, 3, 4}, comparison.replay_bucket(attempts))

    def test_only_entitled_requests_count_as_served(self) -> None:
        attempts = [
            comparison.Attempt(number, at_s, _TEAM, 50.0)
            for number, at_s in enumerate([0.0, 0.1, 2.0])
        ]
        found = comparison.compare_team(attempts, {1, 2}, _TEAM, 0.0, 8.0)
        self.assertEqual((2, 1), (found.entitled, found.served))
        self.assertEqual(0.5, found.served_ratio)
        self.assertEqual(1.0, found.spent_ratio)


class EntitlementMeterTest(testtools.TestCase):
    def test_the_bucket_has_this_daemons_part_of_the_rate(self) -> None:
        meter = _create_meter(entitlement.FleetDemand(100.0, 300.0), 2.0)
        # A quarter of the burst.
        self.assertTrue(meter.try_take(12.0))
        self.assertFalse(meter.try_take(12.0))
        meter.update(2.4, _TEAM, entitlement.FleetDemand(100.0, 300.0))
        self.assertTrue(meter.try_take(10.0))
        self.assertFalse(meter.try_take(2.0))

    def test_a_request_larger_than_this_daemons_part_is_not_starved(
        self,
    ) -> None:
        """Of six daemons none would ever admit the largest prompts."""
        demand = entitlement.FleetDemand(100.0, 300.0)
        meter = _create_meter(demand, 2.0)
        self.assertTrue(meter.try_take(40.0))
        # It is paid for before anything else is entitled here.
        meter.update(3.0, _TEAM, demand)
        self.assertFalse(meter.try_take(10.0))
        meter.update(4.0, _TEAM, demand)
        self.assertTrue(meter.try_take(10.0))

    def test_a_request_that_is_not_entitled_takes_nothing(self) -> None:
        meter = _create_meter(entitlement.FleetDemand(100.0, 0.0), 2.0)
        self.assertFalse(meter.try_take(60.0))
        self.assertTrue(meter.try_take(50.0))

    def test_a_team_at_its_rate_is_not_over_its_entitlement(self) -> None:
        demand = entitlement.FleetDemand(60.0, 40.0)
        self.assertFalse(_create_meter(demand, 20.0).is_over(_TEAM))

    def test_a_steep_rise_is_noticed_at_once(self) -> None:
        demand = entitlement.FleetDemand(300.0, 300.0)
        self.assertTrue(_create_meter(demand, 0.1).is_over(_TEAM))

    def test_a_lasting_excess_below_the_burst_is_noticed(self) -> None:
        demand = entitlement.FleetDemand(90.0, 90.0)
        self.assertFalse(_create_meter(demand, 1.0).is_over(_TEAM))
        self.assertTrue(_create_meter(demand, 20.0).is_over(_TEAM))


class TeamAccountTest(testtools.TestCase):
    def test_sparse_requests_are_averaged_over_the_time_between(self) -> None:
        """A team below its rate was taken as over it, and refused."""
        policy = team_account.RefillPolicy(
            _TEAM, terms.ToleranceBounds(8.0, 0.1, 0.0), 100.0, 1.0
        )
        account = team_account.create_account(policy, 0.0, 0.0)
        for number in range(1, 21):
            # 50 units a second, as one request every 4 s.
            account.record_demand(4.0 * number, 200.0, 0.0)
        self.assertLess(account.entitlement.own_demand, 60.0)
        self.assertFalse(account.entitlement.is_over(_TEAM))


class GreedyLedgerTest(clocked.ClockedTestCase):
    """One ledger with all quota of a team that asks for too much."""

    async def _overload(
        self, request: terms.AdmissionRequest
    ) -> quota_ledger.QuotaLedger:
        """Return a ledger after such requests at eight times the rate."""
        ledger = allowance_fleet.build_ledger()
        ledger.refill([allowance_fleet.TEAM])
        # From then on it may overdraw.
        await trio.sleep(allowance_fleet.BOUNDS.window_s)
        interval_s = request.units / (8 * allowance_fleet.TEAM.rate)
        for _ in range(int(1.0 / interval_s)):
            ledger.try_spend(allowance_fleet.TEAM, request)
            await trio.sleep(interval_s)
        return ledger

    def test_requests_beyond_the_entitlement_leave_units_to_entitled_ones(
        self,
    ) -> None:
        async def scenario() -> None:
            ledger = await self._overload(terms.AdmissionRequest(8_000.0))
            self.assertEqual(
                terms.Refused(is_beyond=True),
                ledger.try_spend(
                    allowance_fleet.TEAM, terms.AdmissionRequest(8_000.0)
                ),
            )
            owed = ledger.describe(allowance_fleet.TEAM.name).owed
            self.assertGreater(owed, 0.0)
            # The rate of 0.02 s, which an exact bucket admits.
            await trio.sleep(0.02)
            self.assertEqual(
                terms.Admitted(),
                ledger.try_spend(
                    allowance_fleet.TEAM,
                    terms.AdmissionRequest(900.0, reserve=2),
                ),
            )

        self.run_clocked(scenario)

    def test_the_least_urgent_and_largest_are_refused_first(self) -> None:
        async def scenario() -> None:
            levels = {}
            for units, reserve in ((2_000.0, 0), (2_000.0, 2), (12_000.0, 0)):
                request = terms.AdmissionRequest(units, reserve)
                ledger = await self._overload(request)
                status = ledger.describe(allowance_fleet.TEAM.name)
                levels[units, reserve] = status.there - status.owed
            # The lower the level, the longer such requests were admitted.
            self.assertLess(levels[2_000.0, 0], levels[2_000.0, 2])
            self.assertLess(levels[2_000.0, 0], levels[12_000.0, 0])

        self.run_clocked(scenario)

    def test_a_caller_that_returns_when_told_finds_its_units(self) -> None:
        async def scenario() -> None:
            ledger = await self._overload(terms.AdmissionRequest(2_000.0))
            request = terms.AdmissionRequest(3_000.0)
            team = allowance_fleet.TEAM
            self.assertIsInstance(
                ledger.try_spend(team, request), terms.Refused
            )
            retry_s = ledger.schedule_retry(team, 3_000.0, is_beyond=True)
            self.assertLess(retry_s, allowance_fleet.BOUNDS.window_s)
            # New requests keep coming, and take what they can.
            new = terms.AdmissionRequest(3_000.0)
            for _ in range(int(retry_s / 0.01)):
                ledger.try_spend(team, new)
                await trio.sleep(0.01)
            await trio.sleep(0.02)
            returning = dataclasses.replace(request, is_returning=True)
            self.assertEqual(
                terms.Admitted(), ledger.try_spend(team, returning)
            )

        self.run_clocked(scenario)


class GreedyDayTest(testtools.TestCase):
    """Six daemons, a team at six times its rate beside two within theirs."""

    def _play(
        self, *, is_one_zone: bool = False, has_cut: bool = False
    ) -> allowance_days.Played:
        outline = entitlement_days.DayOutline(0, 6, is_one_zone, has_cut)
        return entitlement_days.play_outline(outline)

    def _check(
        self, played: allowance_days.Played, greedy: float, modest: float
    ) -> None:
        """Check the ratios of entitled requests that are served."""
        found = entitlement_days.compare_all(played)
        self.assertGreater(
            found[allowance_fleet.TEAM.name].served_ratio, greedy
        )
        for team in entitlement_days.MODEST_TEAMS:
            self.assertGreater(found[team.name].served_ratio, modest)
        most = allowance_days.find_most_spent(
            played.spent, allowance_fleet.BOUNDS.window_s
        )
        self.assertLess(most, allowance_fleet.find_bound())

    def test_entitled_requests_are_served_from_callers_in_all_zones(
        self,
    ) -> None:
        self._check(self._play(), 0.75, 0.97)

    def test_entitled_requests_are_served_from_callers_in_one_zone(
        self,
    ) -> None:
        self._check(self._play(is_one_zone=True), 0.78, 0.97)

    def test_entitled_requests_are_served_while_a_zone_is_cut_off(self) -> None:
        self._check(self._play(has_cut=True), 0.65, 0.9)
