"""Give callers the answers that no runner gave."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

import msgspec

from martenquay_core import results

if TYPE_CHECKING:
    from martenquay_core.serving import calls, ports

__all__ = ["AnswerWriter", "OwnAnswer", "create_own_answer", "send_own_answer"]


class AnswerWriter(Protocol):
    """Where one request's answer goes.

    Attributes:
        has_started: Whether the caller has been sent a head.
    """

    has_started: bool

    @property
    def has_left(self) -> bool:
        """Ask now; the close may have arrived without being read."""

    async def start(
        self, status: int, headers: calls.Headers, length: int | None
    ) -> None:
        """Send the head; without a length the body ends by its framing."""

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    async def finish(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """Have the connection closed, so that the answer is incomplete."""


@dataclasses.dataclass(frozen=True)
class OwnAnswer:
    """An answer of the daemon itself.

    Attributes:
        status: The HTTP status.
        code: The numbered result.
        message: One sentence for a person.
        retry_after_s: When to come back; only for what has not run.
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
    """Return an answer with the code's HTTP status, or with another one."""
    info = results.describe_result(code)
    return OwnAnswer(status or info.http_status, code, message, retry_after_s)


async def send_own_answer(
    writer: AnswerWriter,
    codec: ports.CallCodec,
    call_id: str,
    answer: OwnAnswer,
) -> None:
    """Send the whole answer."""
    body = msgspec.json.encode(_OwnAnswerBody(int(answer.code), answer.message))
    headers = codec.encode_own_answer(call_id, answer.retry_after_s)
    headers.append((b"content-type", b"application/json"))
    await writer.start(answer.status, headers, len(body))
    await writer.write(body)
    await writer.finish()
