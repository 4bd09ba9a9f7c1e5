"""Replay arrivals at the demand meters of several daemons."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import trio

from martenquay_daemon.duties import capacity_plan, demand_trend
from martenquay_daemon.engines import demand

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["BOOT_S", "SERVICE", "Need", "find_engines", "replay_arrivals"]

SERVICE = "model"
BOOT_S = 4.0
# What an engine of site A prefills under load.
_TOKENS_PER_S = 23_000.0
_SLOTS = 64
# Uncached prompt tokens of chat, draft and tag requests, and their shares.
_PROMPTS = (628, 6610, 1800)
_WEIGHTS = (77, 47, 68)
_MEAN_TOKENS = sum(
    tokens * weight for tokens, weight in zip(_PROMPTS, _WEIGHTS, strict=True)
) / sum(_WEIGHTS)
_TICK_S = 0.1
_TICKS_PER_GOSSIP = 3
_TICKS_PER_POLL = 5


@dataclasses.dataclass(frozen=True)
class Need:
    """What the lease holder sees at one time.

    Attributes:
        at_s: Seconds since the replay began.
        tokens_per_s: The demand over all daemons.
        required: Engines needed for it.
        forecast: Engines needed for the demand forecast for a boot time later.
    """

    at_s: float
    tokens_per_s: float
    required: int
    forecast: int


def find_engines(tokens_per_s: float) -> int:
    """Return the engines needed for a rate of prompt tokens."""
    return capacity_plan.ServiceDemand(
        tokens_per_s, 0, _TOKENS_PER_S
    ).count_required(_SLOTS)


async def replay_arrivals(
    find_rate: Callable[[float], float],
    seconds: float,
    *,
    daemons: int = 18,
    seed: int = 1,
    start_s: float = 0.0,
) -> list[Need]:
    """Return the need by time of Poisson arrivals spread over daemons.

    Needs the mock clock. The first daemon holds the lease and polls as the
    capacity controller does; rates of others reach it by gossip.

    Args:
        find_rate: Returns the rate of prompt tokens per second at a time.
        seconds: How long to replay.
        daemons: Number of daemons that callers send to.
        seed: Seed of the arrivals.
        start_s: The daemons start one after another within this time, and
            callers send to those that have started.
    """
    rng = random.Random(seed)
    meters = [demand.DemandMeter()]
    gossiped = [0.0]
    trend = demand_trend.DemandTrend()
    needs = []
    for tick in range(round(seconds / _TICK_S)):
        at_s = tick * _TICK_S
        while len(meters) < daemons and len(meters) * start_s <= daemons * at_s:
            meters.append(demand.DemandMeter())
        mean = find_rate(at_s) * _TICK_S / _MEAN_TOKENS
        due = rng.expovariate(1.0)
        while due < mean:
            tokens = rng.choices(_PROMPTS, _WEIGHTS)[0]
            rng.choice(meters).note(SERVICE, tokens)
            due += rng.expovariate(1.0)
        await trio.sleep(_TICK_S)
        if tick % _TICKS_PER_GOSSIP == 0:
            gossiped = _exchange_rates(meters)
        if tick % _TICKS_PER_POLL == 0:
            total = _find_own(meters[0]) + sum(gossiped[1:])
            needs.append(_find_need(at_s, meters[0], trend, total))
    return needs


def _find_own(meter: demand.DemandMeter) -> float:
    return meter.list_rates().get(SERVICE, 0.0)


def _exchange_rates(meters: list[demand.DemandMeter]) -> list[float]:
    rates = [_find_own(meter) for meter in meters]
    if sum(rates) > 0:
        for meter in meters:
            meter.note_fleet_demand([SERVICE])
    return rates


def _find_need(
    at_s: float,
    meter: demand.DemandMeter,
    trend: demand_trend.DemandTrend,
    total: float,
) -> Need:
    if meter.is_settled(SERVICE):
        trend.add_rate(trio.current_time(), total)
    forecast = trend.forecast_rate(meter.find_lag_s(SERVICE) + BOOT_S)
    return Need(
        round(at_s, 1), total, find_engines(total), find_engines(forecast)
    )
