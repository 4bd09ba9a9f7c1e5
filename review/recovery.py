"""Check of RECOVER: what is served after all daemons were killed."""

from __future__ import annotations

import collections
import os
import random
import signal
from typing import TYPE_CHECKING, Any

import harness
import trio

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Awaitable, Callable

    Trouble = Callable[[harness.Deployment], Awaitable[None]]

__all__ = ["run_case"]

# As on serrana-quay: six machines in three zones.
_ZONES = ("caxias-a", "caxias-a", "caxias-a", "caxias-b", "caxias-b", "bento-c")
_REQUESTS_PER_S = 20.0
_BUDGET_MS = 600
_START_S = 3.0
_CALM_S = 10.0
_DOWN_S = 1.1
_RECOVERY_S = 12.0
_MEASURED_S = 8.0
_LEAST = 0.25
# An uncaught error ends Python with 1, so a broken rule has its own status.
_BROKEN, _HELD, _NOT_RUN = 10, 0, 2


class Requesters:
    """Requesters of one tenant, which asks for far less than its allowance.

    Attributes:
        statuses: Final statuses of the present phase; 0 for no answer.
    """

    def __init__(self, fleet: harness.Deployment) -> None:
        self.statuses: collections.Counter[int] = collections.Counter()
        self._fleet = fleet
        self._number = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(random.expovariate(_REQUESTS_PER_S))
                self._number += 1
                nursery.start_soon(self._request, self._number)

    def begin_phase(self, name: str) -> collections.Counter[int]:
        """Return the statuses of the phase that ends, and start another."""
        ended, self.statuses = self.statuses, collections.Counter()
        self._fleet.record.write("phase", name=name, before=dict(ended))
        return ended

    async def _request(self, number: int) -> None:
        """Send one request, and once more if it is refused or not taken."""
        status = 0
        for attempt in range(2):
            running = [one for one in self._fleet.daemons if _is_running(one)]
            if not running:
                break
            status = await self._try(random.choice(running), number, attempt)
            if status not in {0, 429, 503}:
                break
        self.statuses[status] += 1

    async def _try(
        self, daemon: harness.Daemon, number: int, attempt: int
    ) -> int:
        attempt_id = f"{number:012x}{attempt:04x}"
        answer = await self._fleet.call(
            "GET",
            f"http://{daemon.frontend}/look/{number}",
            [
                (b"Host", harness.HOST.encode()),
                (b"Attempt-Id", attempt_id.encode()),
                (b"Deadline-Ms", str(_BUDGET_MS).encode()),
                (b"Authorization", b"Token key-hule930"),
            ],
            _BUDGET_MS / 1000,
        )
        status = answer.ok.status if answer.is_ok() else 0
        self._fleet.record.write(
            "answer", id=attempt_id, daemon=daemon.name, status=status
        )
        return status


def run_case(folder: pathlib.Path, trouble: Trouble) -> int:
    """Run a case and return its exit status.

    Args:
        folder: The folder of the case, for `record.txt`.
        trouble: The disruption before the final fault.
    """
    has_trouble = os.environ.get("TROUBLE") != "0"
    return trio.run(_run, folder, trouble if has_trouble else None)


async def _run(folder: pathlib.Path, trouble: Trouble | None) -> int:
    async with harness.open_deployment(folder) as fleet:
        await _start(fleet)
        requesters = Requesters(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(requesters.run)
            await trio.sleep(_CALM_S)
            if trouble is not None:
                await trouble(fleet)
            before = requesters.begin_phase("final fault")
            await _kill_all(fleet)
            await trio.sleep(_RECOVERY_S)
            requesters.begin_phase("after RecoveryS")
            await trio.sleep(_MEASURED_S)
            after = requesters.begin_phase("end")
            nursery.cancel_scope.cancel()
        is_broken = _find_share(after) < _LEAST <= _find_share(before)
        fleet.record.write("verdict", broken=is_broken)
    print(f"before the final fault: {dict(before)}")
    print(f"more than {_RECOVERY_S:.0f} s after it: {dict(after)}")
    print("RECOVER broken" if is_broken else "RECOVER held")
    if not after.total() or _find_share(before) < _LEAST:
        return _NOT_RUN
    return _BROKEN if is_broken else _HELD


async def _start(fleet: harness.Deployment) -> None:
    await fleet.append("keyed.op", "config", _build_config())
    for number in range(3):
        zone = _ZONES[2 * number]
        await fleet.start_runner(f"i-{number}", "desk", zone, streams=False)
    for number, zone in enumerate(_ZONES):
        await fleet.add_daemon(zone, number)
    for daemon in fleet.daemons:
        await fleet.wait_ready(daemon)
    await trio.sleep(_START_S)


async def _kill_all(fleet: harness.Deployment) -> None:
    """Kill all daemons at once; the platform starts them again."""
    for daemon in fleet.daemons:
        fleet.send_signal(daemon, signal.SIGKILL)
    for daemon in fleet.daemons:
        await fleet.wait_ended(daemon)
    await trio.sleep(_DOWN_S)
    for daemon in fleet.daemons:
        await fleet.start_daemon(daemon)
    for daemon in fleet.daemons:
        await fleet.wait_ready(daemon)


def _is_running(daemon: harness.Daemon) -> bool:
    return daemon.process is not None and daemon.process.poll() is None


def _find_share(statuses: collections.Counter[int]) -> float:
    return statuses[200] / max(1, statuses.total())


def _build_config() -> dict[str, Any]:
    route = {
        "Name": "look",
        "Host": harness.HOST,
        "PathPrefix": "/look/",
        "RouteKind": "idempotent",
        "TimeoutMs": 600,
        "SloMs": 125,
        "Service": "desk",
        "MaxAttempts": 2,
    }
    team = {
        "Name": "hule930",
        "ApiKeys": ["key-hule930"],
        "Unit": "token_stream",
        "UncachedTokens": 200,
        "RatePerS": 18_000.0,
        "Burst": 18_000.0,
    }
    return {
        "Version": 1,
        "Routes": [route],
        "Services": [{"Name": "desk"}],
        "Tenants": [team],
    }
