"""Handler of chat requests, immediate or deferrable, and of tickets."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from martenquay_core import results
from martenquay_core.config import objects
from martenquay_core.util import blocks, serving
from martenquay_daemon.callers import chat, exchange, replies, route_directory
from martenquay_daemon.deferrable import table
from martenquay_daemon.dispatch import model, registry, request_progress

if TYPE_CHECKING:
    from martenquay_daemon.callers import teams
    from martenquay_daemon.deferrable import manager
    from martenquay_daemon.limits import admission
    from martenquay_daemon.util import metrics

__all__ = ["ChatHandler", "TICKET_PREFIX"]

TICKET_PREFIX = "/v1/tickets/"
_RETRY_AFTER_S = 1.0
_JSON = (b"content-type", b"application/json")


class ChatHandler:
    """Answers chat requests, accepts deferrable ones and serves tickets."""

    def __init__(
        self,
        partner: str,
        known_teams: teams.TeamDirectory,
        routes: route_directory.RouteDirectory,
        admission_control: admission.Admission,
        model_calls: model.ModelDispatcher,
        deferrable: manager.DeferrableManager,
        requests: registry.RequestRegistry,
        counters: metrics.DaemonMetrics,
    ) -> None:
        self._partner = partner
        self._teams = known_teams
        self._routes = routes
        self._admission = admission_control
        self._models = model_calls
        self._deferrable = deferrable
        self._requests = requests
        self._metrics = counters

    async def serve(
        self, caller: exchange.Exchange, team: teams.KnownTeam
    ) -> None:
        """Answer a chat request, or accept it if its route is deferrable."""
        body = await caller.read_body()
        chat_request = body.bind(chat.parse_chat_request)
        team_route = chat_request.bind(
            lambda a: self._find_route(a.model, team.name)
        )
        if team_route.is_error():
            await caller.fail(team_route.error)
        elif team_route.ok.urgency is objects.Urgency.DEFERRABLE:
            await self._accept_deferrable(caller, team, team_route.ok, body.ok)
        else:
            await caller.run_while_connected(
                self._answer, caller, team, team_route.ok, chat_request.ok
            )

    async def send_ticket(
        self, caller: exchange.Exchange, team: teams.KnownTeam, ticket: str
    ) -> None:
        """Send the answer to a deferrable request, or a pending status."""
        is_own = table.find_team(ticket) == team.name
        state = await self._deferrable.fetch(ticket) if is_own else None
        if state is None or not state.known:
            code = results.ResultCode.UNKNOWN_TICKET
            await caller.fail(results.Failure(code, f"no ticket {ticket!r}"))
        elif state.answer is None:
            await replies.send_result(
                caller.send,
                caller.request_id,
                results.ResultCode.PENDING,
                {"ticket": ticket, "retry_after_s": _RETRY_AFTER_S},
            )
        else:
            await self._send_completion(caller, state.answer)

    async def perform(
        self, work: table.OpenRequest, body: bytes
    ) -> Result[bytes, results.Failure]:
        """Answer an accepted deferrable request.

        Args:
            work: The accepted request.
            body: Its body as the caller sent it.

        Returns:
            The encoded answer, or a failure if the request should be retried.
            A request whose route or team no longer exists is answered with an
            encoded failure, since retries can't succeed.
        """
        team = self._teams.find_by_name(work.team)
        chat_request = chat.parse_chat_request(body)
        team_route = chat_request.bind(
            lambda a: self._find_route(a.model, work.team)
        )
        if team is None or team_route.is_error():
            failure = results.Failure(
                results.ResultCode.UNKNOWN_ROUTE,
                f"route {work.route} or team {work.team} is gone",
            )
            return Ok(replies.encode_failure(work.ticket, failure))
        result = await self._generate(
            work.ticket,
            team,
            team_route.ok,
            chat_request.ok,
            chat.DiscardingSink(),
        )
        return result.map(
            lambda usage: chat.encode_completion(work.ticket, work.route, usage)
        )

    async def _answer(
        self,
        caller: exchange.Exchange,
        team: teams.KnownTeam,
        team_route: route_directory.TeamRoute,
        chat_request: chat.ChatRequest,
    ) -> None:
        headers = replies.create_result_headers(
            caller.request_id, results.ResultCode.OK
        )
        sink = chat.StreamingSink(
            caller.send, caller.request_id, team_route.name, headers
        )
        result = await self._generate(
            caller.request_id,
            team,
            team_route,
            chat_request,
            sink if chat_request.stream else chat.DiscardingSink(),
        )
        match result:
            case Result(tag="ok", ok=usage):
                await self._finish_answer(
                    caller, team_route, chat_request, sink, usage
                )
            case Result(error=failure) if sink.is_open:
                caller.count(failure.code, team_route)
                await sink.fail(failure)
            case Result(error=failure):
                await caller.fail(failure, team_route)

    async def _generate(
        self,
        request_id: str,
        team: teams.KnownTeam,
        team_route: route_directory.TeamRoute,
        chat_request: chat.ChatRequest,
        sink: request_progress.TokenSink,
    ) -> Result[request_progress.Usage, results.Failure]:
        """Wait for admission, then generate the answer into a sink."""
        prompt = chat_request.build_prompt()
        cost = blocks.count_tokens(prompt) + chat_request.max_tokens
        ask = self._routes.build_ask(team, team_route, cost)
        self._requests.open(
            registry.RunningRequest(
                request_id, team.name, team_route.name, team_route.urgency.value
            )
        )
        try:
            permit = await self._admission.enter(ask)
            if permit.is_error():
                return Error(permit.error)
            request = request_progress.ModelRequest(
                request_id,
                self._partner,
                team_route.route.pool,
                team_route.urgency,
                prompt,
                chat_request.max_tokens,
                ask.deadline,
            )
            try:
                return await self._models.answer(request, sink)
            finally:
                self._admission.leave(permit.ok)
        finally:
            self._requests.close(request_id)

    async def _finish_answer(
        self,
        caller: exchange.Exchange,
        team_route: route_directory.TeamRoute,
        chat_request: chat.ChatRequest,
        sink: chat.StreamingSink,
        usage: request_progress.Usage,
    ) -> None:
        caller.count(results.ResultCode.OK, team_route)
        labels = {"pool": team_route.route.pool}
        self._metrics.generated.add(labels, len(usage.generated))
        if chat_request.stream:
            await sink.finish()
            return
        body = chat.encode_completion(caller.request_id, team_route.name, usage)
        await self._send_completion(caller, body, usage.runner, usage.zone)

    async def _accept_deferrable(
        self,
        caller: exchange.Exchange,
        team: teams.KnownTeam,
        team_route: route_directory.TeamRoute,
        body: bytes,
    ) -> None:
        # The idempotency key becomes the ticket, or a retry after a lost answer
        # would be accepted as a second request.
        ticket = f"{team.name}.{caller.key or secrets.token_hex(16)}"
        if not exchange.ID_PATTERN.match(ticket):
            code = results.ResultCode.MALFORMED_REQUEST
            message = "a key has letters, digits and _.:- only, 64 at most"
            await caller.fail(results.Failure(code, message), team_route)
            return
        accepted = await self._deferrable.accept(
            ticket, team.name, team_route.name, body
        )
        if accepted.is_error():
            await caller.fail(accepted.error, team_route)
            return
        code = results.ResultCode.ACCEPTED
        caller.count(code, team_route)
        content = {"ticket": ticket, "answer": f"{TICKET_PREFIX}{ticket}"}
        await replies.send_result(caller.send, caller.request_id, code, content)

    async def _send_completion(
        self,
        caller: exchange.Exchange,
        body: bytes,
        runner: str = "",
        zone: str = "",
    ) -> None:
        headers = replies.create_result_headers(
            caller.request_id, results.ResultCode.OK, runner, zone
        )
        await serving.send_answer(caller.send, 200, body, [_JSON, *headers])

    def _find_route(
        self, name: str, team: str
    ) -> Result[route_directory.TeamRoute, results.Failure]:
        found = self._routes.find_route(name, team)
        return found.bind(
            lambda team_route: route_directory.require_kind(
                team_route, objects.PoolKind.MODEL
            )
        )
