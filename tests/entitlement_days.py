"""Build days on which one team asks for several times its rate."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from tests import (
    allowance_days,
    allowance_fleet,
    entitlement,
    zone_days,
)
from tests import serving_builders as builders

if TYPE_CHECKING:
    from martenquay_core.serving import catalog

__all__ = [
    "GREEDY_S",
    "MODEST_TEAMS",
    "DayOutline",
    "compare_all",
    "play_outline",
]

# When the greedy team's demand rises; entitled requests are counted from then.
GREEDY_S = 10.0
_LENGTH_S = 28.0
_SMALL_FLEET = 8
_ZONES = 5
_CUT_S = (14.0, 19.0)
_MODEST_DEMAND = 0.8
# In tokens per second and tokens.
MODEST_TEAMS = (
    builders.build_team(name="modest", rate=23_000.0, burst=46_000.0),
    builders.build_team(name="small", rate=9_000.0, burst=46_000.0),
)


@dataclasses.dataclass(frozen=True)
class DayOutline:
    """A day on which one team is greedy and others stay within their rates.

    Attributes:
        seed: Seed of the random numbers.
        size: Number of daemons.
        is_one_zone: Whether all callers are at daemons of one zone.
        has_cut: Whether one zone is cut off for some seconds.
        demand: The greedy team's demand, as a multiple of its rate.
    """

    seed: int
    size: int
    is_one_zone: bool = False
    has_cut: bool = False
    demand: float = 6.0


def play_outline(outline: DayOutline) -> allowance_days.Played:
    """Run the day; return its requests."""
    if outline.size <= _SMALL_FLEET:
        return allowance_days.play_day(_build_small_day(outline))
    return zone_days.play_zone_day(_build_zone_day(outline))


def compare_all(
    played: allowance_days.Played,
) -> dict[str, entitlement.Comparison]:
    """Return each team's comparison with an exact bucket, by its name."""
    teams: tuple[catalog.Team, ...] = (allowance_fleet.TEAM, *MODEST_TEAMS)
    return {
        team.name: entitlement.compare_team(
            played.attempts,
            played.admitted,
            team,
            GREEDY_S,
            allowance_fleet.BOUNDS.window_s,
        )
        for team in teams
    }


def _list_loads() -> tuple[entitlement.TeamLoad, ...]:
    return tuple(
        entitlement.TeamLoad(team, _MODEST_DEMAND) for team in MODEST_TEAMS
    )


def _create_troubles(
    outline: DayOutline, names: list[str]
) -> tuple[allowance_days.Trouble, ...]:
    if not outline.has_cut:
        return ()
    return (allowance_days.Trouble("cut", *_CUT_S, frozenset(names)),)


def _build_small_day(outline: DayOutline) -> allowance_days.Day:
    """Return a day of a small fleet, of which each third is a zone."""
    names = [f"entry-{n}" for n in range(outline.size)]
    zone = names[: outline.size // 3]
    rng = random.Random(outline.seed)
    shares = {name: rng.choice([0.3, 1.0, 3.0]) for name in names}
    if outline.is_one_zone:
        shares = {name: shares[name] * (name in zone) for name in names}
    return allowance_days.Day(
        outline.seed,
        tuple(names),
        _create_troubles(outline, zone),
        demand=outline.demand,
        greedy_s=GREEDY_S,
        length_s=_LENGTH_S,
        shares=shares,
        others=_list_loads(),
        has_urgencies=True,
    )


def _build_zone_day(outline: DayOutline) -> zone_days.ZoneDay:
    drawn = zone_days.draw_zone_day(outline.seed, outline.size)
    zone = f"z{outline.seed % _ZONES}"
    in_zone = [name for name, p in drawn.places.items() if p.zone == zone]
    return dataclasses.replace(
        drawn,
        joining=frozenset(),
        troubles=_create_troubles(outline, in_zone),
        demand=outline.demand,
        greedy_s=GREEDY_S,
        length_s=_LENGTH_S,
        caller_zones=frozenset([zone] if outline.is_one_zone else []),
        others=_list_loads(),
        has_urgencies=True,
    )
