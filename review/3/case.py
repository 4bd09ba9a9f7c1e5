"""Cut the lease's holder off the store, and stop its successor as planned."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import signal
import sys
import time
from typing import Any

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

from martenquay_standins.chaos import proxy

_ZONES = ("caxias-a", "caxias-b")
_LEASE_S = 3.0
_THAW_S = 0.3
# Of the site's list: `core_cut` lasts 5.5 s at most.
_MAX_CUT_S = 5.5
_RUN_S = 105.0
# The wait for a renewal at the right moment, before the holder is stopped.
_ALIGN_S = 7.0
# After the first, second and later refusals of an order.
_PAUSES_S = (1.52, 3.03, 4.03)
# The holder acts up to 2.0 s after it sent its last renewal.
_EARLIEST_S, _LATEST_S = 1.6, 1.95
_TAKEN, _RENEWED, _RELEASED = range(3)
# An uncaught error ends Python with 1, so a broken rule has its own status.
_BROKEN, _HELD, _NOT_RUN = 10, 0, 2


@dataclasses.dataclass(frozen=True)
class Call:
    """A call of a duty, as the platform received it."""

    at: float
    subject: str
    holder: str
    fence: int
    is_refused: bool


class Watch:
    """What the platform has seen."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.holder = ""
        self.kind = -1
        self.lease_at = 0.0
        self.changed = trio.Event()
        self.healed_at: list[tuple[str, float]] = []

    def note_event(self, event: dict[str, Any]) -> None:
        """Keep a call of a duty."""
        if event["kind"] != "duty":
            return
        body = event["body"]
        subject = event["name"]
        if subject == "scale":
            subject = f"scale {body['Service']} {body['Zone']}"
        self.calls.append(
            Call(
                event["at"],
                subject,
                event["holder"],
                event["fence"],
                event["is_refused"],
            )
        )
        self._notify()

    def note_lease(self, record: list[Any]) -> None:
        """Note a record of the lease."""
        self.kind, self.holder = record[0], record[2]
        self.lease_at = time.monotonic()
        self._notify()

    def find_break(self) -> str:
        """Return where holders act in the order A, B, A in a lease's time."""
        for subject in sorted({call.subject for call in self.calls}):
            calls = [one for one in self.calls if one.subject == subject]
            for number, last in enumerate(calls):
                if self._is_just_healed(last):
                    continue
                found = _find_return(calls[:number], last)
                if found:
                    return f"{subject}: {found}"
        return ""

    def _is_just_healed(self, call: Call) -> bool:
        return any(
            name == call.holder and at <= call.at <= at + _THAW_S
            for name, at in self.healed_at
        )

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


def _find_return(before: list[Call], last: Call) -> str:
    """Return the calls of A and B before A's last one, or an empty text."""
    others: list[Call] = []
    for call in reversed(before):
        if last.at - call.at > _LEASE_S:
            return ""
        if call.holder != last.holder:
            others.append(call)
        elif others:
            between = others[-1]
            return (
                f"{call.holder} (fence {call.fence}), {between.holder} (fence"
                f" {between.fence}) {between.at - call.at:.3f} s later,"
                f" {last.holder} (fence {last.fence})"
                f" {last.at - call.at:.3f} s after its first"
            )
    return ""


def _build_config() -> dict[str, Any]:
    route = {
        "Name": "chat",
        "Host": harness.HOST,
        "PathPrefix": "/chat/",
        "RouteKind": "streaming",
        "TimeoutMs": 8000,
        "SloMs": 800,
        "Service": "model",
        "MaxAttempts": 2,
        "Resumable": True,
    }
    scaling = {
        "Min": 1,
        "Max": 6,
        "BootS": 4.0,
        "SpotPrice": 0.22,
        "ZonePrices": dict(zip(_ZONES, (0.85, 1.2), strict=True)),
    }
    engine = {"Slots": 64, "KvCapacity": 264_479, "Moves": True}
    team = {
        "Name": "hule930",
        "ApiKeys": ["key-hule930"],
        "Unit": "token_stream",
        "UncachedTokens": 200,
        "RatePerS": 77_000.0,
        "Burst": 77_000.0,
    }
    return {
        "Version": 1,
        "Routes": [route],
        "Services": [{"Name": "model", "Engine": engine, "Scaling": scaling}],
        "Tenants": [team],
    }


async def _wait_for(watch: Watch, is_met: Any, timeout_s: float) -> bool:
    with trio.move_on_after(timeout_s):
        while not is_met():
            await watch.changed.wait()
        return True
    return False


async def _wait_for_cut(watch: Watch) -> str:
    """Wait for a renewal after which the holder acts late in its lease.

    The platform has no more runners, so orders are repeated after pauses that
    are known, and the time of the holder's next one is known as well.

    Returns:
        The holder; an empty text if there was no such renewal.
    """
    with trio.move_on_after(_ALIGN_S):
        while True:
            await watch.changed.wait()
            if watch.kind != _RENEWED:
                continue
            left_s = _find_next_order(watch) - watch.lease_at
            if _EARLIEST_S <= left_s <= _LATEST_S:
                return watch.holder
    return ""


def _find_next_order(watch: Watch) -> float:
    """Return when the holder repeats its last order; 0 if unknown."""
    orders = [one for one in watch.calls if one.is_refused]
    if not orders:
        return 0.0
    count = 0
    for order in reversed(orders):
        if order.holder != watch.holder:
            break
        count += order.subject == orders[-1].subject
    if count < 2:
        return 0.0
    return orders[-1].at + _PAUSES_S[min(count, len(_PAUSES_S)) - 1]


async def _play(fleet: harness.Deployment, watch: Watch) -> None:
    """Cut off a holder once, and stop its successor after its first order."""
    by_name = {daemon.name: daemon for daemon in fleet.daemons}
    holder = await _wait_for_cut(watch)
    if not holder:
        await _restart(fleet, by_name[watch.holder])
        return
    first = by_name[holder]
    cut_at = time.monotonic()
    fleet.record.write("cut", daemon=first.name)
    first.link.set_faults(
        proxy.ProxyFaults(is_silent_to=True, is_silent_from=True)
    )
    await _wait_for(watch, lambda: watch.holder != holder, _MAX_CUT_S - 0.5)
    first.link.reset_connections()
    first.link.set_faults(proxy.ProxyFaults())
    watch.healed_at.append((holder, time.monotonic()))
    fleet.record.write("heal", daemon=holder, after_s=time.monotonic() - cut_at)
    if watch.holder == holder:
        return
    second = by_name[watch.holder]
    count = len(watch.calls)
    await _wait_for(
        watch,
        lambda: any(
            call.holder == second.name and call.subject.startswith("scale")
            for call in watch.calls[count:]
        ),
        1.0,
    )
    await _restart(fleet, second)


async def _restart(fleet: harness.Deployment, daemon: harness.Daemon) -> None:
    """Stop a daemon as planned and start it again."""
    fleet.send_signal(daemon, signal.SIGTERM)
    status = await fleet.wait_ended(daemon)
    fleet.record.write("ended", daemon=daemon.name, status=status)
    await fleet.start_daemon(daemon)
    await fleet.wait_ready(daemon)


async def _run(folder: pathlib.Path, *, trouble: bool) -> int:
    watch = Watch()
    async with harness.open_deployment(folder) as fleet:
        fleet.on_event = watch.note_event
        await fleet.append("keyed.op", "config", _build_config())
        await fleet.set_faults(is_dry=True)
        for number, zone in enumerate(_ZONES):
            await fleet.start_runner(f"i-{number}", "model", zone, streams=True)
            await fleet.add_daemon(zone, 1)
        for daemon in fleet.daemons:
            await fleet.wait_ready(daemon)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.follow_lease, watch.note_lease)
            with trio.move_on_after(_RUN_S - 8):
                while not watch.find_break():
                    if trouble:
                        await _play(fleet, watch)
                    else:
                        await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        found = watch.find_break()
        fleet.record.write("verdict", broken=found, calls=len(watch.calls))
    print(f"ONE broken: {found}" if found else "ONE held")
    if not watch.calls:
        return _NOT_RUN
    return _BROKEN if found else _HELD


if __name__ == "__main__":
    with_trouble = os.environ.get("TROUBLE") != "0"
    here = pathlib.Path(__file__).resolve().parent
    sys.exit(trio.run(lambda: _run(here, trouble=with_trouble)))
