"""Run a daemon's process under a crowd of clients outside the limits."""

from __future__ import annotations

import contextlib
import os
import pathlib
from typing import TYPE_CHECKING, Any

import trio

from tests import (
    endless_runner,
    plain_runner,
    serving_scene,
    start_addresses,
)
from tests.test_platform import process_scene

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

__all__ = [
    "BODY_BYTES",
    "DESCRIPTORS",
    "MEMORY_BYTES",
    "CrowdScene",
    "build_configuration",
    "open_crowd_scene",
]

# Of the instance, as the settings have it by default.
MEMORY_BYTES = 200_000_000
BODY_BYTES = 4_194_304
# The limit of processes in tests of descriptors.
DESCRIPTORS = 128
_HOST = "desk.example"
_LIMIT_DESCRIPTORS = """\
import resource
resource.setrlimit(resource.RLIMIT_NOFILE, ({0}, {0}))
"""
_ORDINARY = (
    b"POST /lookup/7 HTTP/1.1\r\nhost: desk.example\r\n"
    b"attempt-id: ordinary\r\ncontent-length: 5\r\n\r\nhello"
)


def build_configuration(**limits: int) -> dict[str, Any]:
    """Return a configuration with a plain route and one of streams.

    Args:
        **limits: Replace single limits. The times are long by default, so that
            no timeout of a slow machine ends the crowd.
    """
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "r-lookup",
                "Host": _HOST,
                "PathPrefix": "/lookup/",
                "RouteKind": "idempotent",
                "TimeoutMs": 60_000,
                "SloMs": 500,
                "Service": "model",
                "MaxAttempts": 2,
            },
            {
                "Name": "r-note",
                "Host": _HOST,
                "PathPrefix": "/note/",
                "RouteKind": "streaming",
                "TimeoutMs": 60_000,
                "SloMs": 60_000,
                "Service": "model",
                "MaxAttempts": 1,
            },
        ],
        "Services": [{"Name": "model"}],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": BODY_BYTES,
            "HeaderTimeoutMs": 120_000,
            "IdleTimeoutMs": 600_000,
            **limits,
        },
    }


class CrowdScene:
    """A daemon's process and the addresses that a crowd connects to.

    Attributes:
        process: The daemon with its platform and runner.
        addresses: Where the daemon listens.
    """

    def __init__(
        self,
        process: process_scene.ProcessScene,
        addresses: start_addresses.StartAddresses,
    ) -> None:
        self.process = process
        self.addresses = addresses

    async def connect(self, endpoint: str = "callers") -> trio.SocketStream:
        """Open a connection to one of `start_addresses.ENDPOINTS`."""
        return await trio.open_tcp_stream(*self.addresses.find(endpoint))

    async def play(
        self, count: int, client: Callable[[CrowdScene], Awaitable[None]]
    ) -> None:
        """Run clients at the same time until all of them have returned."""
        async with trio.open_nursery() as crowd:
            for _ in range(count):
                crowd.start_soon(_run_client, client, self)

    async def ask(self, raw: bytes = _ORDINARY) -> serving_scene.Reply:
        """Send a request on a new connection; return the answer."""
        async with await self.connect() as stream:
            await stream.send_all(raw)
            return await serving_scene.read_reply(stream)

    def is_running(self) -> bool:
        """Return whether the daemon's process is alive."""
        program = self.process.program
        return program is not None and program.process.poll() is None

    def read_peak_bytes(self) -> int:
        """Return the largest resident size that the process has had."""
        status = (self._find_folder() / "status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return int(fields["VmHWM"].split()[0]) * 1024

    def count_descriptors(self) -> int:
        """Return the number of descriptors that the process has open."""
        return len(os.listdir(self._find_folder() / "fd"))

    def _find_folder(self) -> pathlib.Path:
        program = self.process.program
        assert program is not None, "the process is not started"
        return pathlib.Path(f"/proc/{program.process.pid}")


@contextlib.asynccontextmanager
async def open_crowd_scene(
    *,
    descriptors: int = 0,
    runner: plain_runner.PlainRunner
    | endless_runner.EndlessRunner
    | None = None,
    **limits: int,
) -> AsyncIterator[CrowdScene]:
    """Start a daemon with a platform and a runner; stop them on exit.

    Args:
        descriptors: Limit of the daemon's descriptors; 0 for the system's.
        runner: The runner; by default one with short answers.
        **limits: Limits of callers in the operators' configuration.
    """
    addresses = start_addresses.create_addresses()
    module = _LIMIT_DESCRIPTORS.format(descriptors) if descriptors else ""
    async with process_scene.open_process_scene(
        listen=addresses.build_listen(),
        runner=runner or plain_runner.PlainRunner(),
        startup_module=module,
        configuration=build_configuration(**limits),
    ) as process:
        await process.wait_until_serving()
        yield CrowdScene(process, addresses)


async def _run_client(
    client: Callable[[CrowdScene], Awaitable[None]], scene: CrowdScene
) -> None:
    # The daemon may refuse clients and close their connections.
    with contextlib.suppress(trio.BrokenResourceError, OSError):
        await client(scene)
