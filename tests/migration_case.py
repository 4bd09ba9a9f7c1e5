"""Test case: a daemon relays streams of fake engines that leave."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import testtools
import trio

from tests import migration_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests import serving_scene

__all__ = ["EVENTS", "MigrationTestCase"]

_HANG_S = 20.0
# Rule TWICE of the design page.
_MAX_OVERLAP_S = 0.4
EVENTS = 40


class MigrationTestCase(testtools.TestCase):
    """Plays scenarios; no request may run at two engines for long."""

    def play(
        self,
        scenario: Callable[[migration_scene.MigrationScene], Awaitable[None]],
        **options: Any,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with migration_scene.open_migration_scene(
                    events=EVENTS, **options
                ) as world:
                    await scenario(world)
                    overlap_s = world.grid.find_longest_overlap()
                    self.assertLessEqual(overlap_s, _MAX_OVERLAP_S)

        trio.run(run)

    def check_whole(
        self,
        world: migration_scene.MigrationScene,
        reply: serving_scene.Reply,
    ) -> None:
        """Check that all events of one run arrived, once and in order."""
        self.assertTrue(reply.is_whole)
        self.assertEqual(1, len(world.find_seeds(reply)))
        self.assertEqual(EVENTS, reply.body.count(b"id: "))

    def check_cut(
        self,
        world: migration_scene.MigrationScene,
        reply: serving_scene.Reply,
    ) -> None:
        """Check that the answer looks cut off, and not like a rejection."""
        self.assertEqual(200, reply.status)
        self.assertFalse(reply.is_whole)
        self.assertEqual({1}, world.find_seeds(reply))
        self.assertLess(reply.body.count(b"id: "), EVENTS)
