"""Remember which runners this daemon reaches only through other daemons."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.forwarding import runner_connection as connections

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RunnerPaths"]

_LOG = logs.create_log("relay")
_PROBE_INTERVAL_S = 0.5
_PROBE_TIMEOUT_S = 0.1
# Bounds the connections that probes open at once in a large fleet.
_MAX_PROBES = 8
# A lost path that no request has used for this long is forgotten, such as that
# to a runner that has ended.
_FORGET_AFTER_S = 10.0
# With this many paths lost and none that works, the others are taken for lost.
_MIN_LOST_PATHS = 2


def _ignore(count: int) -> None:
    del count


class RunnerPaths:
    """The runners whose direct connections fail though others reach them.

    Attributes:
        on_change: Called with the number of lost paths when it has changed.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[int], None] = _ignore
        # When each path was last found lost, on trio's clock. The runner whose
        # probe is due next comes first.
        self._lost: dict[str, float] = {}
        self._has_lost = trio.Event()
        # Lost paths since a direct connection was opened.
        self._lost_in_a_row: set[str] = set()

    @property
    def is_cut_off(self) -> bool:
        """Whether this daemon seems to reach no runner itself."""
        return len(self._lost_in_a_row) >= _MIN_LOST_PATHS

    def is_lost(self, address: str) -> bool:
        """Return whether a runner is reached only through other daemons."""
        return address in self._lost

    def note_lost(self, address: str) -> None:
        """Record that another daemon reached a runner and this one did not."""
        if address not in self._lost:
            _LOG.write(
                f"The path to the runner at {address} is lost; requests go "
                "through other daemons.",
                address=address,
                lost_paths=len(self._lost) + 1,
            )
        self._lost[address] = trio.current_time()
        self._lost_in_a_row.add(address)
        self._has_lost.set()
        self.on_change(len(self._lost))

    def note_direct(self, address: str) -> None:
        """Record that a direct connection to a runner was opened."""
        self._lost_in_a_row.clear()
        if self._lost.pop(address, None) is None:
            return
        _LOG.write(
            f"The path to the runner at {address} is back.",
            address=address,
            lost_paths=len(self._lost),
        )
        self.on_change(len(self._lost))

    async def run(self) -> None:
        """Probe lost paths until cancelled."""
        while True:
            await self._has_lost.wait()
            await trio.sleep(_PROBE_INTERVAL_S)
            self._forget_unused()
            await self._probe_some()
            if not self._lost:
                self._has_lost = trio.Event()

    def _forget_unused(self) -> None:
        oldest = trio.current_time() - _FORGET_AFTER_S
        for address, used_at in list(self._lost.items()):
            if used_at < oldest:
                del self._lost[address]
                self._lost_in_a_row.discard(address)
                self.on_change(len(self._lost))

    async def _probe_some(self) -> None:
        addresses = list(self._lost)[:_MAX_PROBES]
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._probe, address)
        for address in addresses:
            if address in self._lost:
                self._lost[address] = self._lost.pop(address)

    async def _probe(self, address: str) -> None:
        with contextlib.suppress(connections.NotConnectedError):
            async with connections.connect_runner(address, _PROBE_TIMEOUT_S):
                self.note_direct(address)
