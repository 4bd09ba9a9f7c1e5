"""Run whole daemons with runners that report their state in answers."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_standins.ports import reporting_runner
from tests import gateway_fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from tests import serving_scene

__all__ = ["TellingFleet", "TellingTestCase", "open_fleet"]

_TIMEOUT_S = 60.0
_READY_TIMEOUT_S = 10.0
_CHECK_INTERVAL_S = 0.05


@dataclasses.dataclass
class TellingFleet:
    """A fleet of daemons and the runners of one service.

    Attributes:
        platform: Fakes that the daemons share.
        daemons: The daemons.
        runners: The runners.
        replies: Replies to all requests that were sent.
    """

    platform: gateway_fleet.Platform
    daemons: list[gateway_fleet.Daemon]
    runners: list[reporting_runner.ReportingRunner]
    replies: list[serving_scene.Reply] = dataclasses.field(default_factory=list)

    async def send_load(self, per_daemon_s: float, duration_s: float) -> None:
        """Send requests to each daemon at a rate, for a duration.

        Args:
            per_daemon_s: Requests a second to each daemon.
            duration_s: How long to send, in seconds.
        """
        end = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                for daemon in self.daemons:
                    nursery.start_soon(self._send_request, daemon)
                await trio.sleep(1 / per_daemon_s)

    def put_entry(self, number: int, **changes: object) -> None:
        """Write a runner's entry, with some fields changed."""
        fields: dict[str, object] = {
            "id": f"runner-{number}",
            "zone": "a",
            "born_ms": 1,
        }
        address = self.runners[number].address
        self.platform.put_runner(address, **(fields | changes))

    async def _send_request(self, daemon: gateway_fleet.Daemon) -> None:
        self.replies.append(await daemon.ask())


@contextlib.asynccontextmanager
async def open_fleet(daemons: int, runners: int) -> AsyncIterator[TellingFleet]:
    """Run a fleet until each runner has served a request."""
    platform = gateway_fleet.Platform()
    platform.put_catalog(1)
    fleet_runners = [reporting_runner.ReportingRunner() for _ in range(runners)]
    async with trio.open_nursery() as nursery:
        fleet = TellingFleet(platform, [], fleet_runners)
        for number, one in enumerate(fleet_runners):
            await nursery.start(one.run)
            fleet.put_entry(number)
        async with gateway_fleet.open_daemons(platform, daemons) as started:
            fleet.daemons += started
            with trio.fail_after(_READY_TIMEOUT_S):
                while not await _has_each_runner_served(fleet):
                    await trio.sleep(_CHECK_INTERVAL_S)
            yield fleet
        nursery.cancel_scope.cancel()


async def _has_each_runner_served(fleet: TellingFleet) -> bool:
    """Send each daemon a request; return whether each runner had one."""
    for daemon in fleet.daemons:
        await daemon.ask()
    return all(one.arrivals for one in fleet.runners)


class TellingTestCase(testtools.TestCase):
    """Base of tests that each run a fleet of their own.

    Attributes:
        daemons: Number of daemons.
        runners: Number of runners of the one service.
    """

    daemons = 1
    runners = 2

    def run_fleet(
        self, scenario: Callable[[TellingFleet], Awaitable[None]]
    ) -> None:
        """Run a scenario with a new fleet."""

        async def run() -> None:
            with trio.fail_after(_TIMEOUT_S):
                async with open_fleet(self.daemons, self.runners) as fleet:
                    await scenario(fleet)

        trio.run(run)
