"""Answers that the daemon itself gives, and the writer for all answers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

import msgspec

from martenquay_core import results

if TYPE_CHECKING:
    from martenquay_core.serving import calls, ports

__all__ = ["AnswerWriter", "OwnAnswer", "create_own_answer", "send_own_answer"]


class AnswerWriter(Protocol):
    """Writes one answer to its caller.

    Attributes:
        has_started: Whether status and headers were sent.
    """

    has_started: bool

    @property
    def has_disconnected(self) -> bool:
        """Whether the caller has closed the connection by now.

        Asks the kernel: the close may have arrived without being read.
        """

    async def start(
        self, status: int, headers: calls.Headers, length: int | None
    ) -> None:
        """Send status and headers; `length` is None if not known yet."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Mark the answer as complete."""

    def abort(self) -> None:
        """Close the connection, so that the caller sees a truncated answer."""


@dataclasses.dataclass(frozen=True)
class OwnAnswer:
    """An answer that the daemon gives itself, without a runner.

    Attributes:
        status: The HTTP status.
        code: The result code in the body.
        message: The error message in the body.
        retry_after_s: Seconds until the caller may retry; None if it should
            not, for example because the request may have run.
    """

    status: int
    code: results.ResultCode
    message: str
    retry_after_s: float | None = None


class _OwnAnswerBody(msgspec.Struct, frozen=True):
    code: int
    message: str


def create_own_answer(
    code: results.ResultCode,
    message: str,
    *,
    status: int | None = None,
    retry_after_s: float | None = None,
) -> OwnAnswer:
    """Return an answer with a result code.

    Args:
        code: The result code.
        message: The error message.
        status: The HTTP status; the code's own by default.
        retry_after_s: Seconds until the caller may retry; None if it should
            not.
    """
    info = results.describe_result(code)
    return OwnAnswer(status or info.http_status, code, message, retry_after_s)


async def send_own_answer(
    writer: AnswerWriter,
    codec: ports.CallCodec,
    call_id: str,
    answer: OwnAnswer,
) -> None:
    """Write an answer of the daemon itself as JSON, to its end."""
    body = msgspec.json.encode(_OwnAnswerBody(int(answer.code), answer.message))
    headers = codec.encode_own_answer(call_id, answer.retry_after_s)
    headers.append((b"content-type", b"application/json"))
    await writer.start(answer.status, headers, len(body))
    await writer.write(body)
    await writer.finish()
