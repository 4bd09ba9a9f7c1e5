"""Place model requests on the runner with the least expected cost."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.util import blocks
from martenquay_daemon.routing import ring

if TYPE_CHECKING:
    import random

    from martenquay_core.platform import instances
    from martenquay_daemon.limits import ejection
    from martenquay_daemon.membership import directory
    from martenquay_daemon.routing import loads, prefixes

__all__ = [
    "Candidate",
    "PlacementRequest",
    "Placement",
    "Placer",
    "PlacerWeights",
]

_HOME_CANDIDATES = 2
_RANDOM_CANDIDATES = 2
# Blocks of a prompt that decide its home. More would give prompts with a common
# prefix different homes.
_HOME_BLOCKS = 4
# Lent runners with a larger fraction of busy slots are left to their owners.
_MAX_LENT_BUSY_FRACTION = 0.5
_MAX_LENT_BUSY_FRACTION_DEFERRABLE = 0.25


@dataclasses.dataclass(frozen=True)
class PlacerWeights:
    """Weights of the terms of the cost estimate.

    Attributes:
        same_region_s: Seconds added for another zone of the same partner.
        other_region_s: Seconds added for a zone of another partner.
        price_s: Seconds added per unit of price above the cheapest.
        queue: Factor of the expected queueing time.
        prefill: Factor of the prefill time of uncached tokens.
    """

    same_region_s: float = 0.003
    other_region_s: float = 0.06
    price_s: float = 0.02
    queue: float = 1.0
    prefill: float = 1.0


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """A model request to be placed.

    Attributes:
        partner: Partner that owns the pool.
        pool: Name of the pool.
        chain: Hashes of the prompt's full blocks; each also covers all blocks
            before.
        prompt_tokens: Number of prompt tokens.
        excluded: Runners on which this request has failed.
        is_deferrable: Whether it may wait; it then uses only lent runners that
            are mostly idle.
    """

    partner: str
    pool: str
    chain: list[int]
    prompt_tokens: int
    excluded: frozenset[str] = frozenset()
    is_deferrable: bool = False


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A runner considered for a request.

    Attributes:
        runner: Name of the runner.
        ahead: Requests running or queued there.
        cached_tokens: Prompt tokens expected to be in its cache.
        cost_s: Estimated cost in seconds.
    """

    runner: str
    ahead: int
    cached_tokens: int
    cost_s: float


@dataclasses.dataclass(frozen=True)
class Placement:
    """The chosen runner and the candidates.

    Attributes:
        runner: The chosen runner.
        chosen: Its estimate.
        is_borrowed: Whether the runner belongs to another partner.
        considered: All candidates with their estimates, the chosen included.
    """

    runner: instances.Instance
    chosen: Candidate
    considered: list[Candidate]
    is_borrowed: bool = False

    def explain(self) -> str:
        """Return the reason of the choice, for the log."""
        chosen = self.chosen
        return (
            f"{chosen.ahead} ahead, {chosen.cached_tokens} tokens cached, "
            f"{chosen.cost_s * 1000:.1f} ms expected, "
            f"best of {len(self.considered)}"
        )


class Placer:
    """Chooses runners for the model requests of one daemon.

    Only runners that hold the prefix, the prefix's homes and a few random ones
    are considered, so that the cost does not grow with the pool and daemons
    with the same old reports don't all choose the same runner.
    """

    def __init__(
        self,
        zone: str,
        runners: directory.RunnerDirectory,
        load_book: loads.LoadBook,
        index: prefixes.PrefixIndex,
        ejector: ejection.Ejector,
        rng: random.Random,
        weights: PlacerWeights | None = None,
    ) -> None:
        self._zone = zone
        self._runners = runners
        self._loads = load_book
        self._index = index
        self._ejector = ejector
        self._rng = rng
        self._weights = weights or PlacerWeights()
        self._rings: dict[tuple[str, str], ring.RunnerRing] = {}
        self._ring_version = -1

    def place(self, ask: PlacementRequest) -> Placement | None:
        """Return the cheapest runner, or None if none is usable."""
        names = self._choose_candidates(ask)
        if not names:
            return None
        held = self._index.measure_held(ask.chain)
        cheapest = min(names[name].price for name in names)
        considered = [
            self._estimate(ask, runner, held.get(name, 0), cheapest)
            for name, runner in names.items()
        ]
        chosen = min(considered, key=lambda candidate: candidate.cost_s)
        runner = names[chosen.runner]
        is_borrowed = runner.partner != ask.partner
        return Placement(runner, chosen, considered, is_borrowed)

    def _choose_candidates(
        self, ask: PlacementRequest
    ) -> dict[str, instances.Instance]:
        own = self._runners.list_pool(ask.partner, ask.pool)
        found: dict[str, instances.Instance] = {}
        if own:
            for name in self._suggest_names(ask, own):
                self._add_usable(ask, found, self._runners.find(name))
        if not found:
            for runner in self._filter_ejected(own):
                self._add_usable(ask, found, runner)
        if not any(self._has_room(runner) for runner in found.values()):
            self._add_idle_lent(ask, found)
        return found

    def _has_room(self, runner: instances.Instance) -> bool:
        return self._loads.count_ahead(runner.name) < runner.slots

    def _suggest_names(
        self, ask: PlacementRequest, own: list[instances.Instance]
    ) -> list[str]:
        names = list(self._index.measure_held(ask.chain))
        if ask.chain:
            key = ask.chain[min(len(ask.chain), _HOME_BLOCKS) - 1]
            home_ring = self._find_ring(ask, own)
            names.extend(home_ring.find_homes(key, _HOME_CANDIDATES))
        count = min(_RANDOM_CANDIDATES, len(own))
        names.extend(runner.name for runner in self._rng.sample(own, count))
        return names

    def _add_usable(
        self,
        ask: PlacementRequest,
        found: dict[str, instances.Instance],
        runner: instances.Instance | None,
    ) -> None:
        if runner is None or runner.name in ask.excluded:
            return
        if (runner.partner, runner.pool) != (ask.partner, ask.pool):
            return
        if not self._runners.may_get_work(runner.name):
            return
        if not self._ejector.is_ejected(runner.name):
            found[runner.name] = runner

    def _filter_ejected(
        self, own: list[instances.Instance]
    ) -> list[instances.Instance]:
        usable = set(
            self._ejector.filter_usable([runner.name for runner in own])
        )
        return [runner for runner in own if runner.name in usable]

    def _add_idle_lent(
        self, ask: PlacementRequest, found: dict[str, instances.Instance]
    ) -> None:
        """Add idle runners lent by other partners, up to this daemon's share.

        Busy runners are skipped, as the lender's own requests come first.
        """
        lent = self._runners.list_lent(ask.partner, ask.pool)
        if not lent:
            return
        slots = sum(runner.slots for runner in lent)
        in_use = sum(self._loads.get(r.name).in_flight for r in lent)
        if in_use + 1 > max(1.0, slots / self._runners.count_daemons()):
            return
        max_busy = (
            _MAX_LENT_BUSY_FRACTION_DEFERRABLE
            if ask.is_deferrable
            else _MAX_LENT_BUSY_FRACTION
        )
        for runner in self._rng.sample(
            lent, min(_RANDOM_CANDIDATES, len(lent))
        ):
            is_idle = (
                self._loads.count_ahead(runner.name) < runner.slots * max_busy
            )
            is_runner_ejected = self._ejector.is_ejected(runner.name)
            if (
                is_idle
                and not is_runner_ejected
                and runner.name not in ask.excluded
            ):
                found[runner.name] = runner

    def _estimate(
        self,
        ask: PlacementRequest,
        runner: instances.Instance,
        held_blocks: int,
        cheapest: float,
    ) -> Candidate:
        weights = self._weights
        load = self._loads.get(runner.name)
        ahead = self._loads.count_ahead(runner.name)
        cached = min(held_blocks * blocks.BLOCK_TOKENS, ask.prompt_tokens)
        waiting = max(0, ahead + 1 - runner.slots)
        cost_s = weights.queue * waiting * load.service_s / runner.slots
        # Each running request slows the batch even while slots are free.
        cost_s += weights.queue * 0.01 * ahead / runner.slots
        uncached = ask.prompt_tokens - cached
        cost_s += weights.prefill * uncached / load.prefill_tokens_s
        cost_s += weights.price_s * (runner.price - cheapest)
        if runner.partner != ask.partner:
            cost_s += weights.other_region_s
        elif runner.zone != self._zone:
            cost_s += weights.same_region_s
        return Candidate(runner.name, ahead, cached, cost_s)

    def _find_ring(
        self, ask: PlacementRequest, own: list[instances.Instance]
    ) -> ring.RunnerRing:
        if self._ring_version != self._runners.version:
            self._rings.clear()
            self._ring_version = self._runners.version
        pool_key = (ask.partner, ask.pool)
        found = self._rings.get(pool_key)
        if found is None:
            names = [runner.name for runner in own]
            found = self._rings[pool_key] = ring.RunnerRing(names)
        return found
