"""The gate rejects only what would be late, and never on idle runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core.settings import gateway
from martenquay_daemon.engines import demand
from martenquay_daemon.overload import gate
from tests import clocked
from tests import overload_builders as builders

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_TRIES = builders.TRIES


class GateTest(clocked.ClockedTestCase):
    def run_gate(
        self, scenario: Callable[[builders.GateScene], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            await scenario(builders.GateScene())

        self.run_clocked(run)

    def test_an_empty_service_admits_all(self) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            self.assertEqual(0, scene.count_shed())

        self.run_gate(scenario)

    def test_what_would_be_late_is_rejected_at_once(self) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            scene.set_backlog(0, seconds=3.0)
            self.assertGreater(scene.count_shed(), 0.9 * _TRIES)

        self.run_gate(scenario)

    def test_less_urgent_work_rejects_no_urgent_request(self) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            scene.set_backlog(2, seconds=3.0)
            self.assertEqual(0, scene.count_shed(urgency=0))
            self.assertGreater(scene.count_shed(urgency=2), 0.9 * _TRIES)

        self.run_gate(scenario)

    def test_the_least_urgent_are_rejected_first(self) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            scene.set_backlog(0, seconds=0.2)
            scene.add_backlog(1, seconds=0.4)
            scene.add_backlog(2, seconds=0.4)
            shed = [scene.count_shed(urgency=u) for u in (0, 1, 2)]
            self.assertEqual(shed, sorted(shed))
            self.assertEqual(0, shed[0])
            self.assertGreater(shed[2], shed[1])

        self.run_gate(scenario)

    def test_a_returning_caller_goes_first(self) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            scene.set_backlog(0, seconds=0.5)
            self.assertLess(
                scene.count_shed(is_retrying=True),
                0.8 * scene.count_shed(is_retrying=False),
            )

        self.run_gate(scenario)

    def test_nothing_is_rejected_before_the_speed_is_learnt(self) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            scene.set_backlog(0, seconds=30.0)
            placement = builders.build_placement(
                is_learnt=False, expected_s=30.0
            )
            self.assertEqual(0, scene.count_shed(placement))

        self.run_gate(scenario)

    def test_nothing_is_rejected_on_idle_runners(self) -> None:
        """A slow runner's queue or a wrong estimate must not reject then."""

        async def scenario(scene: builders.GateScene) -> None:
            placement = builders.build_placement(
                expected_s=30.0, unread_tokens=500_000
            )
            self.assertEqual(0, scene.count_shed(placement))

        self.run_gate(scenario)

    def test_what_misses_its_deadline_is_rejected_with_its_lateness(
        self,
    ) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            scene.set_backlog(2, seconds=1.0)
            shed = scene.gate.check(
                builders.build_request(remaining_s=2.0),
                builders.build_placement(expected_s=6.0),
            )
            assert shed is not None, "it misses its deadline"
            self.assertEqual(gate.ShedReason.DEADLINE, shed.reason)
            self.assertAlmostEqual(2.0, shed.retry_after_s)

        self.run_gate(scenario)

    def test_after_a_cut_old_reports_reject_nothing(self) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            scene.set_backlog(0, seconds=2.0)
            await trio.sleep(4.0)
            self.assertEqual(0, scene.count_shed())

        self.run_gate(scenario)

    def test_rejected_demand_is_counted_once_for_capacity(self) -> None:
        """No runner would be ordered for what no runner gets to see."""

        async def scenario(scene: builders.GateScene) -> None:
            scene.set_backlog(0, seconds=30.0)
            self.assertEqual(_TRIES, scene.count_shed())
            once = scene.meter.list_rates()["model"]
            # The meter corrects its rate for the age of its window.
            expected = demand.DemandMeter()
            expected.note("model", _TRIES * 600)
            self.assertAlmostEqual(expected.list_rates()["model"], once)
            scene.count_shed(is_retrying=True)
            self.assertEqual(once, scene.meter.list_rates()["model"])

        self.run_gate(scenario)

    def test_plain_services_and_routes_without_target_are_left_out(
        self,
    ) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            self.assertTrue(scene.gate.covers("model", 0.6))
            self.assertFalse(scene.gate.covers("model", 0.0))
            self.assertFalse(scene.gate.covers("desk", 0.6))

        self.run_gate(scenario)

    def test_the_setting_turns_it_off(self) -> None:
        async def scenario(scene: builders.GateScene) -> None:
            off = gateway.LoadSettings(overload_admission=False)
            self.assertIsNone(scene.create_gate(off))

        self.run_gate(scenario)
