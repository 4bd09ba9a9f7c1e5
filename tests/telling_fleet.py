"""Run whole daemons before runners that tell of their own state."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_standins.ports import telling_runner
from tests import gateway_fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from tests import serving_scene

__all__ = ["TellingFleet", "TellingTestCase", "open_fleet"]

_HANG_S = 60.0
_READY_S = 10.0
_LOOK_S = 0.05


@dataclasses.dataclass
class TellingFleet:
    """Daemons, runners and what callers got.

    Attributes:
        platform: The fakes that all share.
        daemons: The daemons.
        runners: The runners.
        replies: All answers that callers got.
    """

    platform: gateway_fleet.Platform
    daemons: list[gateway_fleet.Daemon]
    runners: list[telling_runner.TellingRunner]
    replies: list[serving_scene.Reply] = dataclasses.field(default_factory=list)

    async def press(self, per_daemon_s: float, duration_s: float) -> None:
        """Send so many requests a second to each daemon for so long."""
        end = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                for daemon in self.daemons:
                    nursery.start_soon(self._ask, daemon)
                await trio.sleep(1 / per_daemon_s)

    def put_entry(self, number: int, **changes: object) -> None:
        """Have a runner write its entry, with changes."""
        fields: dict[str, object] = {
            "id": f"runner-{number}",
            "zone": "a",
            "born_ms": 1,
        }
        address = self.runners[number].address
        self.platform.put_runner(address, **(fields | changes))

    async def _ask(self, daemon: gateway_fleet.Daemon) -> None:
        self.replies.append(await daemon.ask())


@contextlib.asynccontextmanager
async def open_fleet(daemons: int, runners: int) -> AsyncIterator[TellingFleet]:
    """Run so many daemons, which know so many runners of one service."""
    platform = gateway_fleet.Platform()
    platform.put_catalog(1)
    found = [telling_runner.TellingRunner() for _ in range(runners)]
    async with trio.open_nursery() as nursery:
        fleet = TellingFleet(platform, [], found)
        for number, one in enumerate(found):
            await nursery.start(one.run)
            fleet.put_entry(number)
        async with gateway_fleet.open_daemons(platform, daemons) as started:
            fleet.daemons += started
            with trio.fail_after(_READY_S):
                while not await _is_each_runner_used(fleet):
                    await trio.sleep(_LOOK_S)
            yield fleet
        nursery.cancel_scope.cancel()


async def _is_each_runner_used(fleet: TellingFleet) -> bool:
    """Ask each daemon once; tell whether each runner has had a request."""
    for daemon in fleet.daemons:
        await daemon.ask()
    return all(one.arrivals for one in fleet.runners)


class TellingTestCase(testtools.TestCase):
    """Tests over a fleet of their own.

    Attributes:
        daemons: How many there are.
        runners: How many runners of one service.
    """

    daemons = 1
    runners = 2

    def run_fleet(
        self, scenario: Callable[[TellingFleet], Awaitable[None]]
    ) -> None:
        """Run a scenario to its end."""

        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with open_fleet(self.daemons, self.runners) as fleet:
                    await scenario(fleet)

        trio.run(run)
