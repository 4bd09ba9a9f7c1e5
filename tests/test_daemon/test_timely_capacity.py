"""Guard against settings that do not reach the orders of a whole daemon."""

from __future__ import annotations

import msgspec
import testtools
import trio

from martenquay_core.serving import catalog
from martenquay_core.settings import gateway as settings_module
from martenquay_daemon import gateway_parts, gateway_ports
from martenquay_daemon.duties import capacity_memory
from martenquay_platform import codec
from tests import gateway_fleet
from tests import serving_builders as builders

_ENGINE = catalog.EngineTraits(slots=64, kv_tokens=550_000)
# The lease, the wait for the runners' entries, and one order.
_ORDER_S = 6.0


def _build_platform() -> gateway_fleet.Platform:
    """Return a platform with a service that can be scaled and one team."""
    platform = gateway_fleet.Platform()
    service = builders.build_service(
        name="model", engine=_ENGINE, scaling=builders.build_scaling(most=9)
    )
    team = builders.build_team(rate=300_000.0, counts_tokens=True)
    platform.put_catalog(1, services={"model": service}, teams=(team,))
    for number in range(2):
        platform.put_runner(
            f"127.0.0.1:{number + 1}",
            id=f"runner-{number}",
            service="model",
            zone="ab"[number],
        )
    return platform


def _create_parts(
    platform: gateway_fleet.Platform, **load: object
) -> gateway_parts.GatewayParts:
    settings = msgspec.convert(
        builders.build_gateway_settings(load=load),
        settings_module.GatewaySettings,
    )
    return gateway_parts.create_parts(
        settings,
        gateway_ports.GatewayPorts(
            log=platform.log,
            cloud=platform.cloud,
            calls=codec.create_codec(),
            records=platform.records,
            topics=builders.TOPICS,
        ),
    )


class TimelyCapacityTest(testtools.TestCase):
    def _find_orders(self, *cases: dict[str, object]) -> list[int]:
        """Return the reclaimable runners that a daemon of each case orders."""
        platforms = [_build_platform() for _ in cases]

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for platform, case in zip(platforms, cases, strict=True):
                    load = dict(case)
                    if load.pop("has_record", False):
                        self._put_record(platform)
                    parts = _create_parts(platform, **load)
                    await nursery.start(parts.run)
                await trio.sleep(_ORDER_S)
                nursery.cancel_scope.cancel()

        trio.run(run)
        found = []
        for platform in platforms:
            last = {
                order.zone: order.wanted
                for order in platform.cloud.list_orders()
                if order.is_reclaimable
            }
            found.append(sum(last.values()))
        return found

    def _put_record(self, platform: gateway_fleet.Platform) -> None:
        """Write the capacity record of an earlier holder, just now."""
        record = {
            "version": 1,
            "services": {"model": (150_000.0, 30_000.0, 1.0)},
            "mark": (2, 2, 4.0),
        }
        platform.log.put(
            builders.TOPICS.rollouts,
            capacity_memory.MEMORY_KEY,
            msgspec.json.encode(record),
        )

    def test_expected_and_remembered_demand_are_ordered_without_traffic(
        self,
    ) -> None:
        """Both need the settings, the first reads and the lease together."""
        none, expected, remembered, disabled = self._find_orders(
            {},
            {"expected_demand": 0.5},
            {"has_record": True},
            {"has_record": True, "capacity_memory": False},
        )
        # Two initial runners that remain without one of two zones.
        self.assertEqual(4, none)
        # 150,000 / (30,000 x 0.65) needs 8.
        self.assertEqual(16, expected)
        self.assertEqual(16, remembered)
        self.assertEqual(4, disabled)
