"""Divide what a runner in need takes among the daemons of a fleet.

Equal parts do not add up where the limit is small: with 1 request a second and
400 daemons, each may send one in 400 s, and after a pause of the callers all do
so at the same moment. So a few daemons, its holders, have the whole limit, as
many as it is requests a second, and send at a steady pace each. The others ask
only while the holders are silent, one after the other: a limit that nobody asks
about would never end.
"""

from __future__ import annotations

import dataclasses
import math

__all__ = [
    "ProbeSlot",
    "HolderSchedule",
    "SenderRank",
    "Share",
    "find_pace_s",
    "find_share",
]

# One holder may be gone, or have no callers for the runner.
_LEAST_HOLDERS = 2
# Less than this is asked for as well, for nothing else tells that a runner
# which takes nothing is well again.
_LEAST_PER_S = 0.1
# The holders are silent when nothing was heard of the runner for so many of
# their intervals, and for so long at the least: news of it take up to two
# seconds in a large fleet.
_SILENT_INTERVALS = 3
_LEAST_SILENT_S = 5.0
# Others ask at this part of the limit and not more often than that: daemons
# reckon slots from news of different age, and the holders may wake up.
_ASK_PART = 0.5
_MOST_ASKED_PER_S = 0.5


@dataclasses.dataclass(frozen=True)
class SenderRank:
    """Where a daemon stands among those that may send to a runner.

    Attributes:
        rank: 0 for the first.
        daemons: How many there are.
    """

    rank: int
    daemons: int


@dataclasses.dataclass(frozen=True)
class HolderSchedule:
    """What a holder may send.

    Attributes:
        first_s: From the first word of a limit to its first request.
        interval_s: Between any two of its requests.
    """

    first_s: float
    interval_s: float


@dataclasses.dataclass(frozen=True)
class ProbeSlot:
    """When another daemon may send one request, to learn of the limit's end.

    A slot that was not used is gone: else all would be due after a pause.

    Attributes:
        first_s: From the last word of the runner to its first slot.
        length_s: Of a slot.
        period_s: From one of its slots to the next.
    """

    first_s: float
    length_s: float
    period_s: float


Share = HolderSchedule | ProbeSlot


def find_pace_s(limit_per_s: float) -> float:
    """Return the time between two requests of all daemons together."""
    return 1 / max(limit_per_s, _LEAST_PER_S)


def find_share(limit_per_s: float, place: SenderRank) -> Share:
    """Return what one daemon may send; no two daemons have the same turn."""
    rate = max(limit_per_s, _LEAST_PER_S)
    daemons = max(1, place.daemons)
    wanted = max(_LEAST_HOLDERS, math.floor(min(rate, daemons)))
    holders = min(wanted, daemons)
    interval_s = holders / rate
    if place.rank < holders:
        return HolderSchedule((place.rank + 1) / rate, interval_s)
    silent_s = max(_LEAST_SILENT_S, _SILENT_INTERVALS * interval_s)
    length_s = 1 / min(_ASK_PART * rate, _MOST_ASKED_PER_S)
    number = place.rank - holders
    others = max(number + 1, daemons - holders)
    return ProbeSlot(silent_s + number * length_s, length_s, others * length_s)
