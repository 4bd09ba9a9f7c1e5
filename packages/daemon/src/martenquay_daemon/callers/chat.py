"""Read chat requests and write answers in the shape model clients speak."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
import pydantic
from expression import Error, Ok, Result

from martenquay_core import results

if TYPE_CHECKING:
    from martenquay_core.util import serving
    from martenquay_daemon.dispatch import request_progress

__all__ = [
    "ChatRequest",
    "CollectingSink",
    "StreamingSink",
    "read_chat",
    "render_answer",
]

_MAX_TOKENS = 32_768


class ChatMessage(pydantic.BaseModel):
    """One message of a conversation.

    Attributes:
        role: Who speaks.
        content: What is said.
    """

    role: Literal["system", "user", "assistant"]
    content: str


class ChatRequest(pydantic.BaseModel):
    """A chat completions request; fields that are not named are ignored.

    Attributes:
        model: The route's name.
        messages: The conversation.
        max_tokens: How many tokens to generate.
        stream: Send tokens as they come.
    """

    model: str
    messages: Annotated[list[ChatMessage], pydantic.Field(min_length=1)]
    max_tokens: Annotated[int, pydantic.Field(ge=1, le=_MAX_TOKENS)] = 128
    stream: bool = False

    def build_prompt(self) -> str:
        """Return the conversation as one text."""
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)


def read_chat(body: bytes) -> Result[ChatRequest, results.Failure]:
    """Return the request that a body holds, or what is wrong with it."""
    try:
        return Ok(ChatRequest.model_validate_json(body))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(word) for word in first["loc"]) or "body"
        code = results.ResultCode.MALFORMED_REQUEST
        return Error(results.Failure(code, f"{place}: {first['msg']}"))


def render_answer(
    request_id: str, route: str, usage: request_progress.Usage
) -> bytes:
    """Return a whole answer."""
    text = "".join(usage.generated)
    message = {"role": "assistant", "content": text}
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": route,
            "choices": [
                {"index": 0, "message": message, "finish_reason": "stop"}
            ],
            "usage": _describe_usage(usage),
        }
    )


class CollectingSink:
    """Take tokens and do nothing: the usage holds them already."""

    async def write_token(self, text: str) -> None:
        """Take the next token."""


class StreamingSink:
    """Send each token to the caller as a server-sent event.

    Attributes:
        is_open: The head of the answer has been sent.
    """

    def __init__(
        self,
        send: serving.Send,
        request_id: str,
        route: str,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        self.is_open = False
        self._send = send
        self._headers = headers
        # Only the token differs between events, so the rest is made once.
        head = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": route,
        }
        self._before = json.dumps(head)[:-1] + (
            ', "choices": [{"index": 0, "delta": {"content": '
        )
        self._after = '}, "finish_reason": null}]}'

    async def write_token(self, text: str) -> None:
        """Send the next token."""
        if not self.is_open:
            await self._open()
        await self._write(f"{self._before}{json.dumps(text)}{self._after}")

    async def finish(self) -> None:
        """Send the last event of a whole answer."""
        if not self.is_open:
            await self._open()
        await self._write("[DONE]")
        await self._send({"type": "http.response.body", "body": b""})

    async def fail(self, failure: results.Failure) -> None:
        """Send an explicit last event instead of the rest."""
        content = json.dumps(
            {
                "error": {
                    "code": failure.code.value,
                    "name": failure.code.name,
                    "message": failure.message,
                }
            }
        )
        await self._write(content, event="error")
        await self._send({"type": "http.response.body", "body": b""})

    async def _open(self) -> None:
        self.is_open = True
        await self._send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/event-stream"),
                    *self._headers,
                ],
            }
        )

    async def _write(self, data: str, event: str = "") -> None:
        name = f"event: {event}\n" if event else ""
        body = f"{name}data: {data}\n\n".encode()
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )


def _describe_usage(usage: request_progress.Usage) -> dict[str, int]:
    generated = len(usage.generated)
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": generated,
        "total_tokens": usage.prompt_tokens + generated,
        "recomputed_tokens": usage.recomputed,
    }
