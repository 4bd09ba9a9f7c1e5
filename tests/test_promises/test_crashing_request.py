"""A request that has crashed three runners is sent to no other runner.

Daemons share crash records, so retries at other daemons are refused too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
import trio

from tests import crash_fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_TIMEOUT_S = 30.0
_MAX_CRASHED_RUNNERS = 3
# Time for crash records to reach the other daemons.
_SHARING_S = 0.3


class CrashingRequestTest(testtools.TestCase):
    def test_retries_at_other_daemons_crash_at_most_three_runners(self) -> None:
        async def scenario(fleet: crash_fleet.CrashFleet) -> None:
            statuses = [await self._send(fleet, n) for n in range(8)]
            self.assertLessEqual(fleet.count_ended(), _MAX_CRASHED_RUNNERS)
            self.assertEqual({503}, set(statuses[2:]))

        self._run(scenario)

    def test_a_new_daemon_refuses_the_request(self) -> None:
        async def scenario(fleet: crash_fleet.CrashFleet) -> None:
            for number in range(2):
                await self._send(fleet, number)
            restarted = await fleet.start_daemon()
            await trio.sleep(_SHARING_S)
            request = crash_fleet.build_request(crash_fleet.LETHAL, 9)
            reply = await restarted.ask(request)
            self.assertEqual(503, reply.status)
            self.assertLessEqual(fleet.count_ended(), _MAX_CRASHED_RUNNERS)

        self._run(scenario)

    def test_other_requests_are_still_served(self) -> None:
        async def scenario(fleet: crash_fleet.CrashFleet) -> None:
            for number in range(8):
                await self._send(fleet, number)
                harmless = crash_fleet.build_request(crash_fleet.HARMLESS)
                reply = await fleet.daemons[number % 2].ask(harmless)
                self.assertEqual((200, True), (reply.status, reply.is_whole))

        self._run(scenario)

    async def _send(self, fleet: crash_fleet.CrashFleet, number: int) -> int:
        daemon = fleet.daemons[number % len(fleet.daemons)]
        request = crash_fleet.build_request(crash_fleet.LETHAL, number)
        reply = await daemon.ask(request)
        await trio.sleep(_SHARING_S)
        return reply.status

    def _run(
        self, scenario: Callable[[crash_fleet.CrashFleet], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_TIMEOUT_S):
                async with crash_fleet.open_fleet(2, 12) as fleet:
                    await scenario(fleet)

        trio.run(run)
