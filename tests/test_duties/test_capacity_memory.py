"""Guard against a restart that forgets, or remembers what is outdated."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core.serving import ports
from martenquay_daemon.rollouts import records, registry
from tests import clocked, memory_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_Scene = memory_scene.MemoryScene


class CapacityMemoryTest(clocked.ClockedTestCase):
    def _run(self, scenario: Callable[[_Scene], Awaitable[None]]) -> None:
        async def run() -> None:
            scene = _Scene()
            async with scene.open_runners():
                await scenario(scene)

        self.run_clocked(run)

    async def _write(
        self, scene: _Scene, seconds: float = 20.0, **learnt: float
    ) -> None:
        """Run a lease holder that notes the same state for some time."""
        async with scene.open_daemon(is_holder=True) as holder:
            for _ in range(round(seconds)):
                holder.memory.note("model", memory_scene.build_learnt(**learnt))
                await trio.sleep(1.0)

    def test_a_restart_of_all_daemons_remembers_speed_and_demand(self) -> None:
        """Each restart would otherwise begin with the assumed 30,000."""

        async def scenario(scene: _Scene) -> None:
            await self._write(scene)
            async with scene.open_daemon(is_holder=False) as started:
                found = started.memory.load()
                self.assertEqual(
                    {"model": memory_scene.build_learnt()}, found.services
                )
                estimate = started.estimates.find("model")
                self.assertAlmostEqual(23_000, estimate.read_tokens_per_s, 0)
                self.assertAlmostEqual(1.5, estimate.hold_s, 3)
                self.assertFalse(estimate.is_learnt)

        self._run(scenario)

    def test_an_old_record_is_ignored(self) -> None:
        """Last night's demand would buy a fleet in the morning."""

        async def scenario(scene: _Scene) -> None:
            await self._write(scene)
            await trio.sleep(70.0)
            async with scene.open_daemon(is_holder=False) as started:
                self.assertIsNone(started.memory.load())
                estimate = started.estimates.find("model")
                self.assertAlmostEqual(30_000, estimate.read_tokens_per_s, 0)

        self._run(scenario)

    def test_the_age_is_told_by_heartbeats(self) -> None:
        async def scenario(scene: _Scene) -> None:
            # Written without a mark after 1 s, and with one after 11 s. Over
            # 8 s, a heartbeat every 0.5 s tells the rate to one sixteenth.
            await self._write(scene, 13.0)
            await trio.sleep(30.0)
            async with scene.open_daemon(is_holder=False) as started:
                age_s = started.memory.load().age_s
                self.assertLess(abs(age_s - 32.0), 4.0)

        self._run(scenario)

    def test_with_fewer_runners_the_age_is_not_underestimated(self) -> None:
        """With a tenth of the runners, ten minutes would pass for one."""

        async def scenario(scene: _Scene) -> None:
            await self._write(scene)
            scene.runners = 1
            await trio.sleep(70.0)
            async with scene.open_daemon(is_holder=False) as started:
                self.assertIsNone(started.memory.load())

        self._run(scenario)

    def test_a_new_holder_that_catches_up_does_not_mistake_the_rate(
        self,
    ) -> None:
        """A rate seven times too high made a record of minutes look recent."""

        async def scenario(scene: _Scene) -> None:
            scene.known_end = scene.runners_end
            async with scene.open_daemon(is_holder=False) as holder:
                await trio.sleep(60.0)
                holder.is_holder = True
                await trio.sleep(1.0)
                scene.known_end = None
                for _ in range(16):
                    holder.memory.note("model", memory_scene.build_learnt())
                    await trio.sleep(1.0)
            await trio.sleep(70.0)
            async with scene.open_daemon(is_holder=False) as started:
                self.assertIsNone(started.memory.load())

        self._run(scenario)

    def test_without_a_known_age_only_speed_and_hold_times_are_used(
        self,
    ) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._write(scene)
            # A log that was set up anew numbers its records from 0 again.
            scene.runners_end = 5
            async with scene.open_daemon(is_holder=False) as started:
                found = started.memory.load()
                self.assertIsNone(found.age_s)
                self.assertEqual(0.0, found.services["model"].tokens_per_s)
                estimate = started.estimates.find("model")
                self.assertAlmostEqual(23_000, estimate.read_tokens_per_s, 0)

        self._run(scenario)

    def test_remembered_demand_ends_with_the_record_s_validity(self) -> None:
        """A daemon that gets no traffic would keep ordering for it."""

        async def scenario(scene: _Scene) -> None:
            await self._write(scene)
            async with scene.open_daemon(is_holder=False) as started:
                self.assertIsNotNone(started.memory.load())
                await trio.sleep(61.0)
                self.assertIsNone(started.memory.load())

        self._run(scenario)

    def test_records_of_another_version_or_form_are_ignored(self) -> None:
        async def scenario(scene: _Scene) -> None:
            for value in (
                b'{"version":2,"services":{"model":[1,2,3]}}',
                b'{"version":1,"services":{"model":"fast"}}',
                b'{"version":1,"services":{"model":[1.0]}}',
                b"no record",
            ):
                scene.put_record(value)
                async with scene.open_daemon(is_holder=False) as started:
                    self.assertIsNone(started.memory.load())

        self._run(scenario)

    def test_small_changes_are_not_written_at_once(self) -> None:
        async def scenario(scene: _Scene) -> None:
            async with scene.open_daemon(is_holder=True) as holder:
                for number in range(28):
                    learnt = memory_scene.build_learnt(300_000 + 900 * number)
                    holder.memory.note("model", learnt)
                    await trio.sleep(1.0)
            # The first one lacks a mark, as the heartbeats' rate is unknown.
            self.assertEqual(2, scene.count_records())

        self._run(scenario)

    def test_large_changes_are_written_every_five_seconds_at_most(self) -> None:
        async def scenario(scene: _Scene) -> None:
            async with scene.open_daemon(is_holder=True) as holder:
                for number in range(30):
                    learnt = memory_scene.build_learnt(1000.0 * 2**number)
                    holder.memory.note("model", learnt)
                    await trio.sleep(1.0)
            self.assertLessEqual(scene.count_records(), 6)
            self.assertGreaterEqual(scene.count_records(), 5)

        self._run(scenario)

    def test_an_unchanged_record_stays_valid(self) -> None:
        """Steady demand would otherwise be forgotten after a minute."""

        async def scenario(scene: _Scene) -> None:
            await self._write(scene, 200.0)
            self.assertLessEqual(scene.count_records(), 8)
            async with scene.open_daemon(is_holder=False) as started:
                self.assertIsNotNone(started.memory.load())

        self._run(scenario)

    def test_only_the_lease_holder_writes(self) -> None:
        async def scenario(scene: _Scene) -> None:
            async with scene.open_daemon(is_holder=False) as other:
                other.memory.note("model", memory_scene.build_learnt())
                await trio.sleep(20.0)
                self.assertEqual(0, scene.count_records())
                other.is_holder = True
                await trio.sleep(2.0)
                self.assertEqual(1, scene.count_records())

        self._run(scenario)

    def test_an_outage_of_the_log_only_delays_the_record(self) -> None:
        async def scenario(scene: _Scene) -> None:
            async with scene.open_daemon(is_holder=True) as holder:
                scene.log.faults.is_down = True
                holder.memory.note("model", memory_scene.build_learnt())
                await trio.sleep(20.0)
                self.assertEqual(0, scene.count_records())
                scene.log.faults.is_down = False
                await trio.sleep(6.0)
                self.assertEqual(1, scene.count_records())

        self._run(scenario)

    def test_a_start_while_the_log_is_down_remembers_later(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await self._write(scene)
            scene.log.faults.is_down = True
            async with scene.open_daemon(is_holder=False) as started:
                await trio.sleep(3.0)
                self.assertIsNone(started.memory.load())
                scene.log.faults.is_down = False
                await trio.sleep(1.5)
                self.assertIsNotNone(started.memory.load())

        self._run(scenario)

    def test_rollouts_in_the_same_topic_ignore_the_record(self) -> None:
        """It would be taken for a malformed step of a service."""
        sink = records.StepSink(registry.RolloutRegistry())
        with self.assertNoLogs():
            sink.apply_change(ports.KeyedRecord(1, ".capacity", b"{}"))
