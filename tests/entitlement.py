"""Compare what ledgers admit with what one exact token bucket would admit."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from martenquay_core.serving import catalog

__all__ = [
    "Attempt",
    "Comparison",
    "LoadMix",
    "TeamLoad",
    "TeamRequest",
    "compare_team",
    "replay_bucket",
]

# Units per request and their weights, as in `allowance_days`.
_SIZES = (1.0, 200.0, 1_150.0, 1_735.0, 8_000.0, 13_000.0, 26_000.0)
_WEIGHTS = (15, 20, 25, 25, 15, 4, 1)
_MEAN_SIZE = sum(s * w for s, w in zip(_SIZES, _WEIGHTS, strict=True)) / sum(
    _WEIGHTS
)
# Distances from the highest priority of engine routes, as in the forwarder.
_RESERVES = (1, 2)


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A caller's first attempt at a request.

    Attributes:
        number: Its place in the order of all requests.
        at_s: When it was sent.
        team: The caller's team.
        units: What it costs.
        reserve: Its distance from the highest priority.
    """

    number: int
    at_s: float
    team: catalog.Team
    units: float
    reserve: int = 0


@dataclasses.dataclass(frozen=True)
class TeamLoad:
    """A steady load of one team.

    Attributes:
        team: The team.
        demand: Units asked for, as a multiple of the team's rate.
    """

    team: catalog.Team
    demand: float


@dataclasses.dataclass(frozen=True)
class TeamRequest:
    """A request that is about to be sent.

    Attributes:
        team: The caller's team.
        units: What it costs.
    """

    team: catalog.Team
    units: float


class LoadMix:
    """Draws the requests of further teams, and urgencies.

    Attributes:
        rng: Its random numbers, apart from those of the first team's requests,
            which are thereby the same beside any further teams.
    """

    def __init__(
        self, seed: int, loads: Iterable[TeamLoad], *, has_urgencies: bool
    ) -> None:
        self.rng = random.Random(seed + 2)
        self._loads = tuple(loads)
        self._has_urgencies = has_urgencies

    def draw(self, step_s: float) -> list[TeamRequest]:
        """Return the further teams' requests of one step."""
        requests = []
        for load in self._loads:
            mean = load.team.rate * load.demand * step_s / _MEAN_SIZE
            count = int(mean) + (self.rng.random() < mean % 1)
            sizes = self.rng.choices(_SIZES, _WEIGHTS, k=count)
            requests.extend(TeamRequest(load.team, units) for units in sizes)
        return requests

    def draw_reserve(self) -> int:
        """Return the distance from the highest priority of a request."""
        if not self._has_urgencies:
            return 0
        return self.rng.choice(_RESERVES)


@dataclasses.dataclass(frozen=True)
class Comparison:
    """What became of the requests to which a team was entitled.

    Attributes:
        entitled: Requests that the exact bucket admits.
        served: Those of them that the ledgers admitted.
        entitled_units: Units of the entitled requests.
        served_units: Units of those of them that the ledgers admitted.
        spent_units: Units of all requests that the ledgers admitted.
        unused: Mean over all windows of the entitled units that were not
            spent in the window by any request, as a ratio of the entitled.
    """

    entitled: int
    served: int
    entitled_units: float
    served_units: float
    spent_units: float
    unused: float

    @property
    def served_ratio(self) -> float:
        """Ratio of the entitled requests that were admitted."""
        return self.served / max(1, self.entitled)

    @property
    def spent_ratio(self) -> float:
        """Units of all admitted requests per entitled unit."""
        return self.spent_units / max(1.0, self.entitled_units)


def replay_bucket(attempts: Iterable[Attempt]) -> set[int]:
    """Return the numbers of the requests that one exact bucket admits.

    The bucket is full at the start. It is refilled with the team's rate up to
    its burst, and admits a request if it holds all its units.

    Args:
        attempts: One team's first attempts, in their order.
    """
    admitted = set()
    level = refilled_at = None
    for attempt in attempts:
        team = attempt.team
        if level is None or refilled_at is None:
            level = team.burst
        else:
            refilled = team.rate * (attempt.at_s - refilled_at)
            level = min(team.burst, level + refilled)
        refilled_at = attempt.at_s
        if attempt.units <= level:
            level -= attempt.units
            admitted.add(attempt.number)
    return admitted


def compare_team(
    attempts: Iterable[Attempt],
    admitted: Collection[int],
    team: catalog.Team,
    since_s: float,
    window_s: float,
) -> Comparison:
    """Compare one team's admitted requests with what it was entitled to.

    Args:
        attempts: The first attempts of all teams, in their order.
        admitted: Numbers of the requests that the ledgers admitted.
        team: The team.
        since_s: Requests before are replayed, but not counted.
        window_s: The time over which a team's units are counted.
    """
    own = [attempt for attempt in attempts if attempt.team is team]
    entitled_numbers = replay_bucket(own)
    counted = [attempt for attempt in own if attempt.at_s >= since_s]
    entitled = [one for one in counted if one.number in entitled_numbers]
    served = [one for one in entitled if one.number in admitted]
    spent = [one for one in counted if one.number in admitted]
    return Comparison(
        len(entitled),
        len(served),
        sum(one.units for one in entitled),
        sum(one.units for one in served),
        sum(one.units for one in spent),
        _find_unused(entitled, spent, since_s, window_s),
    )


def _find_unused(
    entitled: list[Attempt],
    spent: list[Attempt],
    since_s: float,
    window_s: float,
) -> float:
    """Return the mean ratio of entitled units not spent within a window."""
    if not entitled:
        return 0.0
    ratios = []
    end_s = since_s + window_s
    while end_s <= entitled[-1].at_s:
        due, used = (
            sum(o.units for o in found if end_s - window_s < o.at_s <= end_s)
            for found in (entitled, spent)
        )
        if due > 0:
            ratios.append(max(0.0, 1 - used / due))
        end_s += 1.0
    return sum(ratios) / max(1, len(ratios))
