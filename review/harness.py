"""Start a small deployment on loopback addresses, for the review's scripts.

Daemons are started with the command of the deploy file. The store and the
runners are the project's own stand-ins, in processes of their own.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from martenquay_core.util import http
from martenquay_platform import log as wire
from martenquay_standins.chaos import proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

__all__ = ["HOST", "Daemon", "Deployment", "Record", "open_deployment"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
LEASE_TOPIC = "martenquay-lease"
_PORTS = 4
_VARIABLES = ("PATH", "HOME")
_RECEIVE_BYTES = 65_536
# Those of serrana-quay.
BOUNDS = {
    "grace_s": 8,
    "lease_ms": 3000,
    "window_s": 5,
    "usage_late_s": 10,
    "drain_ms": 2000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "allowance_window_s": 8,
    "allowance_overrun": 0.1,
    "allowance_slack": 72_000,
}


class Record:
    """Writes what happened to a file, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, kind: str, at: float | None = None, **fields: Any) -> None:
        """Write one line."""
        at = time.monotonic() if at is None else at
        text = json.dumps(fields, sort_keys=True)
        self._file.write(f"{at - self.started_at:9.3f} {kind} {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Daemon:
    """A machine with a daemon.

    Attributes:
        name: The machine's name.
        zone: Its zone.
        ip: Its loopback address.
        ports: Ports of callers, readiness, peers and relays.
        link: Proxy on its way to the platform.
        settings: Its settings file.
        process: The running process.
        lines: Its log lines.
    """

    name: str
    zone: str
    ip: str
    ports: list[int]
    link: proxy.FaultyProxy
    settings: pathlib.Path
    process: trio.Process | None = None
    lines: list[dict[str, Any]] = dataclasses.field(default_factory=list)

    @property
    def frontend(self) -> str:
        """The address for requesters."""
        return f"{self.ip}:{self.ports[0]}"


class Deployment:
    """Processes of a small deployment.

    Attributes:
        record: Where events are written.
        on_event: Called with each event of a stand-in.
        store: Address of the store.
        daemons: All daemons that were added.
        runners: Addresses of the runners by id.
    """

    def __init__(
        self, nursery: trio.Nursery, folder: pathlib.Path, record: Record
    ) -> None:
        self.record = record
        self.on_event: Callable[[dict[str, Any]], None] = lambda _: None
        self.store = ""
        self.daemons: list[Daemon] = []
        self.runners: dict[str, str] = {}
        self._nursery = nursery
        self._folder = folder
        self._client: http.HttpClient | None = None
        self._processes: list[trio.Process] = []
        self._base_port = 0
        self._added = 0

    async def start_store(self, client: http.HttpClient) -> None:
        """Start the stand-in for the store and the cloud API."""
        self._client = client
        self.store = await self._start_stand_in(["store"])

    async def append(self, topic: str, key: str, content: Any) -> None:
        """Append a keyed record to the store, as the operator does."""
        await self.append_bytes(topic, key, json.dumps(content).encode())

    async def append_bytes(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record of any content to the store."""
        assert self._client is not None
        written = await wire.create_log(self._client, self.store).append(
            topic, [wire.join_keyed(key, value)]
        )
        if written.is_error():
            raise RuntimeError(f"the store took no record: {written.error}")
        self.record.write("append", topic=topic, key=key, size=len(value))

    async def set_faults(self, **faults: Any) -> None:
        """Set faults of the store."""
        assert self._client is not None
        await self._client.call(
            "POST",
            f"http://{self.store}/faults",
            body=json.dumps(faults).encode(),
        )

    async def call(
        self,
        method: str,
        url: str,
        headers: list[tuple[bytes, bytes]],
        timeout_s: float,
    ) -> Any:
        """Send one request over a new connection."""
        assert self._client is not None
        return await self._client.call(
            method, url, headers=headers, timeout_s=timeout_s
        )

    async def follow_lease(self, handle: Callable[[list[Any]], None]) -> None:
        """Call `handle` with each record of the lease's topic."""
        assert self._client is not None
        log = wire.create_log(self._client, self.store)
        end = 0
        while True:
            page = await log.read(LEASE_TOPIC, end, wait_s=1.0)
            if page.is_error():
                await trio.sleep(0.05)
                continue
            for payload in page.ok.records:
                handle(msgspec.msgpack.decode(payload))
            end = max(end, page.ok.end)

    async def start_runner(
        self, runner_id: str, service: str, zone: str, *, streams: bool
    ) -> str:
        """Start the stand-in for a runner and return its address."""
        assert self._client is not None
        address = await self._start_stand_in(
            [
                "runner",
                f"--store={self.store}",
                f"--id={runner_id}",
                f"--service={service}",
                f"--zone={zone}",
                f"--streams={streams}",
            ]
        )
        await self._client.call(
            "POST",
            f"http://{address}/control",
            body=json.dumps({"address": address}).encode(),
        )
        self.runners[runner_id] = address
        return address

    async def add_daemon(self, zone: str, number: int) -> Daemon:
        """Add a machine at an address of its own and start its daemon."""
        self._added += 1
        ip = f"127.0.1.{self._added + 10}"
        link = proxy.FaultyProxy(self.store)
        await self._nursery.start(link.run)
        daemon = Daemon(
            name=f"edge-{zone}-{number}",
            zone=zone,
            ip=ip,
            ports=self._find_ports(ip),
            link=link,
            settings=self._folder / f"{zone}-{number}.jsonc",
        )
        self.daemons.append(daemon)
        await self.start_daemon(daemon)
        return daemon

    async def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon's process with the command of the deploy file."""
        content = self._build_settings(daemon)
        daemon.settings.write_text(json.dumps(content), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["martenquayd"]["run"].split()
        env = {name: os.environ.get(name, "") for name in _VARIABLES}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["MARTENQUAY_BOOT"] = str(daemon.settings)
        daemon.process = await self._open(command, env)
        self.record.write("start", daemon=daemon.name, ip=daemon.ip)
        self._nursery.start_soon(
            self._read_lines, daemon.process, daemon.lines.append
        )

    async def wait_ready(self, daemon: Daemon, timeout_s: float = 10.0) -> None:
        """Wait until a daemon's readiness check succeeds."""
        assert self._client is not None
        with trio.fail_after(timeout_s):
            while True:
                answer = await self._client.call(
                    "GET",
                    f"http://{daemon.ip}:{daemon.ports[1]}/api/readyz",
                    timeout_s=1.0,
                )
                if answer.is_ok() and answer.ok.status == 200:
                    return
                await trio.sleep(0.05)

    def send_signal(self, daemon: Daemon, number: signal.Signals) -> None:
        """Send a signal to a daemon's process."""
        assert daemon.process is not None
        self.record.write("signal", daemon=daemon.name, signal=number.name)
        if daemon.process.poll() is None:
            daemon.process.send_signal(number)

    async def wait_ended(self, daemon: Daemon) -> int:
        """Wait for the end of a daemon; kill it after its grace time."""
        assert daemon.process is not None
        with trio.move_on_after(BOUNDS["grace_s"]):
            return await daemon.process.wait()
        daemon.process.kill()
        return await daemon.process.wait()

    def kill_all(self) -> None:
        """Kill all processes that were started here."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()

    def _find_ports(self, ip: str) -> list[int]:
        """Return free ports; they are alike at all addresses."""
        while not self._base_port:
            base = random.randrange(20_000, 31_000, _PORTS)
            ports = range(base, base + _PORTS)
            if all(_is_free(ip, port) for port in ports):
                self._base_port = base
        return list(range(self._base_port, self._base_port + _PORTS))

    def _build_settings(self, daemon: Daemon) -> dict[str, Any]:
        """Return the settings, as `platform/settings.jsonc` has them."""
        callers, readiness, peers, relay = daemon.ports
        return {
            "instance": daemon.name,
            "zone": daemon.zone,
            "link_mbps": 1000.0,
            "listen": {
                "callers": f"{daemon.ip}:{callers}",
                "readiness": f"{daemon.ip}:{readiness}",
                "readiness_path": "/api/readyz",
                "ip": daemon.ip,
                "peer_port": peers,
                "relay_port": relay,
            },
            "platform": {
                "log": daemon.link.address,
                "cloud": self.store,
                "duties": True,
            },
            "bounds": BOUNDS,
            "load": {"expected_demand": 0.3},
            "seeds": [f"{one.ip}:{peers}" for one in self.daemons[:3]],
        }

    async def _start_stand_in(self, arguments: list[str]) -> str:
        paths = [
            ROOT / "target/deps",
            ROOT / "platform/src",
            *(
                ROOT / "packages" / name / "src"
                for name in ("core", "daemon", "standins")
            ),
        ]
        env = {name: os.environ.get(name, "") for name in _VARIABLES}
        env["PYTHONPATH"] = os.pathsep.join(map(str, paths))
        command = ["python3", "-m", "martenquay_platform_standins", *arguments]
        process = await self._open(command, env)
        listening = trio.Event()
        address = ""

        def handle(line: dict[str, Any]) -> None:
            nonlocal address
            if line["kind"] == "listening":
                address = line["address"]
                listening.set()
                return
            kind, at = line.pop("kind"), line.pop("at")
            self.record.write(kind, at, **line)
            self.on_event({"kind": kind, "at": at, **line})

        self._nursery.start_soon(self._read_lines, process, handle)
        with trio.fail_after(10.0):
            await listening.wait()
        return address

    async def _open(
        self, command: list[str], env: dict[str, str]
    ) -> trio.Process:
        process = await trio.lowlevel.open_process(
            command, stdout=subprocess.PIPE, env=env, cwd=ROOT
        )
        self._processes.append(process)
        return process

    async def _read_lines(
        self, process: trio.Process, handle: Callable[[dict[str, Any]], None]
    ) -> None:
        assert process.stdout is not None
        rest = b""
        while data := await process.stdout.receive_some(_RECEIVE_BYTES):
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                handle(json.loads(line))


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


@contextlib.asynccontextmanager
async def open_deployment(
    folder: pathlib.Path,
) -> AsyncIterator[Deployment]:
    """Open a deployment with a store; all of its processes end with it.

    Args:
        folder: The folder of the case, for `record.txt`.
    """
    # Ends with all processes that were started here, also if it is stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        async with (
            http.open_client(reuse=False) as client,
            trio.open_nursery() as nursery,
        ):
            deployment = Deployment(nursery, pathlib.Path(temporary), record)
            try:
                await deployment.start_store(client)
                yield deployment
            finally:
                deployment.kill_all()
            nursery.cancel_scope.cancel()
