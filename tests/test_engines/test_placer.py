"""Requests go to the home of their prefix unless it is too busy."""

from __future__ import annotations

import random

import trio

from martenquay_core.serving import calls, catalog, ports
from martenquay_daemon.backpressure import runner_admission, runner_backoffs
from martenquay_daemon.discovery import contact, runner_directory
from martenquay_daemon.engines import (
    loads,
    model,
    placer,
    speed_tracker,
    speeds,
)
from martenquay_daemon.limits import ejection
from tests import clocked
from tests import serving_builders as builders

_SERVICE = builders.build_service(
    name="model", engine=catalog.EngineTraits(128, 260_000)
)
_RUNNER_SLOTS = 128


def _build_prompt(shared: str, own: str) -> tuple[calls.PromptPart, ...]:
    return (
        calls.PromptPart("all", 2500),
        calls.PromptPart(shared, 3800),
        calls.PromptPart(own, 2000),
    )


class PlacerTest(clocked.ClockedTestCase):
    is_fresh = True

    def _build(
        self,
        *,
        zones: str = "abcabc",
        seed: int = 1,
        knows_speeds: bool = False,
    ) -> placer.Placer:
        records = builders.FakeRecords()
        directory = runner_directory.RunnerDirectory(
            records, contact.LogContact()
        )
        for number, zone in enumerate(zones):
            runner = builders.build_runner(
                id=f"r-{number}",
                service="model",
                zone=zone,
                address=f"127.0.0.1:{number}",
                slots=_RUNNER_SLOTS,
            )
            records.runners[b"%d" % number] = runner
            directory.apply_change(
                ports.KeyedRecord(number, runner.id, b"%d" % number)
            )
        self.ledger = loads.LoadLedger()
        self.estimates = model.RunnerModel()
        self.speeds = speed_tracker.create_speed_tracker(
            is_enabled=knows_speeds
        )
        self.silent: set[str] = set()
        self.ejector = ejection.Ejector()
        self.limits = builders.build_runner_limits()
        self.admission = runner_admission.RunnerAdmission(
            self.limits, directory.leaving, runner_backoffs.RunnerBackoffs()
        )
        return placer.Placer(
            "a",
            directory,
            self.ledger,
            self.estimates,
            self.ejector,
            random.Random(seed),
            self.silent.__contains__,
            lambda: self.is_fresh,
            self.admission,
            speeds=self.speeds,
        )

    def _choose(
        self,
        chooser: placer.Placer,
        shared: str,
        own: str,
        *excluded: str,
        target_s: float = 0.0,
    ) -> str | None:
        call = builders.build_call(
            prompt=_build_prompt(shared, own), tokens_in=8300
        )
        chosen = chooser.choose(
            _SERVICE, "model", call, set(excluded), target_s
        )
        return chosen and chosen.runner.id

    def test_all_daemons_choose_the_same_home_for_a_prefix(self) -> None:
        async def scenario() -> None:
            for shared in ("s-1", "s-2", "s-3"):
                homes = {
                    self._choose(self._build(seed=n), shared, f"own-{n}")
                    for n in range(5)
                }
                self.assertEqual(1, len(homes))

        self.run_clocked(scenario)

    def test_prefixes_are_spread_over_all_runners(self) -> None:
        async def scenario() -> None:
            chooser = self._build()
            homes = {self._choose(chooser, f"s-{n}", "own") for n in range(60)}
            self.assertEqual(6, len(homes))

        self.run_clocked(scenario)

    def test_a_busy_home_is_not_chosen(self) -> None:
        async def scenario() -> None:
            chooser = self._build()
            home = self._choose(chooser, "s-1", "own")
            with self.ledger.count(home, 60_000):
                self.assertNotEqual(home, self._choose(chooser, "s-1", "own"))
            self.assertEqual(home, self._choose(chooser, "s-1", "own"))

        self.run_clocked(scenario)

    def test_a_home_without_a_free_slot_is_not_chosen(self) -> None:
        async def scenario() -> None:
            chooser = self._build()
            home = self._choose(chooser, "s-1", "own")
            for _ in range(50):
                self.estimates.note_end("model", 2.0)
            full = loads.RunnerLoad(requests=_RUNNER_SLOTS + 10)
            busy = loads.RunnerLoad(requests=_RUNNER_SLOTS - 2)
            others = {f"r-{n}": busy for n in range(6)}
            self.ledger.replace_source("entry-2.aa", others | {home: full})
            self.assertNotEqual(home, self._choose(chooser, "s-1", "own"))

        self.run_clocked(scenario)

    def test_a_home_that_is_on_time_is_preferred_to_a_faster_runner(
        self,
    ) -> None:
        async def scenario() -> None:
            chooser = self._build()
            home = self._choose(chooser, "s-1", "own")
            with self.ledger.count(home, 6000):
                # 6,000 queued tokens take 0.2 s, the 2,000 own ones 0.07 s.
                kept = self._choose(chooser, "s-1", "own", target_s=1.2)
                self.assertEqual(home, kept)
                left = self._choose(chooser, "s-1", "own", target_s=0.3)
                self.assertNotEqual(home, left)

        self.run_clocked(scenario)

    def test_loads_of_other_daemons_count(self) -> None:
        async def scenario() -> None:
            chooser = self._build()
            home = self._choose(chooser, "s-1", "own")
            load = loads.RunnerLoad(requests=3, unread_tokens=60_000)
            self.ledger.replace_source("entry-2.aa", {home: load})
            self.assertNotEqual(home, self._choose(chooser, "s-1", "own"))
            self.ledger.replace_source("entry-2.aa", {})
            self.assertEqual(home, self._choose(chooser, "s-1", "own"))

        self.run_clocked(scenario)

    def test_daemons_do_not_all_choose_the_idle_runner(
        self,
    ) -> None:
        async def scenario() -> None:
            chosen = []
            for seed in range(30):
                chooser = self._build(zones="abc" * 10, seed=seed)
                for number in range(29):
                    load = loads.RunnerLoad(4, 30_000)
                    member = {f"r-{number}": load}
                    self.ledger.replace_source(f"entry-{number}.aa", member)
                chosen.append(self._choose(chooser, "s-1", "own"))
            self.assertLess(chosen.count("r-29"), 10)

        self.run_clocked(scenario)

    def test_plain_calls_on_old_loads_do_not_all_choose_the_idle_runner(
        self,
    ) -> None:
        async def count_idle() -> int:
            chosen = []
            for seed in range(40):
                chooser = self._build(zones="abcd", seed=seed)
                busy = {f"r-{n}": loads.RunnerLoad(2) for n in range(1, 4)}
                self.ledger.replace_source("fleet", busy)
                call = builders.build_call()
                found = chooser.choose(None, "model", call, set())
                chosen.append(found and found.runner.id)
            return chosen.count("r-0")

        async def scenario() -> None:
            self.assertEqual(40, await count_idle())
            self.is_fresh = False
            self.assertLess(await count_idle(), 30)

        self.run_clocked(scenario)

    def test_a_silent_zone_comes_last(self) -> None:
        async def scenario() -> None:
            chooser = self._build(zones="bcbc")
            self.silent.add("b")
            for number in range(20):
                home = self._choose(chooser, f"s-{number}", "own")
                self.assertIn(home, {"r-1", "r-3"})
            self.silent.add("c")
            self.assertIsNotNone(self._choose(chooser, "s-1", "own"))

        self.run_clocked(scenario)

    def test_excluded_runners_are_never_chosen(self) -> None:
        async def scenario() -> None:
            chooser = self._build(zones="ab")
            self.assertEqual("r-1", self._choose(chooser, "s", "o", "r-0"))
            self.assertIsNone(self._choose(chooser, "s", "o", "r-0", "r-1"))

        self.run_clocked(scenario)

    def test_an_ejected_runner_is_not_chosen_while_others_serve(self) -> None:
        async def scenario() -> None:
            chooser = self._build()
            home = self._choose(chooser, "s-1", "own")
            for _ in range(3):
                self.ejector.note_failure(home)
            self.assertNotEqual(home, self._choose(chooser, "s-1", "own"))

        self.run_clocked(scenario)

    def test_a_slow_engine_gets_fewer_requests_than_a_fast_one(self) -> None:
        async def scenario() -> None:
            chooser = self._build(zones="a" * 6, knows_speeds=True)
            slow = {f"r-{n}": speeds.SpeedSums(40.0, 80.0) for n in (0, 1, 2)}
            self.speeds.replace_source("entry-2.aa", slow)
            busy = {f"r-{n}": loads.RunnerLoad(4, 9000) for n in range(6)}
            self.ledger.replace_source("entry-3.aa", busy)
            chosen = [
                self._choose(chooser, f"s-{n}", "own", target_s=0.3)
                for n in range(60)
            ]
            self.assertLess(sum(one in slow for one in chosen), 15)

        self.run_clocked(scenario)

    def test_an_engine_of_the_own_zone_is_preferred_while_on_time(
        self,
    ) -> None:
        # Bytes between zones are expensive.
        async def count_near(load: loads.RunnerLoad) -> int:
            # With one engine there, another zone is always looked at as well.
            chooser = self._build(zones="a" + "bcd" * 5, knows_speeds=True)
            self.ledger.replace_source("entry-2.aa", {"r-0": load})
            chosen = []
            for number in range(100):
                await trio.sleep(0.3)
                # Without a shared part there is no home.
                prompt = (calls.PromptPart(f"own-{number}", 600),)
                call = builders.build_call(prompt=prompt, tokens_in=600)
                found = chooser.choose(_SERVICE, "model", call, set(), 0.6)
                chosen.append(found and found.runner.zone)
            return chosen[20:].count("a")

        async def scenario() -> None:
            self.assertGreater(await count_near(loads.RunnerLoad()), 60)
            # Late by the estimate: the rest overflows to the other zones.
            late = loads.RunnerLoad(20, 2_000_000)
            self.assertEqual(0, await count_near(late))

        self.run_clocked(scenario)

    def test_with_the_setting_off_no_zone_is_preferred(self) -> None:
        async def scenario() -> None:
            chooser = self._build(zones="abcd" * 4)
            chosen = []
            for number in range(200):
                await trio.sleep(0.3)
                prompt = (calls.PromptPart(f"own-{number}", 600),)
                call = builders.build_call(prompt=prompt, tokens_in=600)
                found = chooser.choose(_SERVICE, "model", call, set(), 0.6)
                chosen.append(found and found.runner.zone)
            self.assertLess(chosen.count("a"), 110)

        self.run_clocked(scenario)
