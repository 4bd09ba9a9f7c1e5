"""Engines of different speed are told apart, and equal ones are not."""

from __future__ import annotations

import random

import trio

from martenquay_daemon.engines import speeds
from tests import clocked
from tests import speed_builders as builders

_FACTORS = {"r-0": 0.6, "r-1": 1.0, "r-2": 1.6}
_GAP_S = 0.02


async def _serve(table: speeds.SpeedTable, factors: dict[str, float]) -> None:
    """Serve streams on all engines for a few seconds."""
    rng = random.Random(1)
    for _ in range(20):
        await trio.sleep(0.2)
        for runner_id, factor in factors.items():
            work_s = rng.uniform(0.02, 0.2)
            took_s = 0.03 + (0.03 + work_s) / factor
            table.note_first_event(
                runner_id, builders.build_result(took_s, work_s)
            )
            now = trio.current_time()
            builders.note_gaps(table, runner_id, _GAP_S / factor, 9, now)


class SpeedTableTest(clocked.ClockedTestCase):
    def test_an_unknown_engine_has_the_speed_of_its_service(self) -> None:
        async def scenario() -> None:
            self.assertEqual(1.0, speeds.SpeedTable().find("r-0"))

        self.run_clocked(scenario)

    def test_speeds_keep_the_proportions_of_the_engines(self) -> None:
        # One daemon's results alone are weighed against the service's speed.
        async def scenario() -> None:
            table = speeds.SpeedTable()
            await _serve(table, _FACTORS)
            for number in (2, 3):
                member = f"entry-{number}.aa"
                table.replace_source(member, table.list_own())
            slow, usual, fast = (table.find(one) for one in _FACTORS)
            self.assertAlmostEqual(0.6, slow / usual, delta=0.1)
            self.assertAlmostEqual(1.6, fast / usual, delta=0.2)

        self.run_clocked(scenario)

    def test_first_events_alone_tell_a_slow_engine_apart(self) -> None:
        # Streams of fewer than four events have no window of events.
        async def scenario() -> None:
            table = speeds.SpeedTable()
            for _ in range(60):
                await trio.sleep(0.1)
                for runner_id, factor in _FACTORS.items():
                    result = builders.build_result(0.03 + 0.1 / factor)
                    table.note_first_event(runner_id, result)
            found = [table.find(one) for one in _FACTORS]
            self.assertEqual(sorted(found), found)
            self.assertLess(found[0], 0.85)
            self.assertGreater(found[2], 1.15)

        self.run_clocked(scenario)

    def test_equal_engines_are_not_told_apart(self) -> None:
        async def scenario() -> None:
            table = speeds.SpeedTable()
            await _serve(table, dict.fromkeys(_FACTORS, 1.0))
            found = {table.find(one) for one in _FACTORS}
            self.assertEqual({1.0}, found)
            self.assertEqual({}, table.list_own())

        self.run_clocked(scenario)

    def test_prefill_of_other_prompts_does_not_make_an_engine_slow(
        self,
    ) -> None:
        # Half of its gaps are three times as long, as in a loaded engine.
        async def scenario() -> None:
            table = speeds.SpeedTable()
            for number in range(20):
                await trio.sleep(0.2)
                now = trio.current_time()
                for runner_id in ("r-0", "r-1"):
                    is_long = runner_id == "r-0" and number % 2
                    gap_s = _GAP_S * (3 if is_long else 1)
                    builders.note_gaps(table, runner_id, gap_s, 9, now)
            self.assertEqual(1.0, table.find("r-0"))

        self.run_clocked(scenario)

    def test_an_estimate_without_new_results_returns_to_one(self) -> None:
        async def scenario() -> None:
            table = speeds.SpeedTable()
            await _serve(table, _FACTORS)
            self.assertNotEqual(1.0, table.find("r-0"))
            await trio.sleep(30.0)
            self.assertEqual(1.0, table.find("r-0"))
            self.assertEqual({}, table.list_own())

        self.run_clocked(scenario)

    def test_a_new_process_starts_at_one(self) -> None:
        async def scenario() -> None:
            table = speeds.SpeedTable()
            await _serve(table, _FACTORS)
            slow = speeds.SpeedSums(10.0, 20.0)
            table.replace_source("entry-2.aa", {"r-0": slow, "r-1": slow})
            table.forget_runner("r-0")
            self.assertEqual(1.0, table.find("r-0"))
            self.assertNotEqual(1.0, table.find("r-1"))

        self.run_clocked(scenario)

    def test_results_of_other_daemons_count_until_they_are_dropped(
        self,
    ) -> None:
        async def scenario() -> None:
            table = speeds.SpeedTable()
            slow = {"r-0": speeds.SpeedSums(20.0, 40.0)}
            table.replace_source("entry-2.aa", slow)
            self.assertLess(table.find("r-0"), 0.7)
            table.replace_source("entry-2.aa", {})
            self.assertEqual(1.0, table.find("r-0"))
            table.replace_source("entry-2.aa", slow)
            table.forget_sources()
            self.assertEqual(1.0, table.find("r-0"))

        self.run_clocked(scenario)

    def test_replaced_results_of_a_daemon_do_not_add_up(self) -> None:
        # The total is kept by differences.
        async def scenario() -> None:
            table = speeds.SpeedTable()
            slow = {"r-0": speeds.SpeedSums(20.0, 40.0)}
            for _ in range(1000):
                table.replace_source("entry-2.aa", slow)
                table.replace_source("entry-3.aa", slow)
            self.assertAlmostEqual(48 / 88, table.find("r-0"))
            table.replace_source("entry-2.aa", {})
            table.replace_source("entry-3.aa", {})
            self.assertEqual(1.0, table.find("r-0"))

        self.run_clocked(scenario)

    def test_results_of_a_silent_daemon_expire(self) -> None:
        # Without reports, a daemon's own results count, and then 1.
        async def scenario() -> None:
            table = speeds.SpeedTable()
            slow = {"r-0": speeds.SpeedSums(20.0, 40.0)}
            table.replace_source("fleet", slow)
            await trio.sleep(3.0)
            self.assertLess(table.find("r-0"), 0.7)
            await trio.sleep(3.0)
            self.assertEqual(1.0, table.find("r-0"))

        self.run_clocked(scenario)

    def test_gossiped_results_are_not_gossiped_again(self) -> None:
        # They would circulate forever.
        async def scenario() -> None:
            table = speeds.SpeedTable()
            slow = {"r-0": speeds.SpeedSums(20.0, 40.0)}
            table.replace_source("entry-2.aa", slow)
            self.assertEqual({}, table.list_own())

        self.run_clocked(scenario)

    def test_a_daemon_corrects_the_error_of_another(self) -> None:
        # If only daemons that found a difference gossiped, it would stay.
        async def scenario() -> None:
            table = speeds.SpeedTable()
            await _serve(table, dict.fromkeys(_FACTORS, 1.0))
            wrong = {"r-0": speeds.SpeedSums(40.0, 80.0)}
            table.replace_source("entry-2.aa", wrong)
            own = table.list_own()
            self.assertEqual(["r-0"], list(own))
            self.assertAlmostEqual(1.0, own["r-0"].find_ratio(), delta=0.1)

        self.run_clocked(scenario)
