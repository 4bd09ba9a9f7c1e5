"""Serve chat requests: stream them, or accept them to be answered later."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from martenquay_core import results
from martenquay_core.config import objects
from martenquay_core.util import blocks, serving
from martenquay_daemon.callers import chat, exchange, gate, replies
from martenquay_daemon.deferrable import table
from martenquay_daemon.dispatch import model, registry, request_progress

if TYPE_CHECKING:
    from martenquay_daemon.callers import teams
    from martenquay_daemon.deferrable import manager
    from martenquay_daemon.limits import admission
    from martenquay_daemon.util import metrics

__all__ = ["ChatDesk", "TICKET_PREFIX"]

TICKET_PREFIX = "/v1/tickets/"
_COME_BACK_S = 1.0
_JSON = (b"content-type", b"application/json")


class ChatDesk:
    """Serve the chat requests and tickets of one daemon."""

    def __init__(
        self,
        partner: str,
        known_teams: teams.TeamDirectory,
        routes: gate.Gate,
        entrance: admission.Admission,
        model_calls: model.ModelDispatcher,
        deferrable: manager.DeferrableManager,
        requests: registry.RequestRegistry,
        counters: metrics.DaemonMetrics,
    ) -> None:
        self._partner = partner
        self._teams = known_teams
        self._gate = routes
        self._admission = entrance
        self._models = model_calls
        self._deferrable = deferrable
        self._requests = requests
        self._metrics = counters

    async def serve(
        self, caller: exchange.Exchange, team: teams.KnownTeam
    ) -> None:
        """Answer a chat request in the way that its urgency asks for."""
        body = await caller.read_body()
        asked = body.bind(chat.read_chat)
        known = asked.bind(lambda a: self._find_route(a.model, team.name))
        if known.is_error():
            await caller.fail(known.error)
        elif known.ok.urgency is objects.Urgency.DEFERRABLE:
            await self._accept(caller, team, known.ok, body.ok)
        else:
            await caller.run_while_connected(
                self._answer, caller, team, known.ok, asked.ok
            )

    async def send_ticket(
        self, caller: exchange.Exchange, team: teams.KnownTeam, ticket: str
    ) -> None:
        """Send the answer to a ticket, or that there is none yet."""
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
                {"ticket": ticket, "retry_after_s": _COME_BACK_S},
            )
        else:
            await self._send_whole(caller, state.answer)

    async def perform(
        self, work: table.OpenRequest, body: bytes
    ) -> Result[bytes, results.Failure]:
        """Answer an accepted deferrable request from its body."""
        team = self._teams.find_by_name(work.team)
        asked = chat.read_chat(body)
        known = asked.bind(lambda a: self._find_route(a.model, work.team))
        if team is None or known.is_error():
            # It can never run, so this is its answer.
            failure = results.Failure(
                results.ResultCode.UNKNOWN_ROUTE,
                f"route {work.route} or team {work.team} is gone",
            )
            return Ok(replies.encode_failure(work.ticket, failure))
        answered = await self._generate(
            work.ticket, team, known.ok, asked.ok, chat.CollectingSink()
        )
        return answered.map(
            lambda usage: chat.render_answer(work.ticket, work.route, usage)
        )

    async def _answer(
        self,
        caller: exchange.Exchange,
        team: teams.KnownTeam,
        known: gate.KnownRoute,
        asked: chat.ChatRequest,
    ) -> None:
        headers = replies.result_headers(
            caller.request_id, results.ResultCode.OK
        )
        sink = chat.StreamingSink(
            caller.send, caller.request_id, known.name, headers
        )
        answered = await self._generate(
            caller.request_id,
            team,
            known,
            asked,
            sink if asked.stream else chat.CollectingSink(),
        )
        match answered:
            case Result(tag="ok", ok=usage):
                await self._finish(caller, known, asked, sink, usage)
            case Result(error=failure) if sink.is_open:
                caller.count(failure.code, known)
                await sink.fail(failure)
            case Result(error=failure):
                await caller.fail(failure, known)

    async def _generate(
        self,
        request_id: str,
        team: teams.KnownTeam,
        known: gate.KnownRoute,
        asked: chat.ChatRequest,
        sink: request_progress.TokenSink,
    ) -> Result[request_progress.Usage, results.Failure]:
        """Wait for room, then generate the answer into a sink."""
        prompt = asked.build_prompt()
        cost = blocks.count_tokens(prompt) + asked.max_tokens
        ask = self._gate.build_ask(team, known, cost)
        self._requests.open(
            registry.RunningRequest(
                request_id, team.name, known.name, known.urgency.value
            )
        )
        try:
            permit = await self._admission.enter(ask)
            if permit.is_error():
                return Error(permit.error)
            request = request_progress.ModelRequest(
                request_id,
                self._partner,
                known.route.pool,
                known.urgency,
                prompt,
                asked.max_tokens,
                ask.deadline,
            )
            try:
                return await self._models.answer(request, sink)
            finally:
                self._admission.leave(permit.ok)
        finally:
            self._requests.close(request_id)

    async def _finish(
        self,
        caller: exchange.Exchange,
        known: gate.KnownRoute,
        asked: chat.ChatRequest,
        sink: chat.StreamingSink,
        usage: request_progress.Usage,
    ) -> None:
        caller.count(results.ResultCode.OK, known)
        labels = {"pool": known.route.pool}
        self._metrics.generated.add(labels, len(usage.generated))
        if asked.stream:
            await sink.finish()
            return
        body = chat.render_answer(caller.request_id, known.name, usage)
        await self._send_whole(caller, body, usage.runner, usage.zone)

    async def _accept(
        self,
        caller: exchange.Exchange,
        team: teams.KnownTeam,
        known: gate.KnownRoute,
        body: bytes,
    ) -> None:
        # The caller's key names the ticket, so that a repeat of a request
        # whose answer was lost is the same request.
        ticket = f"{team.name}.{caller.key or secrets.token_hex(16)}"
        if not exchange.ID_PATTERN.match(ticket):
            code = results.ResultCode.MALFORMED_REQUEST
            message = "a key has letters, digits and _.:- only, 64 at most"
            await caller.fail(results.Failure(code, message), known)
            return
        accepted = await self._deferrable.accept(
            ticket, team.name, known.name, body
        )
        if accepted.is_error():
            await caller.fail(accepted.error, known)
            return
        code = results.ResultCode.ACCEPTED
        caller.count(code, known)
        content = {"ticket": ticket, "answer": f"{TICKET_PREFIX}{ticket}"}
        await replies.send_result(caller.send, caller.request_id, code, content)

    async def _send_whole(
        self,
        caller: exchange.Exchange,
        body: bytes,
        runner: str = "",
        zone: str = "",
    ) -> None:
        headers = replies.result_headers(
            caller.request_id, results.ResultCode.OK, runner, zone
        )
        await serving.send_answer(caller.send, 200, body, [_JSON, *headers])

    def _find_route(
        self, name: str, team: str
    ) -> Result[gate.KnownRoute, results.Failure]:
        found = self._gate.find_route(name, team)
        return found.bind(
            lambda known: gate.require_kind(known, objects.PoolKind.MODEL)
        )
