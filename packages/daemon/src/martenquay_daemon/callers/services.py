"""Serve calls to plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_core import results
from martenquay_core.config import objects
from martenquay_core.util import serving
from martenquay_daemon.callers import gate, replies
from martenquay_daemon.dispatch import registry, service

if TYPE_CHECKING:
    from expression import Result

    from martenquay_daemon.callers import exchange, teams
    from martenquay_daemon.limits import admission

__all__ = ["SERVICE_PREFIX", "ServiceDesk"]

SERVICE_PREFIX = "/services/"
_PASSED_HEADERS = {b"content-type", b"accept", b"idempotency-key"}
_COST = 1.0


class ServiceDesk:
    """Serve the service calls of one daemon."""

    def __init__(
        self,
        partner: str,
        routes: gate.Gate,
        entrance: admission.Admission,
        service_calls: service.ServiceDispatcher,
        requests: registry.RequestRegistry,
        background: trio.Nursery,
    ) -> None:
        self._partner = partner
        self._gate = routes
        self._admission = entrance
        self._services = service_calls
        self._requests = requests
        self._background = background

    async def serve(
        self, caller: exchange.Exchange, team: teams.KnownTeam
    ) -> None:
        """Answer a service call."""
        below = caller.scope["path"].removeprefix(SERVICE_PREFIX)
        name, _, rest = below.partition("/")
        known = self._gate.find_route(name, team.name).bind(
            lambda found: gate.require_kind(found, objects.PoolKind.SERVICE)
        )
        if known.is_error():
            await caller.fail(known.error)
            return
        body = await caller.read_body()
        if body.is_error():
            await caller.fail(body.error, known.ok)
            return
        ask = self._gate.build_ask(team, known.ok, _COST)
        permit = await self._admission.enter(ask)
        if permit.is_error():
            await caller.fail(permit.error, known.ok)
            return
        call = self._build_call(
            caller, team, known.ok, f"/{rest}", body.ok, ask.deadline
        )
        answered = await self._call(call, permit.ok, known.ok)
        await self._send(caller, known.ok, answered)

    def _build_call(
        self,
        caller: exchange.Exchange,
        team: teams.KnownTeam,
        known: gate.KnownRoute,
        path: str,
        body: bytes,
        deadline: float,
    ) -> service.ServiceCall:
        query = caller.scope["query_string"].decode("latin-1")
        headers = [
            (name, value)
            for name, value in caller.scope["headers"]
            if name in _PASSED_HEADERS
        ]
        headers.append((b"x-request-id", caller.request_id.encode()))
        return service.ServiceCall(
            request_id=caller.request_id,
            partner=self._partner,
            team=team.name,
            route=known.name,
            pool=known.route.pool,
            repeatable=known.route.repeatable,
            checks_orders=known.pool.checks_orders,
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
        known: gate.KnownRoute,
    ) -> Result[service.ServiceAnswer, results.Failure]:
        """Make the call in a task that outlives a caller that leaves.

        The call may have run when the caller is gone; its outcome has to be
        kept for the caller's next try.
        """
        outcome_in, outcome_out = trio.open_memory_channel(1)

        async def run() -> None:
            try:
                outcome_in.send_nowait(await self._services.call(call))
            finally:
                self._admission.leave(permit)
                self._requests.close(call.request_id)

        self._requests.open(
            registry.RunningRequest(
                call.request_id, call.team, call.route, known.urgency.value
            )
        )
        self._background.start_soon(run)
        return await outcome_out.receive()

    async def _send(
        self,
        caller: exchange.Exchange,
        known: gate.KnownRoute,
        answered: Result[service.ServiceAnswer, results.Failure],
    ) -> None:
        if answered.is_error():
            await caller.fail(answered.error, known)
            return
        answer = answered.ok
        caller.count(results.ResultCode.OK, known)
        headers = replies.result_headers(
            caller.request_id, results.ResultCode.OK, answer.runner, answer.zone
        )
        headers.append((b"content-type", answer.content_type.encode()))
        await serving.send_answer(
            caller.send, answer.status, answer.body, headers
        )
