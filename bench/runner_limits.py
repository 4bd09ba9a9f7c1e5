"""Compare strategies for dividing a runner's rate limit among daemons.

Run `python -m bench.runner_limits`; it simulates fleets for some minutes.
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
_MIN_RATE_PER_S = 0.1
_HOLDER_TIMEOUT_S = 5.0


def _divide_evenly(
    limit_per_s: float, sender: send_shares.SenderRank
) -> send_shares.Share:
    """Give each daemon an equal share of the rate."""
    rate_per_s = max(limit_per_s, _MIN_RATE_PER_S)
    return send_shares.HolderSchedule(
        (sender.rank + 1) / rate_per_s, sender.daemons / rate_per_s
    )


def _grant_to_one_holder(
    limit_per_s: float, sender: send_shares.SenderRank
) -> send_shares.Share:
    """Give the whole rate to one daemon; the others probe if it is silent."""
    rate_per_s = max(limit_per_s, _MIN_RATE_PER_S)
    if sender.rank == 0:
        return send_shares.HolderSchedule(1 / rate_per_s, 1 / rate_per_s)
    slot_s = 2 / min(rate_per_s, 1.0)
    return send_shares.ProbeSlot(
        max(_HOLDER_TIMEOUT_S, 3 / rate_per_s) + (sender.rank - 1) * slot_s,
        slot_s,
        max(1, sender.daemons - 1) * slot_s,
    )


def _allow_probes_only(
    limit_per_s: float, sender: send_shares.SenderRank
) -> send_shares.Share:
    """Send only the probes that detect that the limit is lifted."""
    del limit_per_s
    return send_shares.find_share(_MIN_RATE_PER_S, sender)


_STRATEGIES: dict[
    str, Callable[[float, send_shares.SenderRank], send_shares.Share]
] = {
    "each one part": _divide_evenly,
    "one holder": _grant_to_one_holder,
    "few holders": send_shares.find_share,
    "only asked": _allow_probes_only,
}


def _simulate(
    strategy: str, daemons: int, limit_per_s: float, seeds: int
) -> list[limit_days.Played]:
    results = []
    for seed in range(seeds):
        day = limit_days.LimitDay(daemons, limit_per_s, seed)
        results.append(
            trio.run(
                limit_days.play_day,
                day,
                _STRATEGIES[strategy],
                clock=trio.testing.MockClock(autojump_threshold=0),
            )
        )
    return results


def _describe(
    strategy: str, daemons: int, limit_per_s: float, seeds: int
) -> list[str]:
    results = _simulate(strategy, daemons, limit_per_s, seeds)
    max_in_window = max(result.most for result in results)
    max_tolerated = limit_days.find_most_borne(limit_per_s)
    allowed = limit_per_s * limit_days.WINDOW_S
    mean_rate_per_s = sum(result.got_per_s for result in results) / len(results)
    median_lift_known_s = sorted(result.learnt_s for result in results)[
        len(results) // 2
    ]
    return [
        strategy,
        str(daemons),
        f"{limit_per_s:g}",
        str(max_in_window),
        str(max(result.most_of_all for result in results)),
        f"{allowed:g}",
        f"{max_tolerated:g}",
        "yes" if max_in_window > max_tolerated else "",
        f"{mean_rate_per_s / limit_per_s:.2f}",
        f"{median_lift_known_s:.1f}",
    ]


def main(argv: list[str]) -> None:
    """Print a row per strategy, fleet size and limit."""
    del argv
    rows = [
        _describe(strategy, int(size), float(limit_per_s), _SEEDS.value)
        for limit_per_s in _LIMITS.value
        for size in _SIZES.value
        for strategy in _STRATEGIES
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
