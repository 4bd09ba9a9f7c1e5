"""Place requests on the runner with the least expected time to first event."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from martenquay_daemon.engines import (
    first_event_costs,
    locality,
    prefix_homes,
    prefix_shares,
    speed_tracker,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from martenquay_core.serving import calls, catalog, runners
    from martenquay_daemon.backpressure import runner_admission
    from martenquay_daemon.discovery import runner_directory
    from martenquay_daemon.engines import loads, model
    from martenquay_daemon.limits import ejection

__all__ = ["Placement", "Placer"]


# Random candidates beside the prompt's home, the runner that its shared prefix
# hashes to. Loads are gossiped with a delay, so comparing all runners would
# send the requests of all daemons to the same idle one: with 70 daemons and 24
# engines at half load, 36% of the chats were late instead of 10%.
_RANDOM_CANDIDATES = 2
# An uncached token counts like this many queued ones, as its prefill also
# delays the requests that come later. From 2 to 8 replays were alike; with 1 a
# third more requests were late.
_PREFILL_WEIGHT = 3.0
# Below this fraction of the target a request is on time despite estimation
# errors; then less prefill is preferred to an earlier first event.
_ON_TIME_FRACTION = 0.4
# Further random candidates in this daemon's zone, as bytes between zones cost.
_NEAR_CANDIDATES = 1
# The bytes of a request to another zone count like this fraction of the target.
_FAR_FRACTION = 0.1
# Random candidates of a service without an engine while loads are gossiped over
# hubs; comparing all runners on old loads would overload the idle one.
_PLAIN_CANDIDATES = 2


def _allow_all_versions(
    service: str, usable: list[runners.Runner]
) -> list[runners.Runner]:
    del service
    return usable


@dataclasses.dataclass(frozen=True)
class Placement:
    """The chosen runner and the estimate for it.

    Attributes:
        runner: The chosen runner.
        expected_s: Expected seconds to the first event.
        uncached_tokens: Prompt tokens expected not to be in its prefix cache.
        considered: Number of runners to choose from.
        unread_tokens: Prompt tokens already queued at the runner.
        has_free_slot: Whether it had fewer requests than slots.
        read_s: Expected prefill seconds of the uncached tokens.
        is_learnt: Whether enough results support the estimate.
        work_s: Seconds in which an engine of the service's mean speed prefills
            the uncached and the queued tokens.
        speed: Speed of the engine relative to the service's mean.
        same_version: Number of runners of its software version among those to
            choose from; a stream that has begun goes on at these only.
    """

    runner: runners.Runner
    expected_s: float
    uncached_tokens: int
    considered: int
    unread_tokens: int = 0
    has_free_slot: bool = True
    read_s: float = 0.0
    is_learnt: bool = False
    work_s: float = 0.0
    speed: float = 1.0
    same_version: int = 1


class Placer:
    """Chooses runners for the requests of one daemon."""

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
        admission: runner_admission.RunnerAdmission,
        choose_versions: Callable[
            [str, list[runners.Runner]], list[runners.Runner]
        ] = _allow_all_versions,
        speeds: speed_tracker.SpeedTracker | None = None,
    ) -> None:
        self._admission = admission
        self._choose_versions = choose_versions
        self._zone = zone
        self._are_loads_fresh = are_loads_fresh
        self._is_zone_silent = is_zone_silent
        self._directory = directory
        self._ledger = ledger
        self._model = estimates
        self._ejector = ejector
        self._rng = rng
        self._costs = first_event_costs.FirstEventCosts(zone, is_zone_silent)
        self._shares = prefix_shares.PrefixShares()
        self._speeds = speeds or speed_tracker.create_speed_tracker(
            is_enabled=False
        )
        self._locality = locality.Locality(zone, ledger, self._speeds)

    def choose(
        self,
        service: catalog.Service | None,
        name: str,
        call: calls.Call,
        excluded: set[str],
        target_s: float = 0.0,
        software: str | None = None,
    ) -> Placement | None:
        """Return the best runner of a service that is not excluded.

        Args:
            service: The service; None if it is not in the catalog.
            name: Name of the service.
            call: The request.
            excluded: Ids of runners that must not be chosen.
            target_s: Target time to the first event in seconds.
            software: The only version that may be chosen, whether or not it
                gets new requests; None for those that do.

        Returns:
            The runner and its estimate; None if no usable runner is left.
        """
        usable = [
            runner
            for runner in self._directory.list_usable(name)
            if runner.id not in excluded
        ]
        usable = self._admission.filter_accepting(usable)
        if software is None:
            usable = self._choose_versions(name, usable)
        else:
            usable = [one for one in usable if one.software == software]
        if not usable:
            return None
        not_ejected = set(self._ejector.filter_usable([r.id for r in usable]))
        candidates = [runner for runner in usable if runner.id in not_ejected]
        if service is not None and service.engine is not None:
            found = self._choose_engine(name, call, candidates, target_s)
        else:
            found = self._choose_plain(name, candidates)
        same_version = sum(
            one.software == found.runner.software for one in candidates
        )
        return dataclasses.replace(found, same_version=same_version)

    def _choose_engine(
        self,
        name: str,
        call: calls.Call,
        candidates: list[runners.Runner],
        target_s: float,
    ) -> Placement:
        estimate = self._model.find(name)
        weight = self._find_zone_weight(name, candidates)
        homes = self._find_homes(name, call, candidates)
        best: Placement | None = None
        best_rank: tuple[float, float] | None = None
        for runner in self._sample(homes, candidates, weight):
            uncached = prefix_homes.estimate_uncached(
                call, is_home=runner in homes
            )
            speed = self._speeds.find(runner.id)
            tokens_per_s = estimate.read_tokens_per_s * speed
            load = self._ledger.find(runner.id, tokens_per_s)
            expected_s = self._costs.estimate_s(
                runner, load, uncached, estimate, speed
            )
            to_read = load.unread_tokens + uncached
            found = Placement(
                runner,
                expected_s,
                uncached,
                len(candidates),
                load.unread_tokens,
                load.requests < runner.slots,
                uncached / tokens_per_s,
                estimate.is_learnt,
                to_read / estimate.read_tokens_per_s,
                speed,
            )
            is_far = runner.zone != self._zone
            far_s = is_far * weight * _FAR_FRACTION * target_s
            rank = _rank(found, target_s, far_s)
            if best_rank is None or rank < best_rank:
                best, best_rank = found, rank
        assert best is not None, "there are candidates"
        return best

    def _find_homes(
        self, name: str, call: calls.Call, candidates: list[runners.Runner]
    ) -> list[runners.Runner]:
        """Return the homes of the prompt's shared prefix, if there are any.

        A rate-limited runner is never a home: its requests would move to other
        runners most of the time, without the cached prefix.
        """
        unlimited = self._admission.filter_unlimited(candidates)
        key = prefix_homes.find_key(call)
        if key is None or not unlimited:
            return []
        share = self._shares.note(name, key) if self._speeds.is_enabled else 0.0
        return prefix_homes.choose_homes(key, unlimited, self._zone, share)

    def _sample(
        self,
        homes: list[runners.Runner],
        candidates: list[runners.Runner],
        zone_weight: float,
    ) -> list[runners.Runner]:
        """Return the candidates: the homes, a few random runners, a near one.

        Without a runner of this zone among them, bytes would be sent to
        another zone although this one has capacity.
        """
        reachable = [
            runner
            for runner in candidates
            if not self._is_zone_silent(runner.zone)
        ]
        rest = [one for one in reachable or candidates if one not in homes]
        chosen = self._rng.sample(rest, min(_RANDOM_CANDIDATES, len(rest)))
        if zone_weight > 0 and self._rng.random() < zone_weight:
            near = [
                one
                for one in rest
                if one.zone == self._zone and one not in chosen
            ]
            chosen += self._rng.sample(near, min(_NEAR_CANDIDATES, len(near)))
        return homes + chosen

    def _choose_plain(
        self, name: str, candidates: list[runners.Runner]
    ) -> Placement:
        hold_s = self._model.find(name).hold_s

        def estimate_s(runner: runners.Runner) -> float:
            load = self._ledger.find(runner.id)
            ahead = load.requests / max(1, runner.slots)
            jitter = self._rng.random() * first_event_costs.OTHER_ZONE_S / 4
            return (
                ahead * hold_s + self._costs.estimate_network_s(runner) + jitter
            )

        looked_at = candidates
        if len(candidates) > _PLAIN_CANDIDATES and not self._are_loads_fresh():
            looked_at = self._rng.sample(candidates, _PLAIN_CANDIDATES)
        best = min(looked_at, key=estimate_s)
        return Placement(best, estimate_s(best), 0, len(candidates))

    def _find_zone_weight(
        self, name: str, candidates: list[runners.Runner]
    ) -> float:
        if not self._speeds.is_enabled:
            return 0.0
        return self._locality.find_weight(name, candidates)


def _rank(
    placement: Placement, target_s: float, far_s: float
) -> tuple[float, float]:
    """Return the sort key: lateness, then time with prefill and zone weighted.

    Args:
        placement: The runner and its estimate.
        target_s: Target time to the first event in seconds.
        far_s: What bytes to the runner's zone count like, in seconds.
    """
    late_s = max(0.0, placement.expected_s - _ON_TIME_FRACTION * target_s)
    extra_s = (_PREFILL_WEIGHT - 1) * placement.read_s
    return late_s, placement.expected_s + extra_s + far_s
