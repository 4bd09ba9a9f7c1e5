"""Learn how fast the runners of a service are, from all daemons' results.

Placing, waiting and capacity all go by what is learnt here. One daemon of a
large fleet sees too few results: with two a second its estimate moved by a
factor of three within a minute, or never stood on enough of them. So daemons
tell each other sums over theirs, which add up. Results fade, so an estimate
follows engines that turn slow; until there are enough of them it stays near an
assumption that is slow enough to be safe for placing, and that `is_learnt`
keeps from being acted on where a wrong guess costs money.
"""

from __future__ import annotations

import dataclasses
import math

import trio

__all__ = ["Estimate", "FirstEvent", "PrefillSums", "RunnerModel"]

# Results fade with this time; a runner that is ordered boots in a quarter of
# it.
_MEMORY_S = 20.0
# As many results of all daemons as it takes for an estimate to be acted on.
_FLOOR = 30.0
# Fewer than so many of a daemon's own of one urgency do not fade with time
# alone, only as newer ones come. While everything waits behind queues no result
# tells of reading; an estimate that faded then had no engine bought just when
# 34 were needed and 16 were there.
_KEPT = 10.0
# What is assumed of an engine before: slower than most, so that prompts are
# spread rather than stacked. It counts like this many results with prompts
# that differ by so many tokens.
_ASSUMED_READ_TOKENS_PER_S = 30_000.0
_ASSUMED_RESULTS = 10.0
_ASSUMED_SPREAD_TOKENS = 2_000.0
# A result tells of reading if no more than this stood before the request's own
# prompt, beside as much as that itself. Behind a long queue the time tells of
# the queue: with an engine's slots full and half a million tokens waiting, one
# daemon took engines for three times as fast as they were.
_AHEAD_TOKENS = 2_000
# No engine is slower or faster; noise may say so while prompts are alike.
_SLOWEST_TOKENS_PER_S = 2_000.0
_FASTEST_TOKENS_PER_S = 1_000_000.0
# What a request is assumed to take at its runner: a short plain call. Longer
# ones are learnt within the first few.
_ASSUMED_HOLD_S = 0.02


@dataclasses.dataclass(frozen=True)
class FirstEvent:
    """The first event of a stream, and what stood before it.

    Attributes:
        own_tokens: Prompt tokens that its engine had to read for it.
        all_tokens: Those and the ones that the engine had still to read.
        took_s: From the sending of the request.
        urgency: Of the request; engines let the more urgent in first.
    """

    own_tokens: int
    all_tokens: int
    took_s: float
    urgency: int = 0


@dataclasses.dataclass(frozen=True)
class Estimate:
    """What is believed of one runner of a service.

    Attributes:
        read_tokens_per_s: How fast it reads prompts beside its other work.
        hold_s: How long a request takes one of its slots.
        is_learnt: Whether enough results stand behind it.
    """

    read_tokens_per_s: float
    hold_s: float
    is_learnt: bool


@dataclasses.dataclass(frozen=True)
class PrefillSums:
    """What some daemons' results say of how fast engines read.

    The sums are taken around the means of each daemon and urgency, so they add
    up, whatever requests wait on their way from each daemon and behind more
    urgent ones. Where long prompts were the less urgent, their wait passed for
    reading: under overload, 4 s of results at a time, engines seemed to read
    10,400 to 15,800 tokens a second, and 11,800 to 25,300 within urgencies.

    Attributes:
        results: How many first events count.
        spread: Sum of the products of the differences of the requests' own
            tokens and of all that stood before their first events.
        slowing: Sum of the products of the differences of their own tokens and
            of their times.
    """

    results: float = 0.0
    spread: float = 0.0
    slowing: float = 0.0

    def add(self, other: PrefillSums) -> PrefillSums:
        """Return the sums over both's results."""
        return PrefillSums(
            self.results + other.results,
            self.spread + other.spread,
            self.slowing + other.slowing,
        )

    def find_read_s(self) -> float:
        """Return the seconds that one more token takes.

        The tokens of others are known late and in part, and an error in them
        would make an engine look faster than it is by half. A request's own
        tokens are known; how times and all tokens change with them gives a
        figure without that error.
        """
        assumed = _ASSUMED_RESULTS * _ASSUMED_SPREAD_TOKENS**2
        over = assumed + self.spread
        under = assumed / _ASSUMED_READ_TOKENS_PER_S + self.slowing
        slope = under / over if over > 0 else 0.0
        slowest, fastest = 1 / _SLOWEST_TOKENS_PER_S, 1 / _FASTEST_TOKENS_PER_S
        return min(max(slope, fastest), slowest)


@dataclasses.dataclass
class _ReadSums:
    """Sums over first events; `x` is all tokens, `z` a result's own."""

    at: float
    count: float = 0.0
    z: float = 0.0
    x: float = 0.0
    t: float = 0.0
    zx: float = 0.0
    zt: float = 0.0

    def fade(self, now: float) -> None:
        """Let all results fade up to now, but for the last few."""
        kept = _find_kept(now - self.at, self.count)
        self.at = now
        for name in ("count", "z", "x", "t", "zx", "zt"):
            setattr(self, name, kept * getattr(self, name))

    def add(self, result: FirstEvent) -> None:
        """Add one result."""
        z, x, t = result.own_tokens, result.all_tokens, result.took_s
        self.count += 1
        self.z += z
        self.x += x
        self.t += t
        self.zx += z * x
        self.zt += z * t

    def find_reading(self) -> PrefillSums:
        """Return what the results say of reading."""
        if self.count <= 0:
            return PrefillSums()
        return PrefillSums(
            self.count,
            self.zx - self.z * self.x / self.count,
            self.zt - self.z * self.t / self.count,
        )


@dataclasses.dataclass
class _HoldSums:
    """Sums over requests that ended."""

    at: float
    held: float = 0.0
    ended: float = 0.0

    def fade(self, now: float) -> None:
        """Let all results fade up to now, but for the last few."""
        kept = _find_kept(now - self.at, self.ended)
        self.at = now
        self.held *= kept
        self.ended *= kept

    def find_hold_s(self) -> float:
        """Return how long a request takes a slot."""
        return (self.held + _ASSUMED_HOLD_S) / (self.ended + 1)


def _find_kept(elapsed_s: float, count: float) -> float:
    """Return the part that stays of so many results."""
    if count <= _KEPT:
        return 1.0
    return max(math.exp(-elapsed_s / _MEMORY_S), _KEPT / count)


class RunnerModel:
    """What is believed of runners, by service."""

    def __init__(self) -> None:
        self._reads: dict[str, dict[int, _ReadSums]] = {}
        self._holds: dict[str, _HoldSums] = {}
        self._others: dict[str, dict[str, PrefillSums]] = {}

    def note_first_event(self, service: str, result: FirstEvent) -> None:
        """Learn from the first event of a stream."""
        ahead = result.all_tokens - result.own_tokens
        if ahead > result.own_tokens + _AHEAD_TOKENS:
            return
        now = trio.current_time()
        by_urgency = self._reads.setdefault(service, {})
        sums = by_urgency.setdefault(result.urgency, _ReadSums(now))
        sums.fade(now)
        sums.add(result)

    def note_end(self, service: str, held_s: float) -> None:
        """Learn from a request that was answered to its end."""
        now = trio.current_time()
        sums = self._holds.setdefault(service, _HoldSums(now))
        sums.fade(now)
        sums.held += held_s
        sums.ended += 1

    def find(self, service: str) -> Estimate:
        """Return what is believed of a service's runners now."""
        now = trio.current_time()
        reading = self._find_own(service)
        hold = self._holds.get(service, _HoldSums(now))
        hold.fade(now)
        for told in self._others.values():
            reading = reading.add(told.get(service, PrefillSums()))
        return Estimate(
            1 / reading.find_read_s(),
            hold.find_hold_s(),
            reading.results >= _FLOOR,
        )

    def list_own(self) -> dict[str, PrefillSums]:
        """Return what this daemon's own results say, by service."""
        return {service: self._find_own(service) for service in self._reads}

    def replace_source(
        self, source: str, reading: dict[str, PrefillSums]
    ) -> None:
        """Replace what one source has told of others; empty if it is gone."""
        if reading:
            self._others[source] = reading
        else:
            self._others.pop(source, None)

    def forget_sources(self) -> None:
        """Forget all that was told of others."""
        self._others.clear()

    def _find_own(self, service: str) -> PrefillSums:
        now = trio.current_time()
        total = PrefillSums()
        for sums in self._reads.get(service, {}).values():
            sums.fade(now)
            total = total.add(sums.find_reading())
        return total
