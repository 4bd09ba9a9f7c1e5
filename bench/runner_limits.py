"""Compare ways to divide the limit of a runner in need among daemons.

Run `python -m bench.runner_limits`; it takes some minutes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing
from absl import app, flags
from tests import limit_days

from bench import figures
from martenquay_daemon.backpressure import send_shares

if TYPE_CHECKING:
    from collections.abc import Callable

_SIZES = flags.DEFINE_list("sizes", "6,25,70,195,400", "Daemons of a fleet.")
_LIMITS = flags.DEFINE_list("limits", "0.1,1,5,50", "Requests a second.")
_SEEDS = flags.DEFINE_integer("seeds", 5, "Days of each size and limit.")
_LEAST_PER_S = 0.1
_SILENT_S = 5.0


def _share_evenly(
    limit: float, place: send_shares.SenderRank
) -> send_shares.Share:
    """Give each daemon one part of as many as there are."""
    rate = max(limit, _LEAST_PER_S)
    return send_shares.HolderSchedule(
        (place.rank + 1) / rate, place.daemons / rate
    )


def _give_to_one(
    limit: float, place: send_shares.SenderRank
) -> send_shares.Share:
    """Give all to the first; the others wait for it to fall silent."""
    rate = max(limit, _LEAST_PER_S)
    if place.rank == 0:
        return send_shares.HolderSchedule(1 / rate, 1 / rate)
    length_s = 2 / min(rate, 1.0)
    return send_shares.ProbeSlot(
        max(_SILENT_S, 3 / rate) + (place.rank - 1) * length_s,
        length_s,
        max(1, place.daemons - 1) * length_s,
    )


def _only_ask(limit: float, place: send_shares.SenderRank) -> send_shares.Share:
    """Send nothing but what tells that the limit is over."""
    del limit
    return send_shares.find_share(_LEAST_PER_S, place)


_WAYS: dict[
    str, Callable[[float, send_shares.SenderRank], send_shares.Share]
] = {
    "each one part": _share_evenly,
    "one holder": _give_to_one,
    "few holders": send_shares.find_share,
    "only asked": _only_ask,
}


def _play(
    way: str, daemons: int, limit: float, seeds: int
) -> list[limit_days.Played]:
    found = []
    for seed in range(seeds):
        day = limit_days.LimitDay(daemons, limit, seed)
        found.append(
            trio.run(
                limit_days.play_day,
                day,
                _WAYS[way],
                clock=trio.testing.MockClock(autojump_threshold=0),
            )
        )
    return found


def _describe(way: str, daemons: int, limit: float, seeds: int) -> list[str]:
    found = _play(way, daemons, limit, seeds)
    most = max(one.most for one in found)
    borne = limit_days.find_most_borne(limit)
    asked = limit * limit_days.WINDOW_S
    got = sum(one.got_per_s for one in found) / len(found)
    learnt = sorted(one.learnt_s for one in found)[len(found) // 2]
    return [
        way,
        str(daemons),
        f"{limit:g}",
        str(most),
        str(max(one.most_of_all for one in found)),
        f"{asked:g}",
        f"{borne:g}",
        "yes" if most > borne else "",
        f"{got / limit:.2f}",
        f"{learnt:.1f}",
    ]


def main(argv: list[str]) -> None:
    """Print a row a way, size and limit."""
    del argv
    rows = [
        _describe(way, int(size), float(limit), _SEEDS.value)
        for limit in _LIMITS.value
        for size in _SIZES.value
        for way in _WAYS
    ]
    figures.print_table(
        [
            "way",
            "daemons",
            "limit a s",
            "most in 4 s, told",
            "of all",
            "asked for",
            "borne",
            "broken",
            "got of the limit",
            "end known after s",
        ],
        rows,
    )


if __name__ == "__main__":
    app.run(main)
