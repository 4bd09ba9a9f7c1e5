"""Run a large fleet on a fake platform and count its platform calls."""

from __future__ import annotations

import collections
import contextlib
import re
from typing import TYPE_CHECKING

import msgspec
import trio

from martenquay_core.settings import gateway as settings_module
from martenquay_daemon import gateway_parts, gateway_ports
from martenquay_platform import codec
from tests import gateway_fleet
from tests import serving_builders as builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["CallFleet", "open_fleet"]

_HEARTBEAT_S = 0.5
_LINE = re.compile(
    rb'martenquay_platform_calls_total\{call="(\w+)",outcome="(\w+)",'
    rb'topic="([\w.-]*)"\} (\d+)'
)


class CallFleet:
    """Daemons in several zones, and runners that write heartbeats.

    Attributes:
        platform: The fakes that the daemons share.
        daemons: The daemons' parts, by instance.
    """

    def __init__(self, runners: int) -> None:
        self.platform = gateway_fleet.Platform()
        self.platform.put_catalog(1)
        self.daemons: dict[str, gateway_parts.GatewayParts] = {}
        self._runners = runners

    def add_daemon(self, instance: str, zone: str) -> None:
        """Create a daemon; `open_fleet` runs it."""
        settings = msgspec.convert(
            builders.build_gateway_settings(instance=instance, zone=zone),
            settings_module.GatewaySettings,
        )
        self.daemons[instance] = gateway_parts.create_parts(
            settings,
            gateway_ports.GatewayPorts(
                log=self.platform.log,
                cloud=self.platform.cloud,
                calls=codec.create_codec(),
                records=self.platform.records,
                topics=builders.TOPICS,
            ),
        )

    def count_calls(self) -> collections.Counter[str]:
        """Return the calls of all daemons by kind and topic."""
        total: collections.Counter[str] = collections.Counter()
        for parts in self.daemons.values():
            total.update(_read_counts(parts))
        return total

    def count_by_daemon(self, name: str) -> dict[str, int]:
        """Return the calls of one kind and topic by instance."""
        return {
            instance: _read_counts(parts)[name]
            for instance, parts in self.daemons.items()
        }

    def put_crash(self, number: int) -> None:
        """Write a crash record, as a daemon does."""
        key = f"content{number}.1.runner-1"
        self.platform.log.put("strikes", key, b"{}")

    def count_crash_known(self, number: int) -> int:
        """Return how many daemons know a crash record."""
        content = f"content{number}"
        return sum(
            parts.quarantine.find_latest(content) > 0
            for parts in self.daemons.values()
        )

    async def beat(self) -> None:
        """Write the runners' heartbeats until cancelled."""
        while True:
            for number in range(self._runners):
                self.platform.put_runner(
                    f"127.0.0.1:{number + 1}",
                    id=f"runner-{number}",
                    zone="abcd"[number % 4],
                )
            await trio.sleep(_HEARTBEAT_S)


def _read_counts(
    parts: gateway_parts.GatewayParts,
) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for kind, _, topic, count in _LINE.findall(parts.metrics.render()):
        counts[f"{kind.decode()} {topic.decode()}".strip()] += int(count)
    return counts


@contextlib.asynccontextmanager
async def open_fleet(
    daemons: int, zones: str, runners: int = 12
) -> AsyncIterator[CallFleet]:
    """Run a fleet whose daemons start together."""
    fleet = CallFleet(runners)
    for number in range(daemons):
        fleet.add_daemon(f"entry-{number}", zones[number % len(zones)])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.beat)
        for parts in fleet.daemons.values():
            await nursery.start(parts.run)
        yield fleet
        nursery.cancel_scope.cancel()
