"""Guard against orders that wait for traffic although teams are known."""

from __future__ import annotations

import testtools
import trio

from martenquay_core.serving import catalog
from martenquay_daemon.duties import expected_demand
from tests import capacity_case
from tests import serving_builders as builders

_ENGINE = catalog.EngineTraits(slots=64, kv_tokens=550_000)


def _build_teams() -> tuple[catalog.Team, ...]:
    """Return teams with 300,000 tokens a second in total."""
    return (
        builders.build_team(name="a", rate=200_000.0, counts_tokens=True),
        builders.build_team(name="b", rate=100_000.0, counts_tokens=True),
        builders.build_team(name="c", rate=5_000_000.0),
        builders.build_team(name="d", counts_tokens=True),
    )


def _build_engine_service(name: str) -> catalog.Service:
    return builders.build_service(
        name=name, engine=_ENGINE, scaling=builders.build_scaling()
    )


class FindExpectedRateTest(testtools.TestCase):
    def _find(self, share: float, **services: catalog.Service) -> float:
        content = builders.build_catalog(
            services=services, teams=_build_teams()
        )
        return expected_demand.find_expected_rate(content, "model", share)

    def test_only_limits_in_tokens_count(self) -> None:
        """A limit in requests would count as a tiny or huge demand."""
        rate = self._find(0.5, model=_build_engine_service("model"))
        self.assertEqual(150_000.0, rate)

    def test_without_the_setting_nothing_is_expected(self) -> None:
        rate = self._find(0.0, model=_build_engine_service("model"))
        self.assertEqual(0.0, rate)

    def test_the_sum_is_divided_over_services_that_can_be_scaled(self) -> None:
        """Each service would otherwise get runners for all teams."""
        rate = self._find(
            0.5,
            model=_build_engine_service("model"),
            other=_build_engine_service("other"),
            desk=builders.build_service(),
            fixed=builders.build_service(name="fixed", engine=_ENGINE),
        )
        self.assertEqual(75_000.0, rate)

    def test_a_service_that_cannot_be_scaled_expects_nothing(self) -> None:
        fixed = builders.build_service(name="model", engine=_ENGINE)
        self.assertEqual(0.0, self._find(0.5, model=fixed))


class ExpectedDemandTest(capacity_case.CapacityCase):
    def setUp(self) -> None:
        super().setUp()
        self.content = {"teams": _build_teams()}
        self.expected_share = 0.5

    def test_runners_for_expected_demand_are_ordered_before_traffic(
        self,
    ) -> None:
        """Runners ordered at the first request serve a boot time later."""

        async def scenario() -> None:
            await trio.sleep(4.5)
            # 150,000 / (30,000 x 0.65) needs 8 that remain without one of
            # three zones.
            for zone in "abc":
                last = self.find_last_order(zone, is_reclaimable=True)
                self.assertEqual(4, last)

        self.run_scenario(scenario)

    def test_without_the_setting_only_initial_runners_are_kept(self) -> None:
        self.expected_share = 0.0

        async def scenario() -> None:
            await trio.sleep(20.0)
            last = self.find_last_order("a", is_reclaimable=True)
            self.assertEqual(3, last)

        self.run_scenario(scenario)

    def test_expected_demand_holds_until_traffic_comes(self) -> None:
        async def scenario() -> None:
            await trio.sleep(60.0)
            last = self.find_last_order("a", is_reclaimable=True)
            self.assertEqual(4, last)

        self.run_scenario(scenario)

    def test_expected_demand_is_dropped_after_the_warm_up(self) -> None:
        """An assumption too high would otherwise be paid for all day."""

        async def scenario() -> None:
            await trio.sleep(4.5)
            await self.send_prompts_at_known_speed(40.0, 10_000.0)
            last = self.find_last_order("a", is_reclaimable=True)
            self.assertLess(last, 4)

        self.run_scenario(scenario)
