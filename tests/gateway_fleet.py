"""Run whole daemons in one process, on a platform of fakes."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec
import trio

from martenquay_core.settings import gateway as settings_module
from martenquay_daemon import gateway_parts, gateway_ports
from martenquay_platform import codec
from martenquay_standins.ports import cloud, log
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["Daemon", "Platform", "open_daemons"]

_CALL = b"GET /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n\r\n"


class Platform:
    """The fakes that all daemons of a test share."""

    def __init__(self) -> None:
        self.log = log.MemoryLog()
        self.cloud = cloud.MemoryCloud()
        self.records = builders.FakeRecords()

    def slow_down(self, seconds: float) -> None:
        """Have each first read of a topic take so long."""
        read_newest = self.log.read_newest

        async def read_late(topic: str):
            await trio.sleep(seconds)
            return await read_newest(topic)

        self.log.read_newest = read_late

    def put_catalog(self, version: int, **changes: object) -> None:
        """Have operators put a version in force."""
        raw = b"catalog %d" % version
        self.records.catalogs[raw] = builders.build_catalog(
            version=version, **changes
        )
        self.log.put("catalog", "config", raw)

    def put_order(self, service: str, version: str, within_s: float) -> None:
        """Have operators order a service's move to a version."""
        value = f"{service} {version} {within_s}".encode()
        self.log.put("catalog", f"rollout/{service}", value)

    def list_status(self) -> list[str]:
        """Return what operators were told."""
        return [
            self.log.split_keyed(payload, 0).value.decode()
            for payload in self.log.list_payloads("status")
        ]

    def put_runner(self, address: str, **changes: object) -> None:
        """Have a runner write its entry."""
        fields = {"id": "runner-1", "address": address} | changes
        runner = builders.build_runner(**fields)
        raw = repr(runner).encode()
        self.records.runners[raw] = runner
        self.log.put("runners", runner.id, raw)


class Daemon:
    """One daemon and where it serves callers."""

    def __init__(self, name: str, platform: Platform) -> None:
        settings = msgspec.convert(
            builders.build_gateway_settings(instance=name),
            settings_module.GatewaySettings,
        )
        self.parts = gateway_parts.create_parts(
            settings,
            gateway_ports.GatewayPorts(
                log=platform.log,
                cloud=platform.cloud,
                calls=codec.create_codec(),
                records=platform.records,
                topics=builders.TOPICS,
            ),
        )
        self.address = ""

    async def ask(self) -> serving_scene.Reply:
        """Send one call."""
        host, _, port = self.address.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(_CALL)
            return await serving_scene.read_reply(stream)


@contextlib.asynccontextmanager
async def open_daemons(
    platform: Platform, count: int
) -> AsyncIterator[list[Daemon]]:
    daemons = [Daemon(f"entry-{n}", platform) for n in range(count)]
    async with trio.open_nursery() as nursery:
        for one in daemons:
            one.address = await nursery.start(one.parts.listener.run)
            await nursery.start(one.parts.run)
        yield daemons
        nursery.cancel_scope.cancel()
