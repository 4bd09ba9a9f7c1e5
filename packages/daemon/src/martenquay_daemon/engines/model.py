"""Estimate the prefill speed and the request time of a service's runners."""

from __future__ import annotations

import dataclasses
import math

import trio

__all__ = ["Estimate", "FirstEvent", "PrefillSums", "Prior", "RunnerModel"]

# Short enough to notice within two cold starts that engines slow down.
_DECAY_TIME_S = 20.0
# Fewer results of all daemons don't justify ordering runners.
_MIN_LEARNT_RESULTS = 30.0
# Sums don't decay below the weight of this many results. Under overload no
# usable results come, and an estimate that decayed then would stop scale-up: no
# engine was ordered when 34 were needed and 16 were running.
_MIN_KEPT_RESULTS = 10.0
# The prior counts like this many results whose prompts differ by this many
# tokens. It is slower than most engines, so that prompts are spread out.
_PRIOR_TOKENS_PER_S = 30_000.0
_PRIOR_RESULTS = 10.0
_PRIOR_SPREAD_TOKENS = 2_000.0
# Results with this many more queued than own tokens are ignored, as their time
# depends on the queue and would distort the prefill speed: with 500,000 tokens
# queued, one daemon estimated it three times too high.
_MAX_AHEAD_TOKENS = 2_000
# Noise may give absurd speeds while all prompts have about the same length.
_MIN_TOKENS_PER_S = 2_000.0
_MAX_TOKENS_PER_S = 1_000_000.0
# Time of a short call; the first results correct it for longer ones.
_PRIOR_HOLD_S = 0.02


@dataclasses.dataclass(frozen=True)
class Prior:
    """Performance assumed until enough results are there.

    Attributes:
        read_tokens_per_s: Prefill speed.
        hold_s: Seconds that a request occupies a slot.
        hold_results: Number of results that the latter counts for.
    """

    read_tokens_per_s: float = _PRIOR_TOKENS_PER_S
    hold_s: float = _PRIOR_HOLD_S
    hold_results: float = _PRIOR_RESULTS


_DEFAULT_PRIOR = Prior(hold_results=1.0)


@dataclasses.dataclass(frozen=True)
class FirstEvent:
    """Time to first event of a stream, and the prompt tokens ahead of it.

    Attributes:
        own_tokens: Uncached prompt tokens of the request.
        all_tokens: The same plus the tokens queued at the engine before it.
        took_s: Seconds from sending the request to the first event.
        urgency: Priority of the request, by which engines order their queue.
    """

    own_tokens: int
    all_tokens: int
    took_s: float
    urgency: int = 0


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Estimated performance of one runner of a service.

    Attributes:
        read_tokens_per_s: Prefill speed beside its other work.
        hold_s: Seconds that a request occupies a slot.
        is_learnt: Whether enough results support the estimate to act on it.
    """

    read_tokens_per_s: float
    hold_s: float
    is_learnt: bool


@dataclasses.dataclass(frozen=True)
class PrefillSums:
    """Regression sums from which the prefill speed is estimated.

    The deviations are taken from the means of each daemon and urgency, so that
    sums can be added and neither network delay nor the wait behind more urgent
    requests counts as prefill time.

    Attributes:
        results: Number of first events, decayed.
        spread: Sum of the products of the deviations of own and all tokens.
        slowing: Sum of the products of the deviations of own tokens and time.
    """

    results: float = 0.0
    spread: float = 0.0
    slowing: float = 0.0

    def add(self, other: PrefillSums) -> PrefillSums:
        """Return the sums over the results of both."""
        return PrefillSums(
            self.results + other.results,
            self.spread + other.spread,
            self.slowing + other.slowing,
        )

    def find_token_s(
        self, prior_tokens_per_s: float = _PRIOR_TOKENS_PER_S
    ) -> float:
        """Return the prefill time of one token in seconds.

        Errors in the queued tokens of other daemons, which are known late,
        would bias an ordinary regression on all tokens. So the request's own
        tokens, which are exact, serve as the instrumental variable.
        """
        prior_spread = _PRIOR_RESULTS * _PRIOR_SPREAD_TOKENS**2
        spread_sum = prior_spread + self.spread
        slowing_sum = prior_spread / prior_tokens_per_s + self.slowing
        slope = slowing_sum / spread_sum if spread_sum > 0 else 0.0
        slowest, fastest = 1 / _MIN_TOKENS_PER_S, 1 / _MAX_TOKENS_PER_S
        return min(max(slope, fastest), slowest)


@dataclasses.dataclass
class _FirstEventSums:
    """Sums over first events: `z` own tokens, `x` all tokens, `t` seconds."""

    updated_at: float
    count: float = 0.0
    z: float = 0.0
    x: float = 0.0
    t: float = 0.0
    zx: float = 0.0
    zt: float = 0.0

    def decay(self, now: float) -> None:
        """Decay the sums up to now, but keep the weight of a few results."""
        factor = _find_decay_factor(now - self.updated_at, self.count)
        self.updated_at = now
        for name in ("count", "z", "x", "t", "zx", "zt"):
            setattr(self, name, factor * getattr(self, name))

    def add(self, result: FirstEvent) -> None:
        """Add one result."""
        z, x, t = result.own_tokens, result.all_tokens, result.took_s
        self.count += 1
        self.z += z
        self.x += x
        self.t += t
        self.zx += z * x
        self.zt += z * t

    def find_prefill_sums(self) -> PrefillSums:
        """Return the regression sums around the means."""
        if self.count <= 0:
            return PrefillSums()
        return PrefillSums(
            self.count,
            self.zx - self.z * self.x / self.count,
            self.zt - self.z * self.t / self.count,
        )


@dataclasses.dataclass
class _HoldSums:
    """Sums over completed requests; `total_held_s` is the time in slots."""

    updated_at: float
    total_held_s: float = 0.0
    ended_requests: float = 0.0

    def decay(self, now: float) -> None:
        """Decay the sums up to now, but keep the weight of a few results."""
        factor = _find_decay_factor(now - self.updated_at, self.ended_requests)
        self.updated_at = now
        self.total_held_s *= factor
        self.ended_requests *= factor

    def find_hold_s(self, prior: Prior) -> float:
        """Return the mean seconds that a request occupies a slot."""
        weight = prior.hold_results
        total_s = self.total_held_s + weight * prior.hold_s
        return total_s / (self.ended_requests + weight)


def _find_decay_factor(elapsed_s: float, count: float) -> float:
    """Return the factor by which sums over this many results decay."""
    if count <= _MIN_KEPT_RESULTS:
        return 1.0
    return max(math.exp(-elapsed_s / _DECAY_TIME_S), _MIN_KEPT_RESULTS / count)


class RunnerModel:
    """Performance estimates by service.

    One daemon of a large fleet sees too few results for a stable estimate, so
    the daemons share their sums.
    """

    def __init__(self) -> None:
        self._first_events: dict[str, dict[int, _FirstEventSums]] = {}
        self._hold_sums: dict[str, _HoldSums] = {}
        self._others: dict[str, dict[str, PrefillSums]] = {}
        self._priors: dict[str, Prior] = {}

    def set_prior(self, service: str, prior: Prior) -> None:
        """Replace what is assumed of a service before results are there."""
        speed = prior.read_tokens_per_s
        speed = min(max(speed, _MIN_TOKENS_PER_S), _MAX_TOKENS_PER_S)
        self._priors[service] = dataclasses.replace(
            prior, read_tokens_per_s=speed, hold_s=max(0.0, prior.hold_s)
        )

    def note_first_event(self, service: str, result: FirstEvent) -> None:
        """Record the first event of a stream."""
        ahead = result.all_tokens - result.own_tokens
        if ahead > result.own_tokens + _MAX_AHEAD_TOKENS:
            return
        now = trio.current_time()
        by_urgency = self._first_events.setdefault(service, {})
        sums = by_urgency.setdefault(result.urgency, _FirstEventSums(now))
        sums.decay(now)
        sums.add(result)

    def note_end(self, service: str, held_s: float) -> None:
        """Record a completed request."""
        now = trio.current_time()
        sums = self._hold_sums.setdefault(service, _HoldSums(now))
        sums.decay(now)
        sums.total_held_s += held_s
        sums.ended_requests += 1

    def find(self, service: str) -> Estimate:
        """Return the current estimate for a service's runners."""
        now = trio.current_time()
        prefill = self._find_own_sums(service)
        hold = self._hold_sums.get(service, _HoldSums(now))
        hold.decay(now)
        for gossiped in self._others.values():
            prefill = prefill.add(gossiped.get(service, PrefillSums()))
        prior = self._priors.get(service, _DEFAULT_PRIOR)
        return Estimate(
            1 / prefill.find_token_s(prior.read_tokens_per_s),
            hold.find_hold_s(prior),
            prefill.results >= _MIN_LEARNT_RESULTS,
        )

    def list_own(self) -> dict[str, PrefillSums]:
        """Return this daemon's own regression sums by service."""
        return {
            service: self._find_own_sums(service)
            for service in self._first_events
        }

    def replace_source(
        self, source: str, prefill: dict[str, PrefillSums]
    ) -> None:
        """Replace the sums gossiped by a source; empty removes it."""
        if prefill:
            self._others[source] = prefill
        else:
            self._others.pop(source, None)

    def forget_sources(self) -> None:
        """Drop all gossiped sums."""
        self._others.clear()

    def _find_own_sums(self, service: str) -> PrefillSums:
        now = trio.current_time()
        total = PrefillSums()
        for sums in self._first_events.get(service, {}).values():
            sums.decay(now)
            total = total.add(sums.find_prefill_sums())
        return total
