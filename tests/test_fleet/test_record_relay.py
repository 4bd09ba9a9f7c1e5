"""Guard against crash records that arrive late, twice, or not at all."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests import clocked, relay_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_Scene = relay_scene.RelayScene
# Longer than the long polls that are under way when the relay begins.
_SETTLE_S = 35.0


class RecordRelayTest(clocked.ClockedTestCase):
    def _run(self, scenario: Callable[[_Scene], Awaitable[None]]) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                await scenario(_Scene(nursery))
                nursery.cancel_scope.cancel()

        self.run_clocked(run)

    def _count_reads(self, scene: _Scene) -> list[int]:
        return [daemon.log.reads for daemon in scene.daemons]

    def _check_all(self, scene: _Scene, count: int) -> None:
        for daemon in scene.daemons:
            self.assertEqual(list(range(count)), daemon.sink.offsets)

    def test_records_reach_the_zone_with_reads_of_the_hub_only(self) -> None:
        """Each record woke each daemon: 36 records cost 648 reads of 18."""

        async def scenario(scene: _Scene) -> None:
            await trio.sleep(_SETTLE_S)
            before = self._count_reads(scene)
            for number in range(10):
                scene.put()
                await trio.sleep(0.01)
                if number == 0:
                    self._check_all(scene, 1)
                await trio.sleep(1.0)
            self._check_all(scene, 10)
            after = self._count_reads(scene)
            self.assertGreaterEqual(after[0] - before[0], 10)
            self.assertEqual(before[1:], after[1:])

        self._run(scenario)

    def test_a_lost_message_is_noticed_with_the_next_one(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await trio.sleep(_SETTLE_S)
            scene.lost = 1
            scene.put()
            await trio.sleep(1.5)
            self._check_all(scene, 1)
            scene.lost = 1
            scene.put()
            await trio.sleep(0.4)
            scene.put()
            await trio.sleep(0.2)
            self._check_all(scene, 3)

        self._run(scenario)

    def test_after_a_loss_the_relay_is_relied_on_again(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await trio.sleep(_SETTLE_S)
            scene.lost = 1
            scene.put()
            await trio.sleep(_SETTLE_S)
            before = self._count_reads(scene)
            scene.put()
            await trio.sleep(1.0)
            self._check_all(scene, 2)
            self.assertEqual(before[1:], self._count_reads(scene)[1:])

        self._run(scenario)

    def test_without_a_relay_each_daemon_reads_the_topic(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await trio.sleep(_SETTLE_S)
            scene.is_hub_silent = True
            scene.put()
            await trio.sleep(2.7)
            self._check_all(scene, 1)
            scene.put()
            await trio.sleep(0.4)
            self._check_all(scene, 2)

        self._run(scenario)

    def test_many_records_arrive_once_and_in_order(self) -> None:
        """A zone that ends leaves hundreds of records at once."""

        async def scenario(scene: _Scene) -> None:
            await trio.sleep(_SETTLE_S)
            scene.put(901)
            await trio.sleep(0.5)
            self._check_all(scene, 901)

        self._run(scenario)

    def test_records_that_the_log_dropped_are_read_anew(self) -> None:
        async def scenario(scene: _Scene) -> None:
            await trio.sleep(_SETTLE_S)
            scene.log.faults.is_down = True
            scene.put(3)
            await trio.sleep(3.0)
            scene.log.forget("strikes")
            scene.log.faults.is_down = False
            await trio.sleep(3.0)
            for daemon in scene.daemons:
                self.assertEqual([0, 1, 2], sorted(daemon.sink.offsets))
                self.assertEqual(3, daemon.follower.end)

        self._run(scenario)

    def test_a_daemon_that_starts_takes_no_part_of_the_topic_for_all(
        self,
    ) -> None:
        """Records before the first relayed one would be missing for good."""

        async def scenario(scene: _Scene) -> None:
            scene.put(5)
            starting = scene.daemons[1]
            self.assertFalse(starting.follower.apply_relayed(0, []))
            await trio.sleep(_SETTLE_S)
            self._check_all(scene, 5)

        self._run(scenario)
