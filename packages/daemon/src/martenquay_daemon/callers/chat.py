"""Chat completions API: parse requests, encode answers and streams."""

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
    "DiscardingSink",
    "StreamingSink",
    "encode_completion",
    "parse_chat_request",
]

_MAX_TOKENS = 32_768


class ChatMessage(pydantic.BaseModel):
    """One message of a conversation.

    Attributes:
        role: Author of the message.
        content: Text of the message.
    """

    role: Literal["system", "user", "assistant"]
    content: str


class ChatRequest(pydantic.BaseModel):
    """A chat completions request; unknown fields are ignored.

    Attributes:
        model: Name of the route.
        messages: The conversation.
        max_tokens: Maximum number of tokens to generate.
        stream: Whether to send the tokens as server-sent events.
    """

    model: str
    messages: Annotated[list[ChatMessage], pydantic.Field(min_length=1)]
    max_tokens: Annotated[int, pydantic.Field(ge=1, le=_MAX_TOKENS)] = 128
    stream: bool = False

    def build_prompt(self) -> str:
        """Return the conversation as one text."""
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)


def parse_chat_request(body: bytes) -> Result[ChatRequest, results.Failure]:
    """Parse a request body; a failure names the first invalid field."""
    try:
        return Ok(ChatRequest.model_validate_json(body))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field_path = ".".join(str(part) for part in first["loc"]) or "body"
        code = results.ResultCode.MALFORMED_REQUEST
        return Error(results.Failure(code, f"{field_path}: {first['msg']}"))


def encode_completion(
    request_id: str, route: str, usage: request_progress.Usage
) -> bytes:
    """Encode an answer that is not streamed as JSON."""
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


class DiscardingSink:
    """Discards tokens; the usage already collects them."""

    async def write_token(self, text: str) -> None:
        """Discard a token."""


class StreamingSink:
    """Sends each token to the caller as a server-sent event.

    Attributes:
        is_open: The response head has been sent.
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
        # Events differ only in their token, so the JSON around it is encoded
        # once for each answer.
        head = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": route,
        }
        self._chunk_prefix = json.dumps(head)[:-1] + (
            ', "choices": [{"index": 0, "delta": {"content": '
        )
        self._chunk_suffix = '}, "finish_reason": null}]}'

    async def write_token(self, text: str) -> None:
        """Send the next token."""
        if not self.is_open:
            await self._open()
        await self._write(
            f"{self._chunk_prefix}{json.dumps(text)}{self._chunk_suffix}"
        )

    async def finish(self) -> None:
        """Send the event that completes the stream."""
        if not self.is_open:
            await self._open()
        await self._write("[DONE]")
        await self._send({"type": "http.response.body", "body": b""})

    async def fail(self, failure: results.Failure) -> None:
        """Send an error event in place of the remaining tokens."""
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
    token_count = len(usage.generated)
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": token_count,
        "total_tokens": usage.prompt_tokens + token_count,
        "recomputed_tokens": usage.recomputed,
    }
