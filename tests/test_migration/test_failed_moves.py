"""A move that fails half-way loses, repeats and doubles nothing."""

from __future__ import annotations

from unittest import mock

import trio

from martenquay_daemon.migration import plan, transfer
from tests import migration_builders as builders
from tests import migration_case as case
from tests import migration_scene


class TargetFailureTest(case.MigrationTestCase):
    def test_the_next_target_is_tried_if_one_refuses_the_copy(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            for engine in world.engines[1:3]:
                engine.faults.has_no_room = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, len(world.engines[3].requests))
            self.assertEqual(1, world.count_outcome("moved"))

        self.play(scenario, engines=4)

    def test_the_run_continues_if_all_targets_refuse_the_copy(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            for engine in world.engines[1:]:
                engine.faults.has_no_room = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, len(world.source.requests))
            self.assertEqual(1, world.count_outcome("refused"))
            # Each target is asked once, since each call has a price.
            self.assertEqual(2, len(world.grid.calls))

        self.play(scenario, engines=3)

    def test_a_run_returns_if_the_last_copy_is_refused(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.refuses_last = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual([], world.target.requests)
            self.assertEqual(2, len(world.source.requests))
            self.assertIn("kv-from", world.source.requests[1])
            self.assertEqual(1, world.count_outcome("returned"))

        self.play(scenario)

    def test_a_returned_run_moves_to_another_target(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.zones[2] = "b"
            world.target.faults.rejects_copies = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, world.count_outcome("rejected"))
            self.assertEqual(2, world.count_outcome("moved"))
            self.assertEqual(1, len(world.engines[2].requests))

        self.play(scenario, engines=3)

    def test_a_run_returns_if_the_target_rejects_the_request(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.target.faults.rejects_copies = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            rejected, returned = world.target.requests, world.source.requests
            self.assertEqual(1, len(rejected))
            self.assertEqual(rejected[0]["kv-from"], returned[1]["kv-from"])
            self.assertEqual(1, world.count_outcome("rejected"))

        self.play(scenario)

    def test_a_run_returns_if_the_target_ends_with_the_copy(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.target.faults.ends_with_copy = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(2, len(world.source.requests))

        self.play(scenario)

    def test_a_run_that_nobody_continues_is_cut_off(self) -> None:
        # 503 would promise that the request never ran.
        async def scenario(world: migration_scene.MigrationScene) -> None:
            for engine in world.engines:
                engine.faults.rejects_copies = True
            reply = await world.ask_and_leave()
            self.check_cut(world, reply)
            self.assertEqual(1, world.count_outcome("lost"))
            self.assertEqual(1, world.grid.seeds)

        self.play(scenario)

    def test_a_resumable_run_that_nobody_continues_takes_a_retry(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.zones[2] = "b"
            for engine in world.engines[:2]:
                engine.faults.rejects_copies = True
            reply = await world.ask_and_leave()
            self.assertTrue(reply.is_whole)
            self.assertEqual(case.EVENTS, reply.body.count(b"id: "))
            (sent,) = world.engines[2].requests
            self.assertNotIn("kv-from", sent)
            budget = world.scene.parts.retries
            self.assertEqual(1, len(budget._find_counts("desk").retries))

        self.play(
            scenario,
            engines=3,
            content=builders.build_catalog(is_resumable=True, max_attempts=2),
        )


class SourceFailureTest(case.MigrationTestCase):
    def test_a_copy_is_used_if_the_source_ends_before_the_last_one(
        self,
    ) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.ends_on_last = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, world.count_outcome("moved"))

        self.play(scenario)

    def test_a_copy_is_used_if_the_last_answer_is_lost(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.loses_last = 1
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, world.count_outcome("moved"))

        self.play(scenario)

    def test_a_stream_without_a_copy_is_cut_off_with_its_engine(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.copy_s = 5.0
            replies = []

            async def ask() -> None:
                replies.append(await world.ask())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await world.wait_events(3)
                world.add_targets()
                world.announce_leave()
                await world.wait_copy()
                world.source.end()
            self.check_cut(world, replies[0])
            self.assertEqual([], world.target.requests)

        self.play(scenario)

    def test_a_stopped_stream_that_stays_open_is_ended_here(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.keeps_open = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, world.count_outcome("moved"))

        self.play(scenario)

    def test_the_end_of_a_stopped_stream_is_not_passed_on(self) -> None:
        # The caller would take a part of the answer for all of it.
        for copy_s in (0.0, 0.2):
            with self.subTest(copy_s=copy_s):

                async def scenario(
                    world: migration_scene.MigrationScene,
                    copy_s: float = copy_s,
                ) -> None:
                    world.source.faults.ends_cleanly = True
                    world.source.faults.copy_s = copy_s
                    reply = await world.ask_and_leave()
                    self.check_whole(world, reply)
                    self.assertEqual(1, world.count_outcome("moved"))

                self.play(scenario)

    def test_a_source_that_answers_no_call_serves_on(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.is_mute = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, len(world.source.requests))
            self.assertEqual([], world.target.requests)

        self.play(scenario)

    def test_a_source_that_does_not_know_the_run_serves_on(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.forgets_runs = True
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, len(world.grid.calls))
            self.assertEqual(1, world.count_outcome("ended"))

        self.play(scenario)

    def test_a_busy_source_is_asked_again(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.busy = 2
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, world.count_outcome("moved"))

        self.play(scenario)


class UnusedCopyTest(case.MigrationTestCase):
    def test_the_copy_is_freed_if_the_stream_ends_during_it(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.copy_s = 1.0
            reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            while world.grid.calls[-1][1] != "DELETE":
                await trio.sleep(0.01)
            self.assertEqual({}, world.grid.copies)
            self.assertEqual([], world.target.requests)

        # A slow link, so that the long copy is expected.
        traits = builders.build_traits(link_mbps=2_000.0)
        self.play(scenario, content=builders.build_catalog(traits))

    def test_the_copy_is_freed_if_the_caller_leaves(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.copy_s = 0.2
            caller = await world.scene.open_caller()
            await caller.send_all(migration_scene.build_request())
            await world.wait_events(3)
            world.add_targets()
            world.announce_leave()
            await world.wait_copy()
            await caller.aclose()
            while world.source.running:
                await trio.sleep(0.01)
            while world.grid.calls[-1][1] != "DELETE":
                await trio.sleep(0.01)
            self.assertEqual({}, world.grid.copies)
            self.assertEqual([], world.target.requests)
            self.assertEqual(0, world.grid.count_calls(is_last=True))

        self.play(scenario)

    def test_the_run_ends_if_the_daemon_ends_during_the_move(self) -> None:
        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.copy_s = 5.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.ask)
                await world.wait_events(3)
                world.add_targets()
                world.announce_leave()
                await world.wait_copy()
                world.stop_daemon()
                while world.source.running:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            self.assertEqual([], world.target.requests)

        self.play(scenario)

    def test_a_copy_that_cannot_be_freed_ends_no_other_move(self) -> None:
        error = ValueError("an answer that nobody expected")
        fail = mock.AsyncMock(side_effect=error)

        async def scenario(world: migration_scene.MigrationScene) -> None:
            world.source.faults.copy_s = 0.2
            caller = await world.scene.open_caller()
            await caller.send_all(migration_scene.build_request())
            await world.wait_events(3)
            world.add_targets()
            world.announce_leave()
            await world.wait_copy()
            with mock.patch.object(transfer.Transfer, "free", fail):
                await caller.aclose()
                while not fail.await_count:
                    await trio.sleep(0.01)
            await world.scene.ask(migration_scene.build_request("call-2"))
            self.assertIsNotNone(world.scene.mover._nursery)

        self.play(scenario)


class PlanFailureTest(case.MigrationTestCase):
    def test_a_plan_that_fails_is_made_again(self) -> None:
        make_plan = plan.plan_moves
        faults = [ValueError("a state that nobody expected")]

        def fail_once(*args):
            if faults:
                raise faults.pop()
            return make_plan(*args)

        async def scenario(world: migration_scene.MigrationScene) -> None:
            with mock.patch.object(plan, "plan_moves", fail_once):
                reply = await world.ask_and_leave()
            self.check_whole(world, reply)
            self.assertEqual(1, world.count_outcome("moved"))
            self.assertEqual([], faults)

        self.play(scenario)
