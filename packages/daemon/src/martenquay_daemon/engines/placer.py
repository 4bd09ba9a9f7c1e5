"""Choose the runner that is expected to answer soonest."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from martenquay_core.serving import calls, catalog, runners
    from martenquay_daemon.backpressure import runner_gate
    from martenquay_daemon.discovery import runner_directory
    from martenquay_daemon.engines import loads, model
    from martenquay_daemon.limits import ejection

__all__ = ["Placement", "Placer", "PlacerWeights"]


# Beside the home of its prompt a request looks at so many runners, chosen at
# random. Daemons know of each other's sends late, and if all looked at all
# runners, all would send to the one that was idle then: replayed with 70
# daemons before 24 engines at half of their load, 19% of the dearest requests
# and 36% of chats were late, and 2% and 10% with two.
_RANDOM = 2
# A token that the chosen engine has to read counts like so many that wait
# there already: it holds up all that come behind it, and is paid for again.
# From 2 to 8 all replays were alike; with 1, more than a third more requests
# were late before 24 engines.
_READ_WEIGHT = 3.0
# A first event that is expected within this part of its target is on time for
# all that the estimate may be off; then the runner that has least to read for
# the request is chosen though another would be sooner.
_CALM_PART = 0.4
# So many runners of a plain service, chosen at random, are looked at while
# loads are told through hubs, up to a second late. Many calls end meanwhile,
# and if all daemons took the runner that was idle then, it would have a queue.
_PLAIN = 2


def _take_all(
    service: str, usable: list[runners.Runner]
) -> list[runners.Runner]:
    del service
    return usable


@dataclasses.dataclass(frozen=True)
class PlacerWeights:
    """What each part of the estimate weighs.

    Attributes:
        slot_s: How much each request at work delays one more, which shares
            the engine's steps with it.
        other_zone_s: For a runner in another zone; a round trip there.
        silent_zone_s: For a runner in a zone from which no daemon is heard:
            more than the time that a connection is waited for.
    """

    slot_s: float = 0.004
    other_zone_s: float = 0.004
    silent_zone_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class Placement:
    """The choice and what decided it.

    Attributes:
        runner: The runner.
        expected_s: The estimate of its first event.
        uncached_tokens: Prompt tokens that it is expected to read.
        considered: How many runners there were to choose from.
        unread_tokens: Prompt tokens that it had still to read before.
        has_free_slot: Fewer requests than it has slots were there.
        read_s: What reading its own uncached tokens likely takes.
        is_learnt: Whether results stand behind the estimates.
    """

    runner: runners.Runner
    expected_s: float
    uncached_tokens: int
    considered: int
    unread_tokens: int = 0
    has_free_slot: bool = True
    read_s: float = 0.0
    is_learnt: bool = False


class Placer:
    """Place requests on runners."""

    def __init__(
        self,
        zone: str,
        directory: runner_directory.RunnerDirectory,
        ledger: loads.LoadLedger,
        estimates: model.RunnerModel,
        ejector: ejection.Ejector,
        rng: random.Random,
        is_zone_silent: Callable[[str], bool],
        are_loads_fresh: Callable[[], bool],
        gate: runner_gate.RunnerAdmission,
        choose_versions: Callable[
            [str, list[runners.Runner]], list[runners.Runner]
        ] = _take_all,
        weights: PlacerWeights | None = None,
    ) -> None:
        self._gate = gate
        self._choose_versions = choose_versions
        self._zone = zone
        self._are_loads_fresh = are_loads_fresh
        self._is_zone_silent = is_zone_silent
        self._directory = directory
        self._ledger = ledger
        self._model = estimates
        self._ejector = ejector
        self._rng = rng
        self._weights = weights or PlacerWeights()

    def choose(
        self,
        service: catalog.Service | None,
        name: str,
        call: calls.Call,
        excluded: set[str],
        target_s: float = 0.0,
    ) -> Placement | None:
        """Return the best runner of a service that is not excluded.

        Args:
            service: The service; None if the catalog has none of the name.
            name: Its name.
            call: The request.
            excluded: Runners that it is not to go to.
            target_s: Within this its first event is on time.
        """
        usable = [
            runner
            for runner in self._directory.list_usable(name)
            if runner.id not in excluded
        ]
        usable = self._choose_versions(
            name, self._gate.filter_accepting(usable)
        )
        if not usable:
            return None
        kept = set(self._ejector.keep_usable([r.id for r in usable]))
        candidates = [runner for runner in usable if runner.id in kept]
        if service is not None and service.engine is not None:
            return self._choose_engine(name, call, candidates, target_s)
        return self._choose_plain(name, candidates)

    def _choose_engine(
        self,
        name: str,
        call: calls.Call,
        candidates: list[runners.Runner],
        target_s: float,
    ) -> Placement:
        estimate = self._model.find(name)
        home = self._find_home(call, candidates)
        best: Placement | None = None
        for runner in self._sample(home, candidates):
            uncached = _estimate_uncached(call, is_home=runner is home)
            load = self._ledger.find(runner.id, estimate.read_tokens_per_s)
            expected_s = self._expect_engine(runner, load, uncached, estimate)
            found = Placement(
                runner,
                expected_s,
                uncached,
                len(candidates),
                load.unread_tokens,
                load.requests < runner.slots,
                uncached / estimate.read_tokens_per_s,
                estimate.is_learnt,
            )
            if best is None or _rank(found, target_s) < _rank(best, target_s):
                best = found
        assert best is not None, "there are candidates"
        return best

    def _find_home(
        self, call: calls.Call, candidates: list[runners.Runner]
    ) -> runners.Runner | None:
        """Return the runner to which the prompt's shared parts fall.

        One that takes a request now and then is nobody's home: what shares a
        prompt would change runners with each turn, and be read again there.
        """
        whole = self._gate.filter_unlimited(candidates)
        return _choose_home(call, whole) if whole else None

    def _sample(
        self, home: runners.Runner | None, candidates: list[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the runners to look at: the home and a few at random."""
        heard = [
            runner
            for runner in candidates
            if not self._is_zone_silent(runner.zone)
        ]
        rest = [one for one in heard or candidates if one is not home]
        chosen = self._rng.sample(rest, min(_RANDOM, len(rest)))
        return chosen if home is None else [home, *chosen]

    def _choose_plain(
        self, name: str, candidates: list[runners.Runner]
    ) -> Placement:
        hold_s = self._model.find(name).hold_s

        def expect(runner: runners.Runner) -> float:
            load = self._ledger.find(runner.id)
            ahead = load.requests / max(1, runner.slots)
            jitter = self._rng.random() * self._weights.other_zone_s / 4
            return ahead * hold_s + self._expect_way(runner) + jitter

        looked_at = candidates
        if len(candidates) > _PLAIN and not self._are_loads_fresh():
            looked_at = self._rng.sample(candidates, _PLAIN)
        best = min(looked_at, key=expect)
        return Placement(best, expect(best), 0, len(candidates))

    def _expect_engine(
        self,
        runner: runners.Runner,
        load: loads.RunnerLoad,
        uncached: int,
        estimate: model.Estimate,
    ) -> float:
        to_read = load.unread_tokens + uncached
        # Beyond its slots an engine begins a request only when another ends;
        # without this a home with a queue of seconds looked like a good one.
        waiting = max(0, load.requests + 1 - runner.slots)
        slot_wait_s = waiting * estimate.hold_s / max(1, runner.slots)
        return (
            to_read / estimate.read_tokens_per_s
            + slot_wait_s
            + load.requests * self._weights.slot_s
            + self._expect_way(runner)
        )

    def _expect_way(self, runner: runners.Runner) -> float:
        if runner.zone == self._zone:
            return 0.0
        if self._is_zone_silent(runner.zone):
            return self._weights.silent_zone_s
        return self._weights.other_zone_s


def _rank(placement: Placement, target_s: float) -> tuple[float, float]:
    """Return what is to be least: lateness, then time with reading weighed."""
    late_s = max(0.0, placement.expected_s - _CALM_PART * target_s)
    more_s = (_READ_WEIGHT - 1) * placement.read_s
    return late_s, placement.expected_s + more_s


def _choose_home(
    call: calls.Call, candidates: list[runners.Runner]
) -> runners.Runner | None:
    """Return the runner to which the prompt's shared parts fall.

    The last part belongs to the request alone; the one before it decides,
    so that all daemons send what shares it to one runner.
    """
    if len(call.prompt) < 2:
        return None
    key = call.prompt[-2].id
    return max(
        candidates, key=lambda one: rendezvous.score_candidate(key, one.id)
    )


def _estimate_uncached(call: calls.Call, *, is_home: bool) -> int:
    """Return the tokens that a runner likely has to read.

    The first of several shared parts is common to many prompts, so any
    runner has it; the others are at the prompt's home.
    """
    shared = call.prompt[:-1]
    cached = shared if is_home else shared[:-1]
    return max(0, (call.tokens_in or 0) - sum(p.tokens for p in cached))
