"""A request under which three runners have ended is sent to no more of them.

A request that crashes each runner that begins to run it came back with other
ids, at one daemon after the other. Each daemon took the runner for the one at
fault, sent the request to a second one, and forgot it with the try: "Attempt
1: Broken", "Attempt 2: Broken", 0.2 s apart, and the same 40 ms later at the
next daemon. 14 of some 12 runners ended in 35 s, 2 to 14 streams of others with
each of them; three ends and three sends more are the most that is allowed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
import trio

from tests import crash_fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_HANG_S = 30.0
_MOST_ENDED = 3
# A tenth of the time that daemons have to learn it from each other.
_TOLD_S = 0.3


class CrashingRequestTest(testtools.TestCase):
    def test_returns_at_other_daemons_crash_three_runners_at_most(self) -> None:
        async def scenario(fleet: crash_fleet.CrashFleet) -> None:
            statuses = [await self._send(fleet, n) for n in range(8)]
            self.assertLessEqual(fleet.count_ended(), _MOST_ENDED)
            self.assertEqual({503}, set(statuses[2:]))

        self._run(scenario)

    def test_a_daemon_that_starts_anew_knows_it(self) -> None:
        async def scenario(fleet: crash_fleet.CrashFleet) -> None:
            for number in range(2):
                await self._send(fleet, number)
            fresh = await fleet.start_daemon()
            await trio.sleep(_TOLD_S)
            request = crash_fleet.build_request(crash_fleet.LETHAL, 9)
            reply = await fresh.ask(request)
            self.assertEqual(503, reply.status)
            self.assertLessEqual(fleet.count_ended(), _MOST_ENDED)

        self._run(scenario)

    def test_requests_of_others_are_served_on(self) -> None:
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
        await trio.sleep(_TOLD_S)
        return reply.status

    def _run(
        self, scenario: Callable[[crash_fleet.CrashFleet], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with crash_fleet.open_fleet(2, 12) as fleet:
                    await scenario(fleet)

        trio.run(run)
