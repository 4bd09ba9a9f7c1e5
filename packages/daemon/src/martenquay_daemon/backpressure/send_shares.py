"""Divide a runner's rate limit among the daemons of a fleet."""

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

# A single holder may be gone or have no requests for the runner.
_MIN_HOLDERS = 2
# Without requests nobody would learn that a runner with limit 0 has recovered.
_MIN_LIMIT_PER_S = 0.1
# Holders count as silent if no report of the runner came for this many send
# intervals, and for longer than reports take to reach all of a large fleet.
_SILENT_INTERVALS = 3
_MIN_SILENCE_S = 5.0
# Below the limit, as daemons may compute overlapping slots from reports of
# different age and the holders may send again.
_PROBE_FRACTION = 0.5
_MAX_PROBES_PER_S = 0.5


@dataclasses.dataclass(frozen=True)
class SenderRank:
    """Rank of a daemon among those that may send to a runner.

    Attributes:
        rank: Rank, 0 for the first.
        daemons: Number of daemons ranked.
    """

    rank: int
    daemons: int


@dataclasses.dataclass(frozen=True)
class HolderSchedule:
    """Send times of a daemon that holds a part of the limit.

    Attributes:
        first_s: Seconds from the first report of the limit to the first send.
        interval_s: Least seconds between two sends.
    """

    first_s: float
    interval_s: float


@dataclasses.dataclass(frozen=True)
class ProbeSlot:
    """Periodic slot in which a daemon that holds no part may send one probe.

    Unused slots expire, or all daemons would send at once after a pause.

    Attributes:
        first_s: Seconds from the last report of the runner to the first slot.
        length_s: Length of a slot in seconds.
        period_s: Seconds from the start of one slot to the next.
    """

    first_s: float
    length_s: float
    period_s: float


Share = HolderSchedule | ProbeSlot


def find_send_interval_s(limit_per_s: float) -> float:
    """Return the seconds between two requests of all daemons together."""
    return 1 / max(limit_per_s, _MIN_LIMIT_PER_S)


def find_share(limit_per_s: float, sender: SenderRank) -> Share:
    """Return when one daemon may send, so that no two send at once.

    Equal shares of a small limit would let all daemons send at once after a
    pause. So a few daemons, one per request a second, hold the whole limit, and
    the others probe in turn while the holders are silent.

    Args:
        limit_per_s: Requests per second from all daemons together.
        sender: Rank of the daemon.
    """
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
