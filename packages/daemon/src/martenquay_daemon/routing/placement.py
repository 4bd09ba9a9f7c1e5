"""Place a model request where its first token is expected soonest.

The estimate adds the queue ahead, the prompt tokens that are not cached, the
way to another zone and the price of the class. Only a few candidates are
looked at: runners that hold the prompt's prefix, the prefix's home runners,
and some at random, so that the cost does not grow with the pool and many
daemons with the same late reports do not all choose the same runner.
"""

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

__all__ = ["Candidate", "ModelAsk", "Placement", "Placer", "PlacerWeights"]

_HOMES = 2
_RANDOM = 2
# The depth at which prompts that share a beginning get the same home: long
# enough to tell orders apart, short enough that a longer one still matches.
_HOME_BLOCKS = 4
# A lent runner is used while less than this part of its slots is busy.
_IDLE_OTHERS = 0.5
_IDLE_DEFERRABLE = 0.25


@dataclasses.dataclass(frozen=True)
class PlacerWeights:
    """What each part of the estimate weighs.

    Attributes:
        same_region_s: Seconds for another zone of the same partner.
        other_region_s: Seconds for a zone of another partner.
        price_s: Seconds for each unit of price above the cheapest.
        queue: Factor on the expected wait.
        prefill: Factor on the time to read what is not cached.
    """

    same_region_s: float = 0.003
    other_region_s: float = 0.06
    price_s: float = 0.02
    queue: float = 1.0
    prefill: float = 1.0


@dataclasses.dataclass(frozen=True)
class ModelAsk:
    """What has to be placed.

    Attributes:
        partner: The partner whose pool is asked for.
        pool: The pool.
        chain: Hashes of the prompt's blocks.
        prompt_tokens: Tokens of the prompt.
        excluded: Runners that have failed this request.
        may_wait: It may wait, so it borrows only what lies idle.
    """

    partner: str
    pool: str
    chain: list[int]
    prompt_tokens: int
    excluded: frozenset[str] = frozenset()
    may_wait: bool = False


@dataclasses.dataclass(frozen=True)
class Candidate:
    """One runner that was looked at.

    Attributes:
        runner: The runner's name.
        ahead: Requests ahead of this one there.
        cached_tokens: Tokens of the prompt that it should hold.
        cost_s: The estimate, in seconds.
    """

    runner: str
    ahead: int
    cached_tokens: int
    cost_s: float


@dataclasses.dataclass(frozen=True)
class Placement:
    """The choice.

    Attributes:
        runner: The instance chosen.
        chosen: Its estimate.
        is_borrowed: The runner belongs to another partner.
        considered: All that were looked at, the chosen one too.
    """

    runner: instances.Instance
    chosen: Candidate
    considered: list[Candidate]
    is_borrowed: bool = False

    def explain(self) -> str:
        """Return the reason in a few words."""
        chosen = self.chosen
        return (
            f"{chosen.ahead} ahead, {chosen.cached_tokens} tokens cached, "
            f"{chosen.cost_s * 1000:.1f} ms expected, "
            f"best of {len(self.considered)}"
        )


class Placer:
    """Choose runners for one daemon."""

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

    def place(self, ask: ModelAsk) -> Placement | None:
        """Return the best runner, or None if there is none to be had."""
        names = self._choose_names(ask)
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

    def _choose_names(self, ask: ModelAsk) -> dict[str, instances.Instance]:
        own = self._runners.list_pool(ask.partner, ask.pool)
        found: dict[str, instances.Instance] = {}
        if own:
            for name in self._suggest(ask, own):
                self._add(ask, found, self._runners.find(name))
        if not found:
            for runner in self._ejector_view(own):
                self._add(ask, found, runner)
        if not any(self._has_room(runner) for runner in found.values()):
            self._add_lent(ask, found)
        return found

    def _has_room(self, runner: instances.Instance) -> bool:
        return self._loads.count_ahead(runner.name) < runner.slots

    def _suggest(
        self, ask: ModelAsk, own: list[instances.Instance]
    ) -> list[str]:
        names = list(self._index.measure_held(ask.chain))
        if ask.chain:
            key = ask.chain[min(len(ask.chain), _HOME_BLOCKS) - 1]
            home_ring = self._find_ring(ask, own)
            names.extend(home_ring.find_homes(key, _HOMES))
        count = min(_RANDOM, len(own))
        names.extend(runner.name for runner in self._rng.sample(own, count))
        return names

    def _add(
        self,
        ask: ModelAsk,
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

    def _ejector_view(
        self, own: list[instances.Instance]
    ) -> list[instances.Instance]:
        usable = set(self._ejector.keep_usable([runner.name for runner in own]))
        return [runner for runner in own if runner.name in usable]

    def _add_lent(
        self, ask: ModelAsk, found: dict[str, instances.Instance]
    ) -> None:
        """Add lent runners that lie idle, within this daemon's even part.

        The lender's own requests come first: a runner that is half busy gets
        no more, and the engine is told a lower priority.
        """
        lent = self._runners.list_lent(ask.partner, ask.pool)
        if not lent:
            return
        slots = sum(runner.slots for runner in lent)
        in_use = sum(self._loads.get(r.name).in_flight for r in lent)
        if in_use + 1 > max(1.0, slots / self._runners.count_daemons()):
            return
        busy = _IDLE_DEFERRABLE if ask.may_wait else _IDLE_OTHERS
        for runner in self._rng.sample(lent, min(_RANDOM, len(lent))):
            is_idle = self._loads.count_ahead(runner.name) < runner.slots * busy
            is_kept_out = self._ejector.is_ejected(runner.name)
            if is_idle and not is_kept_out and runner.name not in ask.excluded:
                found[runner.name] = runner

    def _estimate(
        self,
        ask: ModelAsk,
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
        # Even with a free slot, each request slows the batch a little.
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
        self, ask: ModelAsk, own: list[instances.Instance]
    ) -> ring.RunnerRing:
        if self._ring_version != self._runners.version:
            self._rings.clear()
            self._ring_version = self._runners.version
        place = (ask.partner, ask.pool)
        found = self._rings.get(place)
        if found is None:
            names = [runner.name for runner in own]
            found = self._rings[place] = ring.RunnerRing(names)
        return found
