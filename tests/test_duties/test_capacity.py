"""Guard against too few runners after a reclaim and needless on-demand ones."""

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
    """Return a state with one runner per zone letter given."""
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

    def test_reclaimable_runners_are_spread_to_survive_the_loss_of_a_zone(
        self,
    ) -> None:
        reclaimable, on_demand = self._plan(_build_state("aabbcc"), 4)
        self.assertEqual([2, 2, 2], reclaimable)
        self.assertEqual([0, 0, 0], on_demand)

    def test_on_demand_runners_stay_until_reclaimable_ones_serve(self) -> None:
        _, on_demand = self._plan(_build_state("", "abc"), 3)
        self.assertEqual([1, 1, 1], on_demand)
        _, on_demand = self._plan(_build_state("a", "abc"), 3)
        self.assertEqual(3, sum(on_demand))
        _, on_demand = self._plan(_build_state("aabbcc", "abc"), 3)
        self.assertEqual(0, sum(on_demand))

    def test_after_a_reclaim_on_demand_runners_cover_the_next_one(self) -> None:
        _, on_demand = self._plan(_build_state("bbcc"), 3)
        self.assertEqual(1, sum(on_demand))
        _, on_demand = self._plan(_build_state("cc"), 3)
        self.assertEqual(3, sum(on_demand))

    def test_a_serving_on_demand_runner_is_kept_before_a_cheaper_zone(
        self,
    ) -> None:
        _, on_demand = self._plan(_build_state("bbcc", "b"), 3)
        self.assertEqual([0, 1, 0], on_demand)

    def test_headroom_uses_reclaimable_runners_only(self) -> None:
        reclaimable, on_demand = self._plan(_build_state("abc"), 2, 4)
        self.assertEqual([2, 2, 2], reclaimable)
        self.assertEqual([0, 0, 0], on_demand)

    def test_booting_runners_are_neither_reordered_nor_counted_as_serving(
        self,
    ) -> None:
        booting = (capacity_plan.BootingRunners("a", True, 2),)
        _, on_demand = self._plan(_build_state("bbcc", "", booting), 3)
        self.assertEqual([0, 0, 0], on_demand)
        _, on_demand = self._plan(_build_state("bbcc", "b", booting), 3)
        self.assertEqual([0, 1, 0], on_demand)

    def test_without_reclaimable_supply_serving_ones_do_not_count(
        self,
    ) -> None:
        state = _build_state("bbbccc")
        self.assertEqual(0, sum(self._plan(state, 3)[1]))
        exhausted = dataclasses.replace(state, is_out_of_reclaimable=True)
        self.assertEqual(3, sum(self._plan(exhausted, 3)[1]))

    def test_slow_runners_do_not_count_as_whole_ones(self) -> None:
        # Six runners survive the loss of a zone as four heads, but the fast
        # ones may all be in the zone that is lost.
        state = _build_state("aabbcc")
        self.assertEqual(0, sum(self._plan(state, 4)[1]))
        fast = dict.fromkeys(("r-0", "r-1"), 1.6)
        slow = dict.fromkeys(("r-2", "r-3", "r-4", "r-5"), 0.7)
        uneven = dataclasses.replace(state, speeds=fast | slow)
        self.assertAlmostEqual(1.0, uneven.find_mean_speed())
        self.assertEqual(2, sum(self._plan(uneven, 4)[1]))

    def test_equal_speeds_plan_as_unknown_ones(self) -> None:
        state = _build_state("aaabbc", "c")
        for speed in (0.6, 1.0, 1.6):
            speeds = {one.id: speed for one in state.runners}
            known = dataclasses.replace(state, speeds=speeds)
            for required in range(1, 9):
                self.assertEqual(
                    self._plan(state, required), self._plan(known, required)
                )

    def test_a_booting_on_demand_runner_stays_in_its_zone(
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
    def test_no_reclaimable_runner_is_displaced_by_an_on_demand_one(
        self, reclaimable: list[str], required: int
    ) -> None:
        state = _build_state("".join(reclaimable))
        most = state.limits.most
        target = capacity_plan.CapacityTarget(required, required)
        for order in capacity_plan.plan_on_demand(state, target):
            serving = state.count_serving(order.zone, is_reclaimable=True)
            if order.wanted and serving <= most:
                self.assertLessEqual(serving + order.wanted, most)


class ServiceDemandTest(testtools.TestCase):
    def test_the_larger_of_prefill_and_slot_demand_counts(self) -> None:
        prefill_bound = capacity_plan.ServiceDemand(45_000.0, 1, 30_000.0)
        slot_bound = capacity_plan.ServiceDemand(10.0, 200, 30_000.0)
        self.assertEqual(3, prefill_bound.count_required(128))
        self.assertEqual(4, slot_bound.count_desired(128))

    def test_slower_runners_than_the_service_learnt_from_need_more(
        self,
    ) -> None:
        # 13,000 tokens per second of work, 0.65 of 10,000 by each runner.
        usual = capacity_plan.ServiceDemand(13_000, 10, 10_000)
        self.assertEqual(2, usual.count_required(64))
        slow = dataclasses.replace(usual, mean_speed=0.8)
        self.assertEqual(3, slow.count_required(64))
        # Slots hold as many requests at a slow runner.
        full = capacity_plan.ServiceDemand(0, 400, 10_000, mean_speed=0.8)
        self.assertEqual(10, full.count_required(64))

    def test_rate_limited_runners_count_as_fractions(self) -> None:
        service_demand = capacity_plan.ServiceDemand(45_000.0, 1, 30_000.0)
        # One engine takes 19,500 tokens or 10 requests of 1,950 a second.
        self.assertEqual(0, service_demand.count_lost_to_limits([], 1950.0))
        self.assertEqual(0, service_demand.count_lost_to_limits([50.0], 1950.0))
        self.assertEqual(1, service_demand.count_lost_to_limits([1.0], 1950.0))
        self.assertEqual(
            2, service_demand.count_lost_to_limits([0.0, 1.0, 9.0], 1950.0)
        )
        self.assertEqual(0, service_demand.count_lost_to_limits([0.0], 0.0))

    def test_desired_runners_leave_more_slots_free_than_required_ones(
        self,
    ) -> None:
        service_demand = capacity_plan.ServiceDemand(10.0, 240, 30_000.0)
        self.assertEqual(3, service_demand.count_required(128))
        self.assertEqual(4, service_demand.count_desired(128))

    def test_a_backlog_needs_runners_in_addition_to_arrivals(self) -> None:
        service_demand = capacity_plan.ServiceDemand(
            15_000.0, 1, 30_000.0, unread_tokens=60_000
        )
        self.assertEqual(1, service_demand.count_required(128))
        self.assertEqual(2, service_demand.count_desired(128))

    def test_one_runner_is_always_needed(self) -> None:
        service_demand = capacity_plan.ServiceDemand(0.0, 0, 30_000.0)
        self.assertEqual(1, service_demand.count_required(128))
