"""Divide what a runner in need takes among the daemons of a fleet.

Equal parts do not add up where the limit is small: with 1 request a second and
400 daemons, each may send one in 400 s, and after a pause of the callers all do
so at the same moment. So a few daemons, its holders, have the whole limit, as
many as it is requests a second, and send at a steady pace each. The probers ask
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
    "find_send_interval_s",
    "find_share",
]

# One holder may be gone, or have no callers for the runner.
_MIN_HOLDERS = 2
# Less than this is asked for as well, for nothing else tells that a runner
# which takes nothing is well again.
_MIN_LIMIT_PER_S = 0.1
# The holders are silent when nothing was heard of the runner for so many of
# their intervals, and for so long at the least: news of it take up to two
# seconds in a large fleet.
_SILENT_INTERVALS = 3
_MIN_SILENCE_S = 5.0
# Others ask at this part of the limit and not more often than that: daemons
# reckon slots from news of different age, and the holders may wake up.
_PROBE_FRACTION = 0.5
_MAX_PROBES_PER_S = 0.5


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


def find_send_interval_s(limit_per_s: float) -> float:
    """Return the time between two requests of all daemons together."""
    return 1 / max(limit_per_s, _MIN_LIMIT_PER_S)


def find_share(limit_per_s: float, sender: SenderRank) -> Share:
    """Return what one daemon may send; no two daemons have the same turn."""
    rate = max(limit_per_s, _MIN_LIMIT_PER_S)
    daemons = max(1, sender.daemons)
    wanted_holders = max(_MIN_HOLDERS, math.floor(min(rate, daemons)))
    holders = min(wanted_holders, daemons)
    interval_s = holders / rate
    if sender.rank < holders:
        return HolderSchedule((sender.rank + 1) / rate, interval_s)
    silence_s = max(_MIN_SILENCE_S, _SILENT_INTERVALS * interval_s)
    length_s = 1 / min(_PROBE_FRACTION * rate, _MAX_PROBES_PER_S)
    probe_index = sender.rank - holders
    probers = max(probe_index + 1, daemons - holders)
    return ProbeSlot(
        silence_s + probe_index * length_s, length_s, probers * length_s
    )
