"""ASGI app for operators: `/v1/query` and `/v1/command`."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Annotated

import msgspec
import pydantic
from expression import Error, Ok, Result

from martenquay_core import logs, results
from martenquay_core.language import parser, statements
from martenquay_core.util import credentials, serving
from martenquay_daemon.callers import replies
from martenquay_daemon.operators import commands

if TYPE_CHECKING:
    from martenquay_core.settings import models
    from martenquay_daemon.operators import queries

__all__ = ["OperatorApp"]

_LOG = logs.create_log("operators")
_MAX_BODY_BYTES = 100_000
_BODY_TIMEOUT_S = 5.0
_BEARER = "Bearer "


class _StatementRequest(pydantic.BaseModel):
    """JSON body of a request: a statement and its options."""

    model_config = pydantic.ConfigDict(extra="forbid")

    text: str
    change_id: Annotated[
        str, pydantic.Field(pattern=r"^[A-Za-z0-9_.:-]{0,64}$")
    ] = ""
    wait: bool = False


class OperatorApp:
    """Authenticates operators, parses statements and passes them on."""

    def __init__(
        self,
        settings: models.DaemonSettings,
        query_handler: queries.QueryHandler,
        command_handler: commands.CommandHandler,
    ) -> None:
        self._settings = settings
        self._queries = query_handler
        self._commands = command_handler

    async def __call__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Answer one ASGI request."""
        if scope["type"] == "lifespan":
            await serving.answer_lifespan(receive, send)
            return
        operator = self._find_operator(scope)
        if operator is None:
            code = results.ResultCode.BAD_CREDENTIAL
            message = "no operator has this credential"
            await replies.send_failure(send, "", results.Failure(code, message))
            return
        body = await serving.read_body(
            receive, limit=_MAX_BODY_BYTES, timeout_s=_BODY_TIMEOUT_S
        )
        answered = await self._answer(scope["path"], operator, body)
        if answered.is_error():
            await replies.send_failure(send, "", answered.error)
            return
        await serving.send_answer(
            send, 200, answered.ok, [(b"content-type", b"application/json")]
        )

    def _find_operator(self, scope: serving.Scope) -> str | None:
        given = serving.find_header(scope, b"authorization") or ""
        credential = given.removeprefix(_BEARER)
        for operator in self._settings.operators:
            if credentials.match_credential(credential, operator.credential):
                return operator.name
        return None

    async def _answer(
        self, path: str, operator: str, body: bytes
    ) -> Result[bytes, results.Failure]:
        try:
            request = _StatementRequest.model_validate_json(body)
        except pydantic.ValidationError as error:
            code = results.ResultCode.MALFORMED_REQUEST
            return Error(results.Failure(code, error.errors()[0]["msg"]))
        parsed = parser.parse_statement(request.text)
        if parsed.is_error():
            code = results.ResultCode.SYNTAX_ERROR
            message = parsed.error.point_at(request.text)
            return Error(results.Failure(code, message))
        match path, parsed.ok:
            case "/v1/query", statements.Show() | statements.Why():
                return await self._answer_query(parsed.ok)
            case "/v1/command", (
                statements.Create() | statements.Set() | statements.Drop()
            ):
                return await self._answer_command(operator, request, parsed.ok)
            case "/v1/query" | "/v1/command", _:
                code = results.ResultCode.MALFORMED_REQUEST
                message = f"{path} does not take this statement"
                return Error(results.Failure(code, message))
            case _:
                code = results.ResultCode.NOT_FOUND
                return Error(results.Failure(code, f"no {path}"))

    async def _answer_query(
        self, query: statements.Query
    ) -> Result[bytes, results.Failure]:
        answered = await self._queries.answer(query)
        return answered.map(msgspec.json.encode)

    async def _answer_command(
        self,
        operator: str,
        request: _StatementRequest,
        command: statements.Command,
    ) -> Result[bytes, results.Failure]:
        change_id = request.change_id or f"change-{secrets.token_hex(8)}"
        _LOG.write(f"Operator {operator}: {request.text}", change=change_id)
        answered = await self._commands.execute(
            commands.CommandRequest(operator, change_id, command, request.wait)
        )
        if answered.is_error():
            return Error(answered.error)
        if answered.ok.missing:
            zones = ", ".join(answered.ok.missing)
            code = results.ResultCode.ZONE_NOT_REPORTED
            message = (
                f"accepted at {answered.ok.version}; not reported: {zones}"
            )
            return Error(results.Failure(code, message, 5.0))
        return Ok(msgspec.json.encode(answered.ok))
