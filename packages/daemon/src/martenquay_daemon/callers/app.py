"""Serve callers' HTTP: one task for each request, written straight down."""

from __future__ import annotations

import re
import secrets
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.config import objects
from martenquay_core.util import blocks, serving
from martenquay_daemon.callers import chat, replies
from martenquay_daemon.deferrable import table
from martenquay_daemon.dispatch import book, model, service

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from martenquay_core.settings import models
    from martenquay_daemon.callers import gate, teams
    from martenquay_daemon.deferrable import desk
    from martenquay_daemon.limits import admission
    from martenquay_daemon.util import metrics

__all__ = ["CallerApp", "Readiness"]

_LOG = logs.create_log("callers")
_CHAT_PATH = "/v1/chat/completions"
_TICKET_PREFIX = "/v1/tickets/"
_SERVICE_PREFIX = "/services/"
_ID_PATTERN = re.compile(r"^[A-Za-z0-9_.:-]{1,128}$")
_PASSED_HEADERS = {b"content-type", b"accept", b"idempotency-key"}
_COME_BACK_S = 1.0
_SERVICE_COST = 1.0


class Readiness:
    """Whether the balancer should send callers here.

    Attributes:
        is_started: The configuration has been read.
        is_stopping: The daemon was told to stop.
        in_progress: Requests being answered now.
    """

    def __init__(self) -> None:
        self.is_started = False
        self.is_stopping = False
        self.in_progress = 0

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers are welcome."""
        return self.is_started and not self.is_stopping


class _Caller:
    """What is known of one request before its kind is."""

    def __init__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.key = serving.find_header(scope, b"idempotency-key")
        given = serving.find_header(scope, b"x-request-id") or ""
        is_usable = _ID_PATTERN.match(given) is not None
        self.request_id = given if is_usable else f"req-{secrets.token_hex(8)}"


class CallerApp:
    """The ASGI app for callers."""

    def __init__(
        self,
        settings: models.DaemonSettings,
        readiness: Readiness,
        known_teams: teams.TeamDirectory,
        routes: gate.Gate,
        entrance: admission.Admission,
        model_calls: model.ModelDispatcher,
        service_calls: service.ServiceDispatcher,
        deferrable: desk.DeferrableDesk,
        requests: book.RequestBook,
        counters: metrics.DaemonMetrics,
        background: trio.Nursery,
    ) -> None:
        self._settings = settings
        self._readiness = readiness
        self._teams = known_teams
        self._gate = routes
        self._admission = entrance
        self._models = model_calls
        self._services = service_calls
        self._deferrable = deferrable
        self._requests = requests
        self._metrics = counters
        self._background = background

    async def __call__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Serve as an ASGI app."""
        match scope["type"], scope.get("path"):
            case "lifespan", _:
                await serving.answer_lifespan(receive, send)
            case "http", "/healthz":
                await serving.send_answer(send, 200, b"alive\n")
            case "http", "/readyz":
                await self._tell_readiness(send)
            case "http", "/metrics":
                await self._send_metrics(send)
            case "http", _:
                await self._serve(_Caller(scope, receive, send))

    async def _tell_readiness(self, send: serving.Send) -> None:
        ready = self._readiness.is_ready
        body = b"ready\n" if ready else b"not ready\n"
        await serving.send_answer(send, 200 if ready else 503, body)

    async def _send_metrics(self, send: serving.Send) -> None:
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await serving.send_answer(send, 200, self._metrics.render(), headers)

    async def _serve(self, caller: _Caller) -> None:
        self._readiness.in_progress += 1
        try:
            await self._answer(caller)
        except serving.CallerGoneError:
            _LOG.write(f"The caller of {caller.request_id} left.")
        finally:
            self._readiness.in_progress -= 1

    async def _answer(self, caller: _Caller) -> None:
        authorization = serving.find_header(caller.scope, b"authorization")
        team = self._teams.find(authorization)
        path = caller.scope["path"]
        if not self._readiness.is_started:
            await self._fail(caller, _explain_starting())
        elif team is None:
            code = results.ResultCode.BAD_CREDENTIAL
            message = "no team has this credential"
            await self._fail(caller, results.Failure(code, message))
        elif path.startswith(_TICKET_PREFIX):
            ticket = path.removeprefix(_TICKET_PREFIX)
            await self._send_ticket(caller, team, ticket)
        elif path == _CHAT_PATH:
            await self._serve_chat(caller, team)
        elif path.startswith(_SERVICE_PREFIX):
            await self._serve_service(caller, team)
        else:
            code = results.ResultCode.UNKNOWN_ROUTE
            await self._fail(caller, results.Failure(code, f"no {path}"))

    async def _read_body(
        self, caller: _Caller
    ) -> Result[bytes, results.Failure]:
        limits = self._settings.limits
        try:
            body = await serving.read_body(
                caller.receive,
                limit=limits.body_bytes,
                timeout_s=limits.body_timeout_s,
            )
        except serving.BodyTooLargeError as error:
            code = results.ResultCode.BODY_TOO_LARGE
            message = f"the body is over {error.limit} bytes"
            return Error(results.Failure(code, message))
        except trio.TooSlowError:
            code = results.ResultCode.SLOW_CALLER
            message = f"no whole body in {limits.body_timeout_s:g} s"
            return Error(results.Failure(code, message))
        return Ok(body)

    async def _serve_chat(self, caller: _Caller, team: teams.KnownTeam) -> None:
        body = await self._read_body(caller)
        asked = body.bind(chat.read_chat)
        known = asked.bind(lambda a: self._gate.find_route(a.model, team.name))
        known = known.bind(lambda k: _require(k, objects.PoolKind.MODEL))
        if known.is_error():
            await self._fail(caller, known.error)
        elif known.ok.urgency is objects.Urgency.DEFERRABLE:
            await self._accept(caller, team, known.ok, body.ok)
        else:
            await self._run_chat(caller, team, known.ok, asked.ok)

    async def _run_chat(
        self,
        caller: _Caller,
        team: teams.KnownTeam,
        known: gate.KnownRoute,
        asked: chat.ChatRequest,
    ) -> None:
        prompt = asked.build_prompt()
        cost = blocks.count_tokens(prompt) + asked.max_tokens
        ask = self._gate.build_ask(team, known, cost)
        self._requests.open(
            book.RunningRequest(
                caller.request_id, team.name, known.name, known.urgency.value
            )
        )
        request = model.ModelRequest(
            caller.request_id,
            self._settings.partner,
            known.route.pool,
            known.urgency,
            prompt,
            asked.max_tokens,
            ask.deadline,
        )
        try:
            await self._while_connected(
                caller, self._stream_chat, caller, known, asked, ask, request
            )
        finally:
            self._requests.close(caller.request_id)

    async def _stream_chat(
        self,
        caller: _Caller,
        known: gate.KnownRoute,
        asked: chat.ChatRequest,
        ask: admission.Ask,
        request: model.ModelRequest,
    ) -> None:
        permit = await self._admission.enter(ask)
        if permit.is_error():
            await self._fail(caller, permit.error, known)
            return
        headers = replies.result_headers(
            caller.request_id, results.ResultCode.OK
        )
        sink = chat.StreamingSink(
            caller.send, caller.request_id, known.name, headers
        )
        try:
            answered = await self._models.answer(
                request, sink if asked.stream else chat.CollectingSink()
            )
        finally:
            self._admission.leave(permit.ok)
        match answered:
            case Result(tag="ok", ok=usage):
                await self._finish_chat(caller, known, asked, sink, usage)
            case Result(error=failure) if sink.is_open:
                self._count(known, failure.code)
                await sink.fail(failure)
            case Result(error=failure):
                await self._fail(caller, failure, known)

    async def _finish_chat(
        self,
        caller: _Caller,
        known: gate.KnownRoute,
        asked: chat.ChatRequest,
        sink: chat.StreamingSink,
        usage: model.Usage,
    ) -> None:
        self._count(known, results.ResultCode.OK)
        labels = {"pool": known.route.pool}
        self._metrics.generated.add(labels, len(usage.generated))
        if asked.stream:
            await sink.finish()
            return
        body = chat.render_answer(caller.request_id, known.name, usage)
        headers = replies.result_headers(
            caller.request_id, results.ResultCode.OK, usage.runner, usage.zone
        )
        headers.append((b"content-type", b"application/json"))
        await serving.send_answer(caller.send, 200, body, headers)

    async def _accept(
        self,
        caller: _Caller,
        team: teams.KnownTeam,
        known: gate.KnownRoute,
        body: bytes,
    ) -> None:
        # The caller's key names the ticket, so that a repeat of a request
        # whose answer was lost is the same request.
        name = caller.key or secrets.token_hex(16)
        ticket = f"{team.name}.{name}"
        if not _ID_PATTERN.match(ticket):
            code = results.ResultCode.MALFORMED_REQUEST
            message = "a key has letters, digits and _.:- only, 64 at most"
            await self._fail(caller, results.Failure(code, message), known)
            return
        accepted = await self._deferrable.accept(
            ticket, team.name, known.name, body
        )
        if accepted.is_error():
            await self._fail(caller, accepted.error, known)
            return
        code = results.ResultCode.ACCEPTED
        self._count(known, code)
        content = {"ticket": ticket, "answer": f"{_TICKET_PREFIX}{ticket}"}
        await replies.send_result(caller.send, caller.request_id, code, content)

    async def _send_ticket(
        self, caller: _Caller, team: teams.KnownTeam, ticket: str
    ) -> None:
        is_own = table.find_team(ticket) == team.name
        state = await self._deferrable.fetch(ticket) if is_own else None
        if state is None or not state.known:
            code = results.ResultCode.UNKNOWN_TICKET
            message = f"no ticket {ticket!r}"
            await self._fail(caller, results.Failure(code, message))
        elif state.answer is None:
            await replies.send_result(
                caller.send,
                caller.request_id,
                results.ResultCode.PENDING,
                {"ticket": ticket, "retry_after_s": _COME_BACK_S},
            )
        else:
            headers = replies.result_headers(
                caller.request_id, results.ResultCode.OK
            )
            headers.append((b"content-type", b"application/json"))
            await serving.send_answer(caller.send, 200, state.answer, headers)

    async def perform(
        self, work: table.Work, body: bytes
    ) -> Result[bytes, results.Failure]:
        """Answer an accepted deferrable request from its body."""
        team = self._teams.find_by_name(work.team)
        asked = chat.read_chat(body)
        known = asked.bind(lambda a: self._gate.find_route(a.model, work.team))
        if team is None or known.is_error():
            # It can never run, so this is its answer.
            failure = results.Failure(
                results.ResultCode.UNKNOWN_ROUTE,
                f"route {work.route} or team {work.team} is gone",
            )
            return Ok(replies.encode_failure(work.ticket, failure))
        prompt = asked.ok.build_prompt()
        cost = blocks.count_tokens(prompt) + asked.ok.max_tokens
        ask = self._gate.build_ask(team, known.ok, cost)
        permit = await self._admission.enter(ask)
        if permit.is_error():
            return Error(permit.error)
        request = model.ModelRequest(
            work.ticket,
            self._settings.partner,
            known.ok.route.pool,
            known.ok.urgency,
            prompt,
            asked.ok.max_tokens,
            ask.deadline,
        )
        self._requests.open(
            book.RunningRequest(
                work.ticket, work.team, work.route, known.ok.urgency.value
            )
        )
        try:
            answered = await self._models.answer(request, chat.CollectingSink())
        finally:
            self._admission.leave(permit.ok)
            self._requests.close(work.ticket)
        return answered.map(
            lambda usage: chat.render_answer(work.ticket, work.route, usage)
        )

    async def _serve_service(
        self, caller: _Caller, team: teams.KnownTeam
    ) -> None:
        below = caller.scope["path"].removeprefix(_SERVICE_PREFIX)
        name, _, rest = below.partition("/")
        known = self._gate.find_route(name, team.name)
        known = known.bind(lambda k: _require(k, objects.PoolKind.SERVICE))
        if known.is_error():
            await self._fail(caller, known.error)
            return
        body = await self._read_body(caller)
        if body.is_error():
            await self._fail(caller, body.error, known.ok)
            return
        ask = self._gate.build_ask(team, known.ok, _SERVICE_COST)
        call = self._build_call(
            caller, team, known.ok, f"/{rest}", body.ok, ask
        )
        permit = await self._admission.enter(ask)
        if permit.is_error():
            await self._fail(caller, permit.error, known.ok)
            return
        answered = await self._call_service(call, permit.ok, known.ok)
        await self._send_service(caller, known.ok, answered)

    def _build_call(
        self,
        caller: _Caller,
        team: teams.KnownTeam,
        known: gate.KnownRoute,
        path: str,
        body: bytes,
        ask: admission.Ask,
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
            partner=self._settings.partner,
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
            deadline=ask.deadline,
        )

    async def _call_service(
        self,
        call: service.ServiceCall,
        permit: admission.Permit,
        known: gate.KnownRoute,
    ) -> Result[service.ServiceAnswer, results.Failure]:
        """Make the call in a task that outlives a caller that leaves.

        The call may have run when the caller is gone; its outcome has to be
        kept for the caller's next try.
        """
        answers, results_in = trio.open_memory_channel(1)

        async def run() -> None:
            try:
                answers.send_nowait(await self._services.call(call))
            finally:
                self._admission.leave(permit)
                self._requests.close(call.request_id)

        self._requests.open(
            book.RunningRequest(
                call.request_id, call.team, call.route, known.urgency.value
            )
        )
        self._background.start_soon(run)
        return await results_in.receive()

    async def _send_service(
        self,
        caller: _Caller,
        known: gate.KnownRoute,
        answered: Result[service.ServiceAnswer, results.Failure],
    ) -> None:
        if answered.is_error():
            await self._fail(caller, answered.error, known)
            return
        answer = answered.ok
        self._count(known, results.ResultCode.OK)
        headers = replies.result_headers(
            caller.request_id, results.ResultCode.OK, answer.runner, answer.zone
        )
        headers.append((b"content-type", answer.content_type.encode()))
        await serving.send_answer(
            caller.send, answer.status, answer.body, headers
        )

    async def _while_connected(
        self,
        caller: _Caller,
        work: Callable[..., Awaitable[None]],
        *args: object,
    ) -> None:
        """Run work and give it up when the caller leaves."""
        gone = False

        async def watch() -> None:
            nonlocal gone
            while (await caller.receive())["type"] != "http.disconnect":
                pass
            gone = True
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await work(*args)
            nursery.cancel_scope.cancel()
        if gone:
            raise serving.CallerGoneError

    async def _fail(
        self,
        caller: _Caller,
        failure: results.Failure,
        known: gate.KnownRoute | None = None,
    ) -> None:
        self._count(known, failure.code)
        _LOG.write(
            f"Refused {caller.request_id}: {failure.message}.",
            request=caller.request_id,
            code=failure.code.value,
        )
        await replies.send_failure(caller.send, caller.request_id, failure)

    def _count(
        self, known: gate.KnownRoute | None, code: results.ResultCode
    ) -> None:
        self._metrics.requests.inc(
            {
                "route": known.name if known else "",
                "urgency": known.urgency.value if known else "",
                "code": str(code.value),
            }
        )


def _require(
    known: gate.KnownRoute, kind: objects.PoolKind
) -> Result[gate.KnownRoute, results.Failure]:
    if known.pool.kind is kind:
        return Ok(known)
    code = results.ResultCode.UNKNOWN_ROUTE
    message = f"route {known.name!r} leads to a {known.pool.kind.value}"
    return Error(results.Failure(code, message))


def _explain_starting() -> results.Failure:
    code = results.ResultCode.NOT_RUN_STARTING
    return results.Failure(code, "the configuration is not read yet", 1.0)
