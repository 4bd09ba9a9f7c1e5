"""Guard against a restart that gives up runners until demand is measured."""

from __future__ import annotations

import msgspec
import trio

from martenquay_core.serving import ports
from martenquay_daemon.duties import capacity_memory, heartbeat_clock
from martenquay_daemon.engines import model
from martenquay_standins.ports import log
from tests import capacity_case
from tests import serving_builders as builders

_RUNNERS_END = 1000
_RUNNERS = 10
_RECORDS_PER_S = 20.0


class RememberedDemandTest(capacity_case.CapacityCase):
    def setUp(self) -> None:
        super().setUp()
        clock = heartbeat_clock.HeartbeatClock(
            lambda: _RUNNERS_END, lambda: _RUNNERS
        )
        self.memory = capacity_memory.create_capacity_memory(
            log.MemoryLog(), "rollouts", clock, model.RunnerModel()
        )

    def _remember(self, tokens_per_s: float, age_s: float | None) -> None:
        """Have the daemon read a record when it starts."""
        mark = None
        if age_s is not None:
            end = _RUNNERS_END - round(age_s * _RECORDS_PER_S)
            mark = (end, _RUNNERS, _RECORDS_PER_S)
        value = msgspec.json.encode(
            {
                "version": 1,
                "services": {"model": (tokens_per_s, 30_000.0, 1.0)},
                "mark": mark,
            }
        )
        self.memory.apply_change(
            ports.KeyedRecord(1, capacity_memory.MEMORY_KEY, value)
        )
        self.memory.adopt()

    def test_remembered_demand_is_ordered_before_it_is_measured(self) -> None:
        async def scenario() -> None:
            self._remember(150_000.0, 10.0)
            await trio.sleep(4.5)
            last = self.find_last_order("a", is_reclaimable=True)
            self.assertEqual(4, last)

        self.run_scenario(scenario)

    def test_remembered_demand_replaces_what_is_expected_of_teams(
        self,
    ) -> None:
        """A share of the teams' rates knows nothing of the time of day."""
        team = builders.build_team(rate=300_000.0, counts_tokens=True)
        self.content = {"teams": (team,)}
        self.expected_share = 0.5

        async def find_order(tokens_per_s: float, age_s: float | None) -> int:
            self._remember(tokens_per_s, age_s)
            await trio.sleep(4.5)
            return self.find_last_order("a", is_reclaimable=True)

        async def scenario_known() -> None:
            self.assertEqual(3, await find_order(50_000.0, 10.0))

        async def scenario_unknown_age() -> None:
            self.assertEqual(4, await find_order(50_000.0, None))

        self.run_scenario(scenario_known)
        self.run_scenario(scenario_unknown_age)

    def test_remembered_demand_is_dropped_after_the_warm_up(self) -> None:
        async def scenario() -> None:
            self._remember(150_000.0, 10.0)
            await trio.sleep(4.5)
            await self.send_prompts_at_known_speed(40.0, 10_000.0)
            last = self.find_last_order("a", is_reclaimable=True)
            self.assertLess(last, 4)

        self.run_scenario(scenario)

    def test_what_is_learnt_is_noted_after_the_warm_up_only(self) -> None:
        """A restart would otherwise overwrite the record before traffic."""
        noted = {}
        self.memory.note = noted.__setitem__

        async def scenario() -> None:
            await trio.sleep(4.5)
            await self.send_prompts_at_known_speed(14.0, 40_000.0)
            self.assertEqual({}, noted)
            await self.send_prompts_at_known_speed(3.0, 40_000.0)
            learnt = noted["model"]
            self.assertLess(abs(learnt.tokens_per_s / 40_000 - 1), 0.1)
            self.assertLess(learnt.read_tokens_per_s, 25_000)

        self.run_scenario(scenario)
