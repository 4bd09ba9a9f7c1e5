"""Admit a request: match its route and team, and charge the team's quota."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import logs, results
from martenquay_daemon.allowances import terms
from martenquay_daemon.forwarding import (
    answers,
    exchange,
    own_answers,
    retry_detector,
    stop_window,
)

if TYPE_CHECKING:
    import random

    from martenquay_core.serving import calls, catalog
    from martenquay_daemon.allowances import gate
    from martenquay_daemon.discovery import catalog_store
    from martenquay_daemon.engines import placer
    from martenquay_daemon.forwarding import (
        quarantine_filter,
        routes,
        stream_resumption,
    )

__all__ = ["RequestAdmission"]

_LOG = logs.create_log("forwarding")
_Code = results.ResultCode
_STARTING_RETRY_AFTER_S = 0.5
# Of what a caller has sent, in messages and log lines.
_MAX_QUOTED_LENGTH = 200
# Enough for a delegated refill share to arrive; the rest of the request's time
# is left for its answer.
_MAX_QUOTA_WAIT_S = 1.5
_MAX_QUOTA_WAIT_FRACTION = 0.4


class RequestAdmission:
    """Decides once for each request whether it is forwarded at all."""

    def __init__(
        self,
        store: catalog_store.CatalogStore,
        quarantine: quarantine_filter.QuarantineFilter,
        stop: stop_window.StopWindow,
        resumption: stream_resumption.StreamResumption,
        allowances: gate.AllowanceGate,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._stop = stop
        self._resumption = resumption
        self._allowances = allowances
        self._rng = rng
        self._retry_detector = retry_detector.RetryDetector()

    def reject_unknown(self, call: calls.Call) -> answers.OwnAnswer | None:
        """Return the answer to a request of an unknown route or key.

        None before a configuration is known.
        """
        table = self._store.table
        if self._store.version == 0:
            return None
        return _describe_unknown(
            table, call, table.find_route(call), table.find_team(call.key)
        )

    async def admit(
        self,
        call: calls.Call,
        received_at: float,
        writer: answers.AnswerWriter,
    ) -> exchange.Exchange | answers.OwnAnswer:
        """Return the request's state, or the answer that rejects it.

        Args:
            call: The request.
            received_at: When its first byte arrived, on trio's clock.
            writer: Writes the answer to the caller.
        """
        table = self._store.table
        if self._store.version == 0:
            return answers.create_own_answer(
                _Code.NOT_RUN_STARTING,
                "no configuration is known yet",
                retry_after_s=_STARTING_RETRY_AFTER_S,
            )
        route = table.find_route(call)
        team = table.find_team(call.key)
        unknown = _describe_unknown(table, call, route, team)
        if unknown is not None:
            return unknown
        budget_s = min(call.budget_s or route.timeout_s, route.timeout_s)
        current = exchange.Exchange(
            call=call,
            route=route,
            team=team,
            service=self._choose_service(route),
            received_at=received_at,
            deadline=received_at + budget_s,
            writer=writer,
            last_event_id=call.resume_after,
            caller_elapsed_s=self._retry_detector.find_elapsed(
                route.name, call.budget_s
            ),
        )
        # Checked before the quota, so that a rejected request costs none.
        hold_s = self._quarantine.find_quarantine_s(current)
        if hold_s is not None:
            return own_answers.describe_quarantine(hold_s)
        return (
            self.refuse_if_stop_interrupts(current)
            or await self._resumption.bind(current)
            or await self._refuse_if_over_quota(current)
            or current
        )

    def refuse_if_stop_interrupts(
        self,
        current: exchange.Exchange,
        placement: placer.Placement | None = None,
    ) -> answers.OwnAnswer | None:
        """Return the rejection of a request that the stop would cut off.

        Args:
            current: The request, which no runner has executed.
            placement: The chosen runner; None before one is chosen.
        """
        overrun_s = self._stop.find_overrun(
            stop_window.create_request(current, placement)
        )
        if overrun_s <= 0:
            return None
        return own_answers.describe_stop(overrun_s)

    def _choose_service(self, route: catalog.Route) -> str:
        if len(route.destinations) == 1:
            return route.destinations[0].service
        weights = [max(0.0, d.weight) for d in route.destinations]
        if not sum(weights):
            return route.destinations[0].service
        chosen = self._rng.choices(route.destinations, weights)
        return chosen[0].service

    async def _refuse_if_over_quota(
        self, current: exchange.Exchange
    ) -> answers.OwnAnswer | None:
        team = current.team
        if team is None:
            return None
        if current.is_resuming:
            # Its time to the first event is over by its nature.
            is_late, reserve = False, 0
        else:
            is_late = current.caller_elapsed_s > current.route.target_s > 0
            reserve = self._find_priority_reserve(current)
        admission_request = terms.AdmissionRequest(
            current.units,
            reserve,
            is_late,
            _find_max_quota_wait(current),
            current.is_resuming,
        )
        decision = await self._allowances.acquire(team, admission_request)
        if decision.is_admitted:
            current.admission = decision
            return None
        quota = decision.units
        _LOG.write(
            f"Team {team.name} lacks quota for {current.units:.0f} units.",
            request=current.call.id,
            team=team.name,
            kept_at=decision.kept_at,
            there=round(quota.there),
            owed=round(quota.owed),
            part=round(quota.part, 3),
            asked=round(quota.asked),
            tried_ms=round(current.caller_elapsed_s * 1000),
            resumed_request=current.call.resumed_id or None,
            units=current.units,
            rate=team.rate,
            burst=team.burst,
        )
        return answers.create_own_answer(
            _Code.NOT_RUN_OVERLOADED,
            f"team {team.name} is over its allowance",
            retry_after_s=decision.retry_s,
        )

    def _find_priority_reserve(self, current: exchange.Exchange) -> int:
        """Return the request's distance from the highest priority.

        The larger it is, the more quota is left to other requests. It is 0 for
        calls of plain services: they cost next to nothing of a quota that
        counts tokens.
        """
        services = self._store.table.catalog.services
        service = services.get(current.service)
        if service is None or service.engine is None:
            return 0
        return 1 + min(current.route.urgency, 1)


def _describe_unknown(
    table: routes.RouteTable,
    call: calls.Call,
    route: catalog.Route | None,
    team: catalog.Team | None,
) -> answers.OwnAnswer | None:
    """Return the answer if route or key are unknown."""
    if route is None:
        place = f"{call.host}{call.path}"[:_MAX_QUOTED_LENGTH]
        message = f"no route for {place}"
        return answers.create_own_answer(_Code.UNKNOWN_ROUTE, message)
    if team is None and table.needs_key(route):
        message = "the key belongs to no team"
        return answers.create_own_answer(_Code.BAD_CREDENTIAL, message)
    return None


def _find_max_quota_wait(current: exchange.Exchange) -> float:
    """Return how long to wait for quota while none is known, in seconds."""
    remaining_s = current.deadline - trio.current_time()
    return min(_MAX_QUOTA_WAIT_S, _MAX_QUOTA_WAIT_FRACTION * remaining_s)
