"""Bring about the cases in which ways of placing are compared."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio
import trio.testing

from bench.routing import engines, sites, workloads

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CASES", "Case", "RunResult", "run_case"]

_FIRST_FAULT_S = 15.0
_NOTICE_S = 1.0
_BACK_S = 12.0


@dataclasses.dataclass(frozen=True)
class Case:
    """One case.

    Attributes:
        name: What happens.
        engine_model: How the engines behave.
        events: What befalls the fleet while requests come.
        flood_factor: How many times more the flower shop sends.
        share: The part of each runner's slots that is lent.
    """

    name: str
    engine_model: engines.EngineModel = engines.EngineModel()
    events: str = ""
    flood_factor: float = 1.0
    share: float = 0.0


CASES = (
    Case("quiet"),
    Case("wave of reclaims", events="reclaims"),
    Case("a zone lost", events="zone"),
    Case("loads 3 s late", engines.EngineModel(load_lag_s=3.0)),
    Case("cache event gaps", engines.EngineModel(event_gap=3)),
    Case("one partner floods", flood_factor=4.0, share=0.25),
)


@dataclasses.dataclass(frozen=True)
class RunResult:
    """What a run came to.

    Attributes:
        outcomes: One for each request.
        tally: What the engines computed.
        seconds: How long requests came.
    """

    outcomes: list[sites.Outcome]
    tally: engines.Tally
    seconds: float


def run_case(
    policy: str,
    case: Case,
    *,
    seconds: float,
    seed: int,
    runners: int = 5,
    flood: workloads.Mix | None = None,
) -> RunResult:
    """Run one case in virtual time.

    Args:
        policy: The way of placing.
        case: What befalls the fleet.
        seconds: How long requests come.
        seed: Decides the workloads.
        runners: Model runners a partner.
        flood: A further workload for the Bureau's daemons.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    mixes = [workloads.BUREAU, workloads.FLOWER_SHOP]
    if flood is not None:
        mixes.append(flood)
    return trio.run(
        _run, policy, case, seconds, seed, runners, mixes, clock=clock
    )


async def _run(
    policy: str,
    case: Case,
    seconds: float,
    seed: int,
    runners: int,
    mixes: list[workloads.Mix],
) -> RunResult:
    fleet = sites.Fleet(policy, case.engine_model, runners, case.share)
    outcomes: list[sites.Outcome] = []
    async with trio.open_nursery() as background:
        for partner_sites in fleet.sites.values():
            for site in partner_sites:
                background.start_soon(site.feeds.run)
        async with trio.open_nursery() as nursery:
            if case.events:
                nursery.start_soon(_EVENTS[case.events], fleet)
            for mix in mixes:
                factor = case.flood_factor if mix.name == "lindqvist" else 1.0
                arrivals = workloads.make_arrivals(
                    mix, seconds, seed, rate_factor=factor
                )
                nursery.start_soon(
                    _send, nursery, fleet.sites[mix.name], arrivals, outcomes
                )
        background.cancel_scope.cancel()
    return RunResult(outcomes, fleet.tally, seconds)


async def _send(
    nursery: trio.Nursery,
    partner_sites: list[sites.Site],
    arrivals: list[workloads.Arrival],
    outcomes: list[sites.Outcome],
) -> None:
    started = trio.current_time()

    async def serve(number: int, arrival: workloads.Arrival) -> None:
        # The balancer spreads callers over the daemons.
        site = partner_sites[number % len(partner_sites)]
        name = f"{site.partner}-{number}"
        outcomes.append(await site.serve(name, arrival))

    for number, arrival in enumerate(arrivals):
        await trio.sleep_until(started + arrival.at)
        nursery.start_soon(serve, number, arrival)


async def _reclaim_wave(fleet: sites.Fleet) -> None:
    """Reclaim two runners of each partner; cold ones come later."""
    await trio.sleep(_FIRST_FAULT_S)
    for number in (0, 1):
        for partner in sites.PARTNERS:
            fleet.give_notice(f"{partner}-model-{number}")
        await trio.sleep(_NOTICE_S)
        for partner in sites.PARTNERS:
            fleet.kill(f"{partner}-model-{number}")
        await trio.sleep(_NOTICE_S)
    await trio.sleep(_BACK_S)
    for number in (0, 1):
        for partner in sites.PARTNERS:
            fleet.add_runner(partner, number + 100)


async def _lose_zone(fleet: sites.Fleet) -> None:
    """Kill a zone of each partner without notice; it comes back cold."""
    await trio.sleep(_FIRST_FAULT_S)
    lost = 0
    for partner in sites.PARTNERS:
        for name in fleet.list_zone(partner, f"{partner}-a"):
            fleet.kill(name)
            lost += 1
    await trio.sleep(_BACK_S)
    for number in range(lost // len(sites.PARTNERS)):
        for partner in sites.PARTNERS:
            fleet.add_runner(partner, 100 + 3 * number)


_EVENTS: dict[str, Callable] = {"reclaims": _reclaim_wave, "zone": _lose_zone}
