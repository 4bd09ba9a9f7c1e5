"""Convert speeds of engines to and from gossip messages, and sum them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from martenquay_daemon.engines import speeds

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = [
    "SpeedEntry",
    "decode_speeds",
    "encode_speeds",
    "subtract_speeds",
    "sum_speeds",
]

# A daemon of a large fleet has less than one decayed result per engine.
_RESULTS_SCALE = 10
_RATIO_SCALE = 1000
# Bounds the bytes of a message.
_MAX_ENTRIES = 64
# Subtracting one daemon's sums from a total leaves rounding errors.
_MIN_RESULTS = 0.05


class SpeedEntry(msgspec.Struct, frozen=True, array_like=True):
    """Speed of one engine relative to the others of its service.

    Attributes:
        results: Number of first events that it was learnt from, decayed, in
            tenths.
        ratio: The speed in thousandths of the service's mean.
    """

    results: int
    ratio: int


def encode_speeds(
    sums: Mapping[str, speeds.SpeedSums],
) -> dict[str, SpeedEntry]:
    """Return the entries for sums; those with the most evidence if too many."""
    kept = [item for item in sums.items() if item[1].results > _MIN_RESULTS]
    if len(kept) > _MAX_ENTRIES:
        kept.sort(key=lambda item: item[1].results, reverse=True)
        del kept[_MAX_ENTRIES:]
    return {
        runner_id: SpeedEntry(
            max(1, round(one.results * _RESULTS_SCALE)),
            round(one.find_ratio() * _RATIO_SCALE),
        )
        for runner_id, one in kept
    }


def decode_speeds(
    entries: Mapping[str, SpeedEntry],
) -> dict[str, speeds.SpeedSums]:
    """Return the sums that entries stand for."""
    found = {}
    for runner_id, entry in entries.items():
        if entry.results > 0 and entry.ratio > 0:
            results = entry.results / _RESULTS_SCALE
            found[runner_id] = speeds.SpeedSums(
                results, results * _RATIO_SCALE / entry.ratio
            )
    return found


def sum_speeds(
    sources: Iterable[Mapping[str, speeds.SpeedSums]],
) -> dict[str, speeds.SpeedSums]:
    """Return the sums over several sources, by runner id."""
    total: dict[str, speeds.SpeedSums] = {}
    for source in sources:
        for runner_id, sums in source.items():
            total[runner_id] = total.get(runner_id, speeds.SpeedSums()).add(
                sums
            )
    return total


def subtract_speeds(
    total: Mapping[str, speeds.SpeedSums],
    own: Mapping[str, speeds.SpeedSums],
) -> dict[str, speeds.SpeedSums]:
    """Return a total without one of its sources."""
    rest = dict(total)
    for runner_id, sums in own.items():
        if runner_id in rest:
            rest[runner_id] = rest[runner_id].add(sums, -1)
    return rest
