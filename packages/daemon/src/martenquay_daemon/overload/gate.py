"""Reject requests at once that a service's engines would start too late."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import trio

from martenquay_core import logs
from martenquay_daemon.overload import (
    admission,
    levels,
    returns,
    services,
    team_shares,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from martenquay_daemon.discovery import catalog_store, runner_directory
    from martenquay_daemon.engines import demand, loads, model, placer
    from martenquay_daemon.overload import backlog, metrics, request

__all__ = ["OverloadGate", "OverloadSources", "Shed", "ShedReason"]

_LOG = logs.create_log("overload")
# Estimates of long waits may be too high by up to this factor, so a request is
# rejected as hopeless only beyond it.
_MAX_OVERESTIMATE_FACTOR = 1.5
_IDLE_SLOT_SHARE = 0.5
# Weight of one request in the mean admitted share, by which teams that exceed
# their part of it are found; the mean spans the last ten or so requests.
_MEAN_SHARE_WEIGHT = 0.1
_MIN_MEAN_SHARE = 0.01


class ShedReason(enum.Enum):
    """Why a request was rejected."""

    # Its first event is not expected before its deadline.
    DEADLINE = "deadline"
    # Its first event is expected late, or it would delay others.
    OVERLOAD = "overload"


@dataclasses.dataclass(frozen=True)
class Shed:
    """Rejection of a request that no runner has received.

    Attributes:
        retry_after_s: Seconds until there is likely capacity for it.
        reason: Why it is rejected.
    """

    retry_after_s: float
    reason: ShedReason


@dataclasses.dataclass(frozen=True)
class OverloadSources:
    """What the gate decides by.

    Attributes:
        store: The catalog in force.
        directory: The known runners.
        ledger: Load of all daemons by runner.
        backlogs: Waiting prompts of all daemons by urgency.
        estimates: Prefill speed and request time of the engines.
        meter: Demand for the planning of capacity.
        metrics: Prometheus metrics.
        rng: Draws which requests are admitted.
        find_speed: Returns a runner's speed relative to its service's.
    """

    store: catalog_store.CatalogStore
    directory: runner_directory.RunnerDirectory
    ledger: loads.LoadLedger
    backlogs: backlog.BacklogLedger
    estimates: model.RunnerModel
    meter: demand.DemandMeter
    metrics: metrics.OverloadMetrics
    rng: random.Random
    find_speed: Callable[[str], float]


class OverloadGate:
    """Admits or rejects requests before they are sent to a first runner."""

    def __init__(self, sources: OverloadSources) -> None:
        self._sources = sources
        self._services = services.ServiceTable(
            sources.store,
            sources.directory,
            sources.ledger,
            sources.estimates,
            sources.find_speed,
        )
        self._teams: dict[str, team_shares.TeamShares] = {}
        self._mean_shares: dict[tuple[str, int], float] = {}
        self._returns = returns.ReturnSchedule()

    def covers(self, service: str, target_s: float) -> bool:
        """Return whether requests of such a route are checked.

        Plain services are left out: they have no queue by urgency, and their
        calls take less time than a rejection saves.
        """
        return target_s > 0 and self._services.has_engines(service)

    def check(
        self, asked: request.OverloadRequest, placement: placer.Placement
    ) -> Shed | None:
        """Return why and until when a request is rejected, or None."""
        now = trio.current_time()
        self._note_team(asked, now)
        if not placement.is_learnt:
            return None
        capacity = self._services.find_capacity(asked.service, now)
        backlogs = self._sources.backlogs.find(
            asked.service, capacity.read_tokens_per_s
        )
        slack_s = admission.find_slack_s(
            asked.target_s, asked.elapsed_s, placement.read_s
        )
        level = max(
            levels.find_level(
                capacity,
                backlogs,
                asked.urgency,
                self._services.find_targets(asked.service),
                slack_s,
            ),
            self._find_runner_wait_s(asked, placement, backlogs) / slack_s,
        )
        self._sources.metrics.note_level(asked.service, asked.urgency, level)
        late_s = (
            placement.expected_s / _MAX_OVERESTIMATE_FACTOR - asked.remaining_s
        )
        share = self._find_share(asked, level, slack_s, now)
        reason = None
        if late_s > 0:
            reason = ShedReason.DEADLINE
        elif share < 1 and self._sources.rng.random() >= share:
            reason = ShedReason.OVERLOAD
        if reason is None or _is_idle(capacity, backlogs):
            self._note_admitted(asked, placement, now)
            return None
        drain_s = max(late_s, (level - 1) * slack_s)
        shed = self._shed(asked, placement, drain_s, reason, now)
        _LOG.write(
            f"Rejected a request to {asked.service}.",
            request=asked.id,
            route=asked.route,
            urgency=asked.urgency,
            reason=reason.value,
            level=round(level, 2),
            share=round(share, 3),
            is_retrying=asked.is_retrying,
            runners=capacity.runners,
            slots=capacity.slots,
            requests=capacity.requests,
            unread=round(sum(b.unread_tokens for b in backlogs.values())),
            expected_ms=round(placement.expected_s * 1000),
            retry_after_s=round(shed.retry_after_s, 3),
        )
        return shed

    def _note_team(self, asked: request.OverloadRequest, now: float) -> None:
        if asked.team is not None and not asked.is_retrying:
            teams = self._teams.setdefault(
                asked.service, team_shares.TeamShares()
            )
            teams.note(asked.team.name, asked.team.rate, asked.units, now)

    def _find_share(
        self,
        asked: request.OverloadRequest,
        level: float,
        slack_s: float,
        now: float,
    ) -> float:
        """Return the share of such requests to admit.

        A team beyond its part of what was admitted recently meets a level
        that is higher by as much, so it gives way before the others.
        """
        share = admission.find_admitted_share(
            level, slack_s, is_retrying=asked.is_retrying
        )
        teams = self._teams.get(asked.service)
        if asked.team is None or teams is None:
            return share
        key = asked.service, asked.urgency
        mean = self._mean_shares.get(key, 1.0)
        mean += _MEAN_SHARE_WEIGHT * (share - mean)
        self._mean_shares[key] = mean
        relative = teams.find_share(asked.team.name, mean, now) / max(
            mean, _MIN_MEAN_SHARE
        )
        if relative >= 1:
            return share
        lowered = admission.find_admitted_share(
            level / relative, slack_s, is_retrying=asked.is_retrying
        )
        return max(lowered, team_shares.MIN_RELATIVE_SHARE * share)

    def _find_runner_wait_s(
        self,
        asked: request.OverloadRequest,
        placement: placer.Placement,
        backlogs: dict[int, backlog.Backlog],
    ) -> float:
        """Return the wait at the chosen runner behind as urgent work.

        The loads by runner have no urgencies, so the runner's queue is assumed
        to be composed as the service's.
        """
        total = sum(found.unread_tokens for found in backlogs.values())
        ahead = sum(
            found.unread_tokens
            for urgency, found in backlogs.items()
            if urgency <= asked.urgency
        )
        if total <= 0:
            return 0.0
        estimate = self._sources.estimates.find(asked.service)
        speed = estimate.read_tokens_per_s * self._sources.find_speed(
            placement.runner.id
        )
        return placement.unread_tokens * (ahead / total) / speed

    def _note_admitted(
        self,
        asked: request.OverloadRequest,
        placement: placer.Placement,
        now: float,
    ) -> None:
        self._returns.note_admitted(
            asked.service, asked.urgency, placement.uncached_tokens, now
        )
        self._sources.metrics.count_decision(
            asked.service, asked.urgency, "admitted"
        )

    def _shed(
        self,
        asked: request.OverloadRequest,
        placement: placer.Placement,
        drain_s: float,
        reason: ShedReason,
        now: float,
    ) -> Shed:
        sources = self._sources
        if not asked.is_retrying:
            # Otherwise the rejected demand would order no runners.
            sources.meter.note(asked.service, placement.uncached_tokens)
        retry_after_s = self._returns.schedule(
            asked.service,
            asked.urgency,
            placement.uncached_tokens,
            drain_s,
            asked.remaining_s,
            now,
        )
        if reason is ShedReason.DEADLINE:
            # Retries within this deadline are useless, so the lateness is
            # named in full.
            retry_after_s = max(retry_after_s, drain_s)
        sources.metrics.count_decision(
            asked.service, asked.urgency, reason.value
        )
        sources.metrics.note_retry_after(asked.service, retry_after_s)
        return Shed(retry_after_s, reason)


def _is_idle(
    capacity: levels.Capacity, backlogs: dict[int, backlog.Backlog]
) -> bool:
    """Return whether runners have free slots and no request is queued."""
    waiting = sum(found.requests for found in backlogs.values())
    return (
        capacity.requests < _IDLE_SLOT_SHARE * capacity.slots
        and waiting <= capacity.runners
    )
