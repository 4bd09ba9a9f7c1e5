"""Send statements to a daemon's operator API and decode its replies."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import msgspec
from expression import Error, Ok, Result

from martenquay_core import results
from martenquay_core.language import parser, statements

if TYPE_CHECKING:
    from martenquay_core.util import http

__all__ = ["Connection", "Reply", "StatementOptions"]

_TIMEOUT_S = 30.0
_STATUS_OK = 200


@dataclasses.dataclass(frozen=True)
class StatementOptions:
    """Options sent along with a command.

    Attributes:
        change_id: Idempotency key of the change; empty for none.
        wait: The daemon replies once the change is in force in every zone.
    """

    change_id: str = ""
    wait: bool = False


@dataclasses.dataclass(frozen=True)
class Reply:
    """Successful reply of a daemon.

    Attributes:
        content: The decoded JSON object.
        is_query: The statement was a query; `content` has rows.
    """

    content: dict[str, Any]
    is_query: bool


class Connection:
    """Operator API of one daemon, used with one credential."""

    def __init__(
        self, client: http.HttpClient, address: str, credential: str
    ) -> None:
        self._client = client
        self._address = address
        self._headers = [
            (b"authorization", f"Bearer {credential}".encode()),
            (b"content-type", b"application/json"),
        ]

    async def send(
        self, text: str, options: StatementOptions
    ) -> Result[Reply, results.Failure]:
        """Parse a statement locally, then send it to the daemon.

        Returns:
            The reply, or a failure with SYNTAX_ERROR if nothing was sent,
            CHANGE_UNKNOWN if a change may have been made, or the code that
            the daemon answered.
        """
        parsed = parser.parse_statement(text)
        if parsed.is_error():
            code = results.ResultCode.SYNTAX_ERROR
            message = parsed.error.point_at(text)
            return Error(results.Failure(code, message))
        is_query = isinstance(parsed.ok, statements.Show | statements.Why)
        payload: dict[str, Any] = {"text": text}
        if not is_query:
            payload["change_id"] = options.change_id
            payload["wait"] = options.wait
        path = "query" if is_query else "command"
        answer = await self._client.call(
            "POST",
            f"http://{self._address}/v1/{path}",
            headers=self._headers,
            body=msgspec.json.encode(payload),
            timeout_s=_TIMEOUT_S,
        )
        return _decode_answer(answer, is_query, options)


def _decode_answer(
    answer: Result[http.Answer, http.CallFailure],
    is_query: bool,
    options: StatementOptions,
) -> Result[Reply, results.Failure]:
    if answer.is_error():
        if answer.error.sent and not is_query:
            code = results.ResultCode.CHANGE_UNKNOWN
            flag_hint = f" with --change_id={options.change_id}"
            message = f"the answer was lost; send the command again{flag_hint}"
        else:
            code = results.ResultCode.DAEMON_UNREACHABLE
            message = answer.error.message
        return Error(results.Failure(code, message))
    try:
        content = msgspec.json.decode(answer.ok.body, type=dict[str, Any])
    except msgspec.MsgspecError:
        code = results.ResultCode.DAEMON_UNREACHABLE
        message = f"status {answer.ok.status}, not an answer of a daemon"
        return Error(results.Failure(code, message))
    if answer.ok.status != _STATUS_OK:
        code = results.ResultCode(content["code"])
        return Error(results.Failure(code, content["message"]))
    return Ok(Reply(content, is_query))
