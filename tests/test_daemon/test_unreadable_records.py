"""A record that cannot be decoded costs only itself, in each topic."""

from __future__ import annotations

import contextlib
import json
import socket

import eliot
import testtools
import trio

from martenquay_platform import records
from martenquay_standins import loopback
from martenquay_standins.ports import runner as scripted
from tests import gateway_fleet

_TIMEOUT_S = 20.0
# Deeper than Python's recursion limit, in a field that is not read.
_DEEP_JSON = b'{"Labels":' + b"[" * 4000
_DEEP_LIST = b'[["model",0,{},' + b"[" * 4000
_DEEP_MSGPACK = (
    # A lease record, a usage record and other arrays with an element too many.
    b"\x9f" + b"\x91" * 5000,
    b"\x93\x01\x80" + b"\x91" * 5000,
    b"\x96\x01\x01\xa1m\xa1i\xcd\x0b\xb8" + b"\x91" * 5000,
)
_HUGE = 10**400
# Their labels are empty or too long, or they hold what no name may.
_ODD_HOSTS = ("\u00fc..x", "a\x00b", "..", "x" * 300, "a b", "\ud7ff", "a/b")
_ODD_PORTS = ("0", "65536", "99999", "-1", "http", "9" * 5000, "\u0663", " 1")
_ODD_IDS = ("runner \u20ac", "runner\n2", "runner\x00", " runner", "r\x7f")
_REQUESTS = 24
_KEYED_TOPICS = {
    "catalog": ("config", "rollout/desk"),
    "runners": ("runner-9",),
    "members": ("entry-9",),
    "strikes": ("part 1",),
    "rollouts": ("desk", "memory"),
}
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 4\r\n\r\nfine",
)
_CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "lookup",
            "Host": "desk.example",
            "PathPrefix": "/lookup/",
            "RouteKind": "idempotent",
            "TimeoutMs": 5000,
            "Service": "desk",
        }
    ],
    "Services": [{"Name": "desk"}],
}


def _encode_runner(address: str, **changes: object) -> bytes:
    entry = {
        "Service": "desk",
        "Addr": address,
        "Zone": "a",
        "Version": "v1",
        "Slots": 4,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
    }
    return json.dumps(entry | changes).encode()


class UnreadableRecordsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[dict[str, object]] = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    def _run(self, write_before, write_during=None, check=None) -> None:
        """Start a daemon on records; a request is served, no task fails."""
        check = check or self._wait_served

        async def run() -> None:
            platform = gateway_fleet.Platform()
            platform.records = records.create_codec()
            runner = scripted.ScriptedRunner([scripted.Script(_ANSWER)])
            with trio.fail_after(_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    await nursery.start(runner.run)
                    config = json.dumps(_CONFIG).encode()
                    platform.log.put("catalog", "config", config)
                    await write_before(platform)
                    entry = _encode_runner(runner.address)
                    platform.log.put("runners", "runner-1", entry)
                    async with gateway_fleet.open_daemons(
                        platform, 1
                    ) as daemons:
                        await check(daemons[0])
                        if write_during is not None:
                            await write_during(platform)
                            await trio.sleep(0.5)
                            await self._wait_served(daemons[0])
                    nursery.cancel_scope.cancel()

        trio.run(run)
        failed = [line for line in self.lines if "trace" in line]
        self.assertEqual([], [line["text"] for line in failed])

    async def _wait_served(self, daemon: gateway_fleet.Daemon) -> None:
        while (await daemon.ask()).status != 200:
            await trio.sleep(0.05)

    async def _write_nothing(self, platform) -> None:
        pass

    async def _write_deep_keyed(self, platform) -> None:
        for topic, keys in _KEYED_TOPICS.items():
            for key in keys:
                if topic != "catalog" or key != "config":
                    platform.log.put(topic, key, _DEEP_JSON)

    async def _write_deep_unkeyed(self, platform) -> None:
        for topic in ("lease", "usage", "origins"):
            deep = [_DEEP_JSON, _DEEP_LIST, *_DEEP_MSGPACK]
            await platform.log.append(topic, deep)

    def test_deep_entries_before_the_first_read(self) -> None:
        self._run(self._write_deep_keyed)

    def test_deep_entries_while_running(self) -> None:
        async def write(platform) -> None:
            await self._write_deep_keyed(platform)
            platform.log.put("catalog", "config", _DEEP_JSON)

        self._run(self._write_nothing, write)

    def test_deep_records_before_the_first_read(self) -> None:
        self._run(self._write_deep_unkeyed)

    def test_deep_records_while_running(self) -> None:
        self._run(self._write_nothing, self._write_deep_unkeyed)

    def test_entries_with_huge_numbers(self) -> None:
        async def write(platform) -> None:
            for number, name in enumerate(("Slots", "Seq", "born")):
                entry = _encode_runner("127.0.0.1:1", **{name: _HUGE})
                platform.log.put("runners", f"runner-{number + 2}", entry)

        self._run(write)

    async def _assert_all_served(self, daemon: gateway_fleet.Daemon) -> None:
        await self._wait_served(daemon)
        replies = [await daemon.ask() for _ in range(_REQUESTS)]
        self.assertEqual([200] * _REQUESTS, [one.status for one in replies])

    def test_entries_with_an_address_that_cannot_be_looked_up(self) -> None:
        async def write(platform) -> None:
            for number, host in enumerate(_ODD_HOSTS):
                entry = _encode_runner(f"{host}:80")
                platform.log.put("runners", f"runner-{number + 2}", entry)

        self._run(write, check=self._assert_all_served)

    def test_entries_with_a_port_out_of_range(self) -> None:
        async def write(platform) -> None:
            for number, port in enumerate(_ODD_PORTS):
                entry = _encode_runner(f"127.0.0.1:{port}")
                platform.log.put("runners", f"runner-{number + 2}", entry)

        self._run(write, check=self._assert_all_served)

    def test_entries_with_an_id_that_no_header_can_hold(self) -> None:
        with contextlib.ExitStack() as stack:

            async def write(platform) -> None:
                for runner_id in _ODD_IDS:
                    # Connections open, and a request would be sent.
                    listener = socket.create_server((loopback.HOST, 0))
                    stack.enter_context(listener)
                    port = listener.getsockname()[1]
                    entry = _encode_runner(loopback.create_address(port))
                    platform.log.put("runners", runner_id, entry)

            self._run(write, check=self._assert_all_served)

    def test_a_configuration_with_a_huge_version(self) -> None:
        async def write(platform) -> None:
            config = json.dumps(_CONFIG | {"Version": _HUGE}).encode()
            platform.log.put("catalog", "config", config)

        self._run(self._write_nothing, write)
