"""Implement baseline load balancing policies to compare the placer with."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from martenquay_core.util import blocks
from martenquay_daemon.routing import placement

if TYPE_CHECKING:
    import random

    from martenquay_core.platform import instances
    from martenquay_daemon.membership import directory
    from martenquay_daemon.routing import loads, prefixes

__all__ = ["POLICIES", "BaselinePlacer"]

POLICIES = (
    "martenquay",
    "random",
    "round robin",
    "least loaded",
    "longest prefix",
)


class BaselinePlacer:
    """Placer with a baseline policy and the state of the daemon's placer."""

    def __init__(
        self,
        policy: str,
        runners: directory.RunnerDirectory,
        load_book: loads.LoadBook,
        index: prefixes.PrefixIndex,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._runners = runners
        self._loads = load_book
        self._index = index
        self._rng = rng
        self._next_index = itertools.count(rng.randrange(100))

    def place(
        self, request: placement.PlacementRequest
    ) -> placement.Placement | None:
        """Return the runner that the policy selects; None if none is usable."""
        usable = [
            runner
            for runner in self._runners.list_pool(request.partner, request.pool)
            if runner.name not in request.excluded
        ]
        if not usable:
            return None
        held = self._index.measure_held(request.chain)
        runner = self._choose(usable, held)
        candidate = placement.Candidate(
            runner.name,
            self._loads.count_ahead(runner.name),
            held.get(runner.name, 0) * blocks.BLOCK_TOKENS,
            0.0,
        )
        return placement.Placement(runner, candidate, [candidate])

    def _choose(
        self, usable: list[instances.Instance], held: dict[str, int]
    ) -> instances.Instance:
        match self._policy:
            case "random":
                return self._rng.choice(usable)
            case "round robin":
                return usable[next(self._next_index) % len(usable)]
            case "least loaded":
                return min(usable, key=self._count_pending)
            case _:
                return min(
                    usable,
                    key=lambda r: (
                        -held.get(r.name, 0),
                        self._count_pending(r),
                    ),
                )

    def _count_pending(self, runner: instances.Instance) -> int:
        return self._loads.count_ahead(runner.name)
