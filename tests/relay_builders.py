"""Build relays and dialers for tests."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.relay import dialer, paths, peers, server
from martenquay_standins import loopback

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

__all__ = ["OWN", "RelayScene", "open_relay_scene"]

_MAX_TUNNELS = 500

OWN = "entry-own"


class RelayScene:
    """A dialer and the relays that it knows.

    Attributes:
        dialer: Connects as a daemon does.
        paths: The paths that the dialer knows to be lost.
        peers: The relays that the dialer knows.
        relays: The relays.
        relay_paths: The lost paths of each relay.
        addresses: Addresses of the relays.
        outcomes: Outcomes of relayed attempts that the dialer counted.
    """

    def __init__(self) -> None:
        self.paths = paths.RunnerPaths()
        self.peers = peers.RelayPeers(OWN, random.Random(1))
        self.outcomes: list[str] = []
        self.dialer = dialer.RunnerDialer(
            self.paths, self.peers, self.outcomes.append
        )
        self.relays: list[server.RelayServer] = []
        self.relay_paths: list[paths.RunnerPaths] = []
        self.addresses: list[str] = []
        self._scope = trio.CancelScope()

    def cancel_relays(self) -> None:
        """End all relays at once; their sockets close."""
        self._scope.cancel()

    async def run(
        self,
        count: int,
        is_runner: Callable[[str], bool],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run some relays until cancelled."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    await self._add_relay(nursery, is_runner)
                task_status.started()

    async def _add_relay(
        self, nursery: trio.Nursery, is_runner: Callable[[str], bool]
    ) -> None:
        """Start a relay and announce it to the dialer."""
        number = len(self.relays)
        relay_paths = paths.RunnerPaths()
        relay = server.RelayServer(
            loopback.HOST,
            0,
            relay_paths,
            is_runner,
            lambda _: None,
            _MAX_TUNNELS,
        )
        address = await nursery.start(relay.run)
        self.relays.append(relay)
        self.relay_paths.append(relay_paths)
        self.addresses.append(address)
        self.peers.add(f"entry-{number}", address, 0.0)


@contextlib.asynccontextmanager
async def open_relay_scene(
    count: int = 1, is_runner: Callable[[str], bool] = lambda _: True
) -> AsyncIterator[RelayScene]:
    """Run some relays that accept the addresses of runners."""
    scene = RelayScene()
    async with trio.open_nursery() as nursery:
        await nursery.start(scene.run, count, is_runner)
        yield scene
        nursery.cancel_scope.cancel()
