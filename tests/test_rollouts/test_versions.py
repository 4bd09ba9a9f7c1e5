"""Guard against requests to versions that no order permits."""

from __future__ import annotations

import random

import trio

from martenquay_core.serving import rollouts, runners
from martenquay_daemon.rollouts import canary_budget, registry, versions
from tests import clocked
from tests import serving_builders as builders

# Bound on requests to an undecided version: a fraction of the requests since
# the order, and some more.
_ALLOWED_FRACTION = 0.1
_ALLOWED_EXTRA = 50


def _build_runners(*software: str) -> list[runners.Runner]:
    return [
        builders.build_runner(id=f"r-{number}", service="model", software=one)
        for number, one in enumerate(software)
    ]


class VersionChooserTest(clocked.ClockedTestCase):
    def _create_chooser(
        self, phase: registry.Phase | None = None, **changes
    ) -> None:
        self.registry = registry.RolloutRegistry()
        self.chooser = versions.VersionChooser(
            self.registry, random.Random(1), lambda: 1
        )
        if phase is not None:
            self._order("v2", 3)
            fields = {"version": "v2", "started_ms": 0} | changes
            step = registry.Step("model", 3, phase=phase, **fields)
            self.registry.apply_step(step)

    def _order(self, version: str, offset: int) -> None:
        order = rollouts.RolloutOrder("model", version, 12.0)
        self.registry.apply_order(offset, order)

    def _choose(self, *software: str) -> set[str]:
        found = self.chooser.choose("model", _build_runners(*software))
        return {one.software for one in found}

    def test_runners_that_are_listed_before_their_order_get_nothing(
        self,
    ) -> None:
        async def scenario() -> None:
            self._create_chooser()
            self.assertEqual({"v1"}, self._choose("v1"))
            for _ in range(20):
                self.assertEqual({"v1"}, self._choose("v1", "v2"))
                await trio.sleep(0.2)
            self._order("v2", 3)
            chosen = [self._choose("v1", "v2") for _ in range(100)]
            self.assertIn({"v2"}, chosen)

        self.run_clocked(scenario)

    def test_a_version_without_any_order_serves_after_a_while(self) -> None:
        async def scenario() -> None:
            self._create_chooser()
            self._choose("v1")
            self._choose("v1", "v2")
            await trio.sleep(10.0)
            self.assertEqual({"v1", "v2"}, self._choose("v1", "v2"))

        self.run_clocked(scenario)

    def test_a_daemon_that_starts_with_both_and_no_order_uses_both(
        self,
    ) -> None:
        async def scenario() -> None:
            self._create_chooser()
            self.assertEqual({"v1", "v2"}, self._choose("v1", "v2"))

        self.run_clocked(scenario)

    def test_the_last_runners_serve_whatever_their_version(self) -> None:
        async def scenario() -> None:
            self._create_chooser()
            self._choose("v1")
            self.assertEqual({"v2"}, self._choose("v2"))

        self.run_clocked(scenario)

    def test_after_the_switch_only_the_new_one_gets_requests(self) -> None:
        async def scenario() -> None:
            for phase in (registry.Phase.SWITCHING, registry.Phase.COMPLETED):
                self._create_chooser(phase)
                self.assertEqual({"v2"}, self._choose("v1", "v2"))
                # The new version's runners may be listed late.
                self.assertEqual({"v1"}, self._choose("v1"))

        self.run_clocked(scenario)

    def test_a_rolled_back_version_gets_nothing_even_if_alone(
        self,
    ) -> None:
        async def scenario() -> None:
            self._create_chooser(registry.Phase.ROLLED_BACK, refused=("v2",))
            self.assertEqual({"v1"}, self._choose("v1", "v2"))
            self.assertEqual(set(), self._choose("v2"))

        self.run_clocked(scenario)

    def test_a_version_whose_order_was_replaced_gets_nothing(self) -> None:
        async def scenario() -> None:
            self._create_chooser()
            self._order("v3", 9)
            self.registry.apply_step(
                registry.Step(
                    "model", 9, "v3", registry.Phase.CANARY, 0, ("v2",)
                )
            )
            chosen = set.union(
                *[self._choose("v1", "v2", "v3") for _ in range(200)]
            )
            self.assertEqual({"v1", "v3"}, chosen)

        self.run_clocked(scenario)


class CanaryShareTest(clocked.ClockedTestCase):
    def test_the_bound_holds_for_any_number_of_daemons(self) -> None:
        for daemons in (1, 6, 25, 70, 195, 400):
            for seed in range(20):
                rng = random.Random(seed)
                budgets = [
                    canary_budget.CanaryBudget(rng, daemons)
                    for _ in range(daemons)
                ]
                canary_requests = 0
                for sent in range(1, 3000):
                    if sent == 700:
                        # All daemons restart and lose their state.
                        budgets = [
                            canary_budget.CanaryBudget(rng, daemons)
                            for _ in range(daemons)
                        ]
                    one = rng.choice(budgets)
                    one.earn()
                    canary_requests += one.try_spend()
                    bound = _ALLOWED_FRACTION * sent + _ALLOWED_EXTRA
                    self.assertLessEqual(
                        canary_requests, bound, (daemons, seed, sent)
                    )

    def test_a_daemon_with_few_requests_sends_canaries_too(self) -> None:
        rng = random.Random(1)
        canary_requests = 0
        for _ in range(400):
            one = canary_budget.CanaryBudget(rng, 400)
            for _ in range(5):
                one.earn()
                canary_requests += one.try_spend()
        # 400 daemons with 5 requests each: 0.08 of 2,000, and 20 more.
        self.assertGreater(canary_requests, 120)
        self.assertLess(canary_requests, 250)
