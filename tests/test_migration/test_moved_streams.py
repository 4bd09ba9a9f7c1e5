"""Streams of leaving engines continue at another engine, whole and once."""

from __future__ import annotations

import trio

from tests import migration_builders as builders
from tests import migration_case as case
from tests import migration_scene


class MovedStreamTest(case.MigrationTestCase):
    def test_a_stream_continues_at_another_engine(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, world.grid.seeds)
            (sent,) = world.target.requests
            self.assertTrue(sent["kv-from"].startswith(world.source.address))
            self.assertEqual("call-1", sent["attempt-id"])
            self.assertEqual(1, world.count_outcome("moved"))
            self.assertEqual({}, world.grid.copies)

        self.play(scenario)

    def test_events_sent_after_the_last_copy_are_relayed_first(self) -> None:
        # The target would otherwise be asked to repeat events, or its first
        # events would overtake those of the source.
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.late_events = 5
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            (sent,) = world.target.requests
            first_at_target = int(sent["last-event-id"]) + 1
            by_source = [s for s in world.grid.spans if s.engine == "engine-0"]
            self.assertEqual(1, len(by_source))
            self.assertGreaterEqual(first_at_target, 9)

        self.play(scenario)

    def test_the_move_takes_no_retry(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            budget = world.scene.parts.retries
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(0, len(budget._find_counts("desk").retries))

        self.play(
            scenario,
            content=builders.build_catalog(is_resumable=True, max_attempts=2),
        )

    def test_two_calls_are_made_for_a_move(self) -> None:
        # Each call on an engine has a price.
        async def scenario(world: migration_scene.MigrationScene) -> None:
            await world.ask_and_leave()
            self.assertEqual(1, world.grid.count_calls(is_last=False))
            self.assertEqual(1, world.grid.count_calls(is_last=True))
            self.assertEqual(2, len(world.grid.calls))

        self.play(scenario)

    def test_each_decision_is_logged_with_the_request(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            await world.ask_and_leave()
            self.assertEqual(
                [
                    "Moving a stream off a leaving runner.",
                    "Asked a leaving runner for a copy.",
                    "Asked a leaving runner for the last copy.",
                    "Continuing a stopped run at another runner.",
                ],
                world.list_texts(),
            )

        self.play(scenario)

    def test_a_stream_moves_again_if_its_target_leaves_too(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            replies = []

            async def ask() -> None:
                replies.append(await world.ask())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await world.wait_events(3)
                world.add_engine(1)
                world.announce_leave()
                while not world.target.running:
                    await trio.sleep(0.005)
                world.add_engine(2)
                world.announce_leave(1)
            self.check_whole(world, replies[0])
            self.assertEqual(1, len(world.engines[2].requests))
            self.assertEqual(2, world.count_outcome("moved"))

        self.play(scenario, engines=3)

    def test_a_run_without_an_event_moves_before_its_engine_ends(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.first_event_s = 30.0
            replies = []

            async def ask() -> None:
                replies.append(await world.ask())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                while not world.source.running:
                    await trio.sleep(0.005)
                world.add_targets()
                world.announce_leave(leaves_in_s=1.0)
            self.check_whole(world, replies[0])
            (sent,) = world.target.requests
            self.assertIn("kv-from", sent)
            self.assertNotIn("last-event-id", sent)
            self.assertEqual({0: {"florists": 1}}, world.count_usage())

        self.play(scenario)

    def test_a_moved_stream_is_counted_once(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            await world.ask_and_leave()
            self.assertEqual({0: {"florists": 1}}, world.count_usage())

        self.play(scenario)

    def test_many_streams_move_off_one_engine(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            replies = []

            async def ask(call: str) -> None:
                replies.append(await world.ask(call))

            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(ask, f"call-{number}")
                for number in range(12):
                    await world.wait_events(3, f"call-{number}")
                world.add_targets()
                world.announce_leave()
            for reply in replies:
                self.check_whole(world, reply)
            self.assertEqual(12, world.count_outcome("moved"))
            self.assertEqual(set(), world.source.running)

        self.play(scenario, engines=3)


class UnmovedStreamTest(case.MigrationTestCase):
    def check_unmoved(
        self, world: migration_scene.MigrationScene, reply
    ) -> None:
        self.check_whole(world, reply)
        self.assertEqual([], world.grid.calls)
        self.assertEqual([], world.target.requests)

    def test_a_stream_that_ends_in_time_runs_on(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    nursery.start_soon(world.ask, f"earlier-{number}")
            reply = await world.ask_and_leave(leaves_in_s=5.0)
            self.check_unmoved(world, reply)
            self.assertEqual(
                ["A stream stays at a leaving runner: it ends in time."],
                world.list_texts(),
            )

        self.play(scenario)

    def test_no_stream_moves_with_the_setting_off(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            self.check_unmoved(world, await world.ask_and_leave())

        self.play(scenario, settings={"load": {"stream_migration": False}})

    def test_no_stream_moves_between_engines_that_cannot(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            self.check_unmoved(world, await world.ask_and_leave())

        traits = builders.build_traits(can_move=False)
        self.play(scenario, content=builders.build_catalog(traits))

    def test_a_stream_without_another_engine_runs_on(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual([], world.grid.calls)

        self.play(scenario, engines=1)

    def test_no_stream_moves_to_another_software_version(self) -> None:
        # Events of two versions in one answer would be parts of two runs.
        async def scenario(world: migration_scene.MigrationScene) -> None:
            replies = []

            async def ask() -> None:
                replies.append(await world.ask())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await world.wait_events(3)
                world.add_engine(1, software="v2")
                world.announce_leave()
            self.check_unmoved(world, replies[0])

        self.play(scenario)
