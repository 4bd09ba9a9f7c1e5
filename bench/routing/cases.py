"""Simulate the cases in which load balancing policies are compared."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio
import trio.testing

from bench.routing import engines, fleets, workloads

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CASES", "Case", "RunResult", "run_case"]

_FAULT_AT_S = 15.0
_RECLAIM_NOTICE_S = 1.0
_REPLACEMENT_DELAY_S = 12.0


@dataclasses.dataclass(frozen=True)
class Case:
    """Faults and load of a simulation.

    Attributes:
        name: Name of the case in the tables.
        engine_model: Speed and reporting delays of the engines.
        fault: Key of the simulated fault; empty for none.
        flood_factor: Factor on the request rate of the flower shop.
        lent_fraction: Fraction of each runner's slots lent to the other
            partner.
    """

    name: str
    engine_model: engines.EngineModel = engines.EngineModel()
    fault: str = ""
    flood_factor: float = 1.0
    lent_fraction: float = 0.0


CASES = (
    Case("quiet"),
    Case("wave of reclaims", fault="reclaims"),
    Case("a zone lost", fault="zone"),
    Case("loads 3 s late", engines.EngineModel(load_lag_s=3.0)),
    Case("cache event gaps", engines.EngineModel(event_drop_interval=3)),
    Case("one partner floods", flood_factor=4.0, lent_fraction=0.25),
)


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Result of a simulation.

    Attributes:
        outcomes: Outcome of each request.
        tally: Prompt tokens that the engines computed.
        duration_s: Simulated time in which requests arrive.
    """

    outcomes: list[fleets.Outcome]
    tally: engines.TokenTally
    duration_s: float


def run_case(
    policy: str,
    case: Case,
    *,
    duration_s: float,
    seed: int,
    runners: int = 5,
    extra_workload: workloads.Workload | None = None,
) -> RunResult:
    """Simulate one case in virtual time.

    Args:
        policy: Load balancing policy, one of `policies.POLICIES`.
        case: Faults and load.
        duration_s: Simulated time in which requests arrive.
        seed: Seed of the workloads.
        runners: Model runners per partner.
        extra_workload: Additional workload for the Bureau's daemons.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    workload_list = [workloads.BUREAU, workloads.FLOWER_SHOP]
    if extra_workload is not None:
        workload_list.append(extra_workload)
    return trio.run(
        _run,
        policy,
        case,
        duration_s,
        seed,
        runners,
        workload_list,
        clock=clock,
    )


async def _run(
    policy: str,
    case: Case,
    duration_s: float,
    seed: int,
    runners: int,
    workload_list: list[workloads.Workload],
) -> RunResult:
    fleet = fleets.Fleet(policy, case.engine_model, runners, case.lent_fraction)
    outcomes: list[fleets.Outcome] = []
    async with trio.open_nursery() as background:
        for daemons in fleet.daemons.values():
            for daemon in daemons:
                background.start_soon(daemon.feeds.run)
        async with trio.open_nursery() as nursery:
            if case.fault:
                nursery.start_soon(_FAULTS[case.fault], fleet)
            for workload in workload_list:
                factor = (
                    case.flood_factor if workload.name == "lindqvist" else 1.0
                )
                arrivals = workloads.make_arrivals(
                    workload, duration_s, seed, rate_factor=factor
                )
                nursery.start_soon(
                    _send_requests,
                    nursery,
                    fleet.daemons[workload.name],
                    arrivals,
                    outcomes,
                )
        background.cancel_scope.cancel()
    return RunResult(outcomes, fleet.tally, duration_s)


async def _send_requests(
    nursery: trio.Nursery,
    daemons: list[fleets.RoutingDaemon],
    arrivals: list[workloads.Arrival],
    outcomes: list[fleets.Outcome],
) -> None:
    started_at = trio.current_time()

    async def serve(number: int, arrival: workloads.Arrival) -> None:
        daemon = daemons[number % len(daemons)]
        name = f"{daemon.partner}-{number}"
        outcomes.append(await daemon.serve(name, arrival))

    for number, arrival in enumerate(arrivals):
        await trio.sleep_until(started_at + arrival.at_s)
        nursery.start_soon(serve, number, arrival)


async def _reclaim_wave(fleet: fleets.Fleet) -> None:
    """Reclaim two runners of each partner; replacements have cold caches."""
    await trio.sleep(_FAULT_AT_S)
    for number in (0, 1):
        for partner in fleets.PARTNERS:
            fleet.announce_reclaim(f"{partner}-model-{number}")
        await trio.sleep(_RECLAIM_NOTICE_S)
        for partner in fleets.PARTNERS:
            fleet.kill(f"{partner}-model-{number}")
        await trio.sleep(_RECLAIM_NOTICE_S)
    await trio.sleep(_REPLACEMENT_DELAY_S)
    for number in (0, 1):
        for partner in fleets.PARTNERS:
            fleet.add_runner(partner, number + 100)


async def _lose_zone(fleet: fleets.Fleet) -> None:
    """Kill a zone of each partner without notice and replace it later."""
    await trio.sleep(_FAULT_AT_S)
    lost_runners = 0
    for partner in fleets.PARTNERS:
        for name in fleet.list_zone(partner, f"{partner}-a"):
            fleet.kill(name)
            lost_runners += 1
    await trio.sleep(_REPLACEMENT_DELAY_S)
    for number in range(lost_runners // len(fleets.PARTNERS)):
        for partner in fleets.PARTNERS:
            fleet.add_runner(partner, 100 + 3 * number)


_FAULTS: dict[str, Callable] = {"reclaims": _reclaim_wave, "zone": _lose_zone}
