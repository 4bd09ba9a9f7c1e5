"""Enough runners serve when a zone is reclaimed, and the cheap ones first."""

from __future__ import annotations

import dataclasses

import testtools
from hypothesis import given
from hypothesis import strategies as st

from martenquay_daemon.duties import capacity_plan
from tests import serving_builders as builders

_ZONES = ("a", "b", "c")


def _build_state(
    reclaimable: str = "",
    on_demand: str = "",
    booting: tuple[capacity_plan.BootingRunners, ...] = (),
    **limits,
) -> capacity_plan.ServiceState:
    """Return a state with a runner in each zone that is named."""
    kinds = [(zone, True) for zone in reclaimable]
    kinds += [(zone, False) for zone in on_demand]
    found = tuple(
        builders.build_runner(
            id=f"r-{number}", zone=zone, is_reclaimable=is_reclaimable
        )
        for number, (zone, is_reclaimable) in enumerate(kinds)
    )
    scaling = builders.build_scaling(**limits)
    return capacity_plan.ServiceState(scaling, _ZONES, found, booting)


class PlanTest(testtools.TestCase):
    def _plan(
        self,
        state: capacity_plan.ServiceState,
        required: int,
        desired: int = 0,
    ) -> tuple[list[int], list[int]]:
        target = capacity_plan.CapacityTarget(required, desired)
        reclaimable = capacity_plan.plan_reclaimable(state, target)
        on_demand = capacity_plan.plan_on_demand(state, target)
        return [o.wanted for o in reclaimable], [o.wanted for o in on_demand]

    def test_reclaimable_ones_are_spread_so_that_one_zone_may_go(self) -> None:
        reclaimable, on_demand = self._plan(_build_state("aabbcc"), 4)
        self.assertEqual([2, 2, 2], reclaimable)
        self.assertEqual([0, 0, 0], on_demand)

    def test_on_demand_ones_stay_until_the_others_serve(self) -> None:
        _, on_demand = self._plan(_build_state("", "abc"), 3)
        self.assertEqual([1, 1, 1], on_demand)
        _, on_demand = self._plan(_build_state("a", "abc"), 3)
        self.assertEqual(3, sum(on_demand))
        _, on_demand = self._plan(_build_state("aabbcc", "abc"), 3)
        self.assertEqual(0, sum(on_demand))

    def test_after_a_reclaim_the_next_one_is_provided_for(self) -> None:
        _, on_demand = self._plan(_build_state("bbcc"), 3)
        self.assertEqual(1, sum(on_demand))
        _, on_demand = self._plan(_build_state("cc"), 3)
        self.assertEqual(3, sum(on_demand))

    def test_one_that_serves_is_kept_before_a_cheaper_one_is_bought(
        self,
    ) -> None:
        _, on_demand = self._plan(_build_state("bbcc", "b"), 3)
        self.assertEqual([0, 1, 0], on_demand)

    def test_only_cheap_runners_are_had_for_comfort(self) -> None:
        reclaimable, on_demand = self._plan(_build_state("abc"), 2, 4)
        self.assertEqual([2, 2, 2], reclaimable)
        self.assertEqual([0, 0, 0], on_demand)

    def test_what_boots_is_neither_bought_again_nor_counted_as_serving(
        self,
    ) -> None:
        booting = (capacity_plan.BootingRunners("a", True, 2),)
        _, on_demand = self._plan(_build_state("bbcc", "", booting), 3)
        self.assertEqual([0, 0, 0], on_demand)
        _, on_demand = self._plan(_build_state("bbcc", "b", booting), 3)
        self.assertEqual([0, 1, 0], on_demand)

    def test_while_none_are_to_be_had_those_that_serve_are_not_certain(
        self,
    ) -> None:
        state = _build_state("bbbccc")
        self.assertEqual(0, sum(self._plan(state, 3)[1]))
        exhausted = dataclasses.replace(state, is_out_of_reclaimable=True)
        self.assertEqual(3, sum(self._plan(exhausted, 3)[1]))

    def test_an_on_demand_one_that_boots_stays_where_it_was_ordered(
        self,
    ) -> None:
        booting = (capacity_plan.BootingRunners("b", False, 1),)
        _, on_demand = self._plan(_build_state("bbcc", "", booting), 3)
        self.assertEqual([0, 1, 0], on_demand)

    @given(
        st.lists(st.sampled_from("abc"), max_size=9),
        st.lists(st.sampled_from("abc"), max_size=9),
        st.integers(1, 20),
    )
    def test_limits_hold_for_both_kinds_together(
        self, reclaimable: list[str], on_demand: list[str], required: int
    ) -> None:
        state = _build_state("".join(reclaimable), "".join(on_demand))
        target = capacity_plan.CapacityTarget(required, required)
        most = state.limits.most
        for order in capacity_plan.plan_reclaimable(state, target):
            on_demand_count = state.count_serving(
                order.zone, is_reclaimable=False
            )
            self.assertLessEqual(order.wanted, max(0, most - on_demand_count))
            self.assertGreaterEqual(
                order.wanted + on_demand_count, state.limits.least
            )
        for order in capacity_plan.plan_on_demand(state, target):
            reclaimable_count = state.count_serving(
                order.zone, is_reclaimable=True
            )
            self.assertLessEqual(order.wanted, max(0, most - reclaimable_count))

    @given(st.lists(st.sampled_from("abc"), max_size=9), st.integers(1, 20))
    def test_no_runner_that_serves_is_given_up_for_a_dearer_one(
        self, reclaimable: list[str], required: int
    ) -> None:
        state = _build_state("".join(reclaimable))
        most = state.limits.most
        target = capacity_plan.CapacityTarget(required, required)
        for order in capacity_plan.plan_on_demand(state, target):
            serving = state.count_serving(order.zone, is_reclaimable=True)
            if order.wanted and serving <= most:
                self.assertLessEqual(serving + order.wanted, most)


class NeedTest(testtools.TestCase):
    def test_the_larger_of_reading_and_slots_decides(self) -> None:
        prefill_bound = capacity_plan.ServiceDemand(45_000.0, 1, 30_000.0)
        slot_bound = capacity_plan.ServiceDemand(10.0, 200, 30_000.0)
        self.assertEqual(3, prefill_bound.count_required(128))
        self.assertEqual(4, slot_bound.count_desired(128))

    def test_engines_that_name_a_limit_are_parts_of_engines(self) -> None:
        service_demand = capacity_plan.ServiceDemand(45_000.0, 1, 30_000.0)
        # One engine reads 19,500 tokens a second, so 10 requests of 1,950.
        self.assertEqual(0, service_demand.count_lost_to_limits([], 1950.0))
        self.assertEqual(0, service_demand.count_lost_to_limits([50.0], 1950.0))
        self.assertEqual(1, service_demand.count_lost_to_limits([1.0], 1950.0))
        self.assertEqual(
            2, service_demand.count_lost_to_limits([0.0, 1.0, 9.0], 1950.0)
        )
        self.assertEqual(0, service_demand.count_lost_to_limits([0.0], 0.0))

    def test_cheap_runners_leave_more_slots_free_than_dear_ones(self) -> None:
        service_demand = capacity_plan.ServiceDemand(10.0, 240, 30_000.0)
        self.assertEqual(3, service_demand.count_required(128))
        self.assertEqual(4, service_demand.count_desired(128))

    def test_a_backlog_takes_runners_beside_what_comes_in(self) -> None:
        service_demand = capacity_plan.ServiceDemand(
            15_000.0, 1, 30_000.0, unread_tokens=60_000
        )
        self.assertEqual(1, service_demand.count_required(128))
        self.assertEqual(2, service_demand.count_desired(128))

    def test_one_runner_is_always_needed(self) -> None:
        service_demand = capacity_plan.ServiceDemand(0.0, 0, 30_000.0)
        self.assertEqual(1, service_demand.count_required(128))
