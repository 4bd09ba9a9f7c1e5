"""Handler of HTTP calls to backend services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import results
from martenquay_core.config import objects
from martenquay_core.util import serving
from martenquay_daemon.callers import replies, route_directory
from martenquay_daemon.dispatch import registry, service

if TYPE_CHECKING:
    from expression import Result

    from martenquay_daemon.callers import exchange, teams
    from martenquay_daemon.limits import admission

__all__ = ["SERVICE_PREFIX", "ServiceHandler"]

SERVICE_PREFIX = "/services/"
_FORWARDED_HEADERS = {b"content-type", b"accept", b"idempotency-key"}
_CALL_COST = 1.0


class ServiceHandler:
    """Admits service calls, dispatches them and returns their answers."""

    def __init__(
        self,
        partner: str,
        routes: route_directory.RouteDirectory,
        admission_control: admission.Admission,
        service_calls: service.ServiceDispatcher,
        requests: registry.RequestRegistry,
        background: trio.Nursery,
    ) -> None:
        self._partner = partner
        self._routes = routes
        self._admission = admission_control
        self._services = service_calls
        self._requests = requests
        self._background = background

    async def serve(
        self, caller: exchange.Exchange, team: teams.KnownTeam
    ) -> None:
        """Answer a service call."""
        route_path = caller.scope["path"].removeprefix(SERVICE_PREFIX)
        name, _, rest = route_path.partition("/")
        team_route = self._routes.find_route(name, team.name).bind(
            lambda found: route_directory.require_kind(
                found, objects.PoolKind.SERVICE
            )
        )
        if team_route.is_error():
            await caller.fail(team_route.error)
            return
        body = await caller.read_body()
        if body.is_error():
            await caller.fail(body.error, team_route.ok)
            return
        ask = self._routes.build_ask(team, team_route.ok, _CALL_COST)
        permit = await self._admission.enter(ask)
        if permit.is_error():
            await caller.fail(permit.error, team_route.ok)
            return
        call = self._build_call(
            caller, team, team_route.ok, f"/{rest}", body.ok, ask.deadline
        )
        result = await self._call(call, permit.ok, team_route.ok)
        await self._send(caller, team_route.ok, result)

    def _build_call(
        self,
        caller: exchange.Exchange,
        team: teams.KnownTeam,
        team_route: route_directory.TeamRoute,
        path: str,
        body: bytes,
        deadline: float,
    ) -> service.ServiceCall:
        query = caller.scope["query_string"].decode("latin-1")
        headers = [
            (name, value)
            for name, value in caller.scope["headers"]
            if name in _FORWARDED_HEADERS
        ]
        headers.append((b"x-request-id", caller.request_id.encode()))
        return service.ServiceCall(
            request_id=caller.request_id,
            partner=self._partner,
            team=team.name,
            route=team_route.name,
            pool=team_route.route.pool,
            repeatable=team_route.route.repeatable,
            checks_orders=team_route.pool.checks_orders,
            method=caller.scope["method"],
            path=f"{path}?{query}" if query else path,
            headers=headers,
            body=body,
            key=caller.key,
            deadline=deadline,
        )

    async def _call(
        self,
        call: service.ServiceCall,
        permit: admission.Permit,
        team_route: route_directory.TeamRoute,
    ) -> Result[service.ServiceAnswer, results.Failure]:
        """Make the call in a background task and wait for its outcome.

        The task goes on if the caller disconnects, since the call may already
        run and a retry of the caller needs its outcome.
        """
        outcome_sender, outcome_receiver = trio.open_memory_channel(1)

        async def run() -> None:
            try:
                outcome_sender.send_nowait(await self._services.call(call))
            finally:
                self._admission.leave(permit)
                self._requests.close(call.request_id)

        self._requests.open(
            registry.RunningRequest(
                call.request_id, call.team, call.route, team_route.urgency.value
            )
        )
        self._background.start_soon(run)
        return await outcome_receiver.receive()

    async def _send(
        self,
        caller: exchange.Exchange,
        team_route: route_directory.TeamRoute,
        result: Result[service.ServiceAnswer, results.Failure],
    ) -> None:
        if result.is_error():
            await caller.fail(result.error, team_route)
            return
        answer = result.ok
        caller.count(results.ResultCode.OK, team_route)
        headers = replies.create_result_headers(
            caller.request_id, results.ResultCode.OK, answer.runner, answer.zone
        )
        headers.append((b"content-type", answer.content_type.encode()))
        await serving.send_answer(
            caller.send, answer.status, answer.body, headers
        )
