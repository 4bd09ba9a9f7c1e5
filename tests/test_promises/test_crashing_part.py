"""A part of prompts that crashes runners is sent to few of them.

No two requests with the part are alike, and sound ones share their other parts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
import trio

from tests import crash_fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_TIMEOUT_S = 30.0
_MAX_CRASHED_RUNNERS = 5
# Time for crash records to reach the other daemons.
_SHARING_S = 0.3
_LETHAL_PART = b"bad:300"


class CrashingPartTest(testtools.TestCase):
    def test_different_requests_with_a_crashing_part_end_few_runners(
        self,
    ) -> None:
        async def scenario(fleet: crash_fleet.CrashFleet) -> None:
            statuses = [await self._send(fleet, n) for n in range(8)]
            self.assertLessEqual(fleet.count_ended(), _MAX_CRASHED_RUNNERS)
            self.assertEqual({503}, set(statuses[3:]))

        self._run(scenario)

    def test_requests_that_share_the_other_parts_are_served(self) -> None:
        async def scenario(fleet: crash_fleet.CrashFleet) -> None:
            for number in range(8):
                await self._send(fleet, number)
                statuses = [
                    await self._send(fleet, 100 + 2 * number + rank, b"a1:300")
                    for rank in range(2)
                ]
                if number > 3:
                    self.assertEqual([200, 200], statuses)

        self._run(scenario)

    def test_the_first_part_may_be_the_one_that_crashes_runners(self) -> None:
        async def scenario(fleet: crash_fleet.CrashFleet) -> None:
            for number in range(8):
                await self._send(fleet, number, _LETHAL_PART)
            self.assertLessEqual(fleet.count_ended(), _MAX_CRASHED_RUNNERS)
            sound = await self._send(fleet, 9, b"a1:300")
            self.assertEqual(200, sound)

        self._run(scenario)

    def test_a_daemon_that_has_just_started_refuses_the_part(self) -> None:
        async def scenario(fleet: crash_fleet.CrashFleet) -> None:
            for number in range(4):
                await self._send(fleet, number)
            ended = fleet.count_ended()
            fleet.daemons[:] = [await fleet.start_daemon()]
            await trio.sleep(_SHARING_S)
            self.assertEqual(503, await self._send(fleet, 9))
            self.assertEqual(ended, fleet.count_ended())

        self._run(scenario)

    async def _send(
        self,
        fleet: crash_fleet.CrashFleet,
        number: int,
        shared: bytes = b"a1:300," + _LETHAL_PART,
    ) -> int:
        """Send a request that is unlike all others; return its status."""
        daemon = fleet.daemons[number % len(fleet.daemons)]
        parts = b"%s,own%d:100" % (shared, number)
        path = b"/lookup/%d" % number
        reply = await daemon.ask(crash_fleet.build_request(path, number, parts))
        await trio.sleep(_SHARING_S)
        return reply.status

    def _run(
        self, scenario: Callable[[crash_fleet.CrashFleet], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_TIMEOUT_S):
                async with crash_fleet.open_fleet(2, 20, _LETHAL_PART) as fleet:
                    await scenario(fleet)

        trio.run(run)
