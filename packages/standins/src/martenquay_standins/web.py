"""Base class of the stand-ins: fake HTTP servers with fault injection."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec
import trio

from martenquay_core.util import serving

__all__ = ["Faults", "Request", "StandIn", "reply_json"]

_BODY_LIMIT = 64_000_000


@dataclasses.dataclass
class Faults:
    """Faults that a fake server injects; tests change them at runtime.

    Attributes:
        down: Answer every request with 503 without executing it.
        lose_answers: Number of requests to execute and answer with 502;
            -1 for all.
        hang: Execute each request and never answer.
        delay_s: Delay before each request is handled.
    """

    down: bool = False
    lose_answers: int = 0
    hang: bool = False
    delay_s: float = 0.0


@dataclasses.dataclass
class Request:
    """One request to a fake server.

    Attributes:
        method: The HTTP method.
        path: The path without the query string.
        query: The query parameters.
        body: The whole body.
        scope: The ASGI scope.
        send: The ASGI send callable.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    scope: serving.Scope
    send: serving.Send

    def read_json(self) -> Any:
        """Return the body as JSON; an empty one is an empty object."""
        return msgspec.json.decode(self.body or b"{}")


class StandIn:
    """ASGI app that serves `/faults` and passes other paths to `handle`.

    Attributes:
        faults: The faults injected now.
    """

    def __init__(self) -> None:
        self.faults: Any = Faults()

    async def handle(self, request: Request) -> None:
        """Answer one request; subclasses implement this."""
        raise NotImplementedError

    async def __call__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Serve one ASGI scope: the lifespan or a request."""
        if scope["type"] == "lifespan":
            await serving.answer_lifespan(receive, send)
            return
        body = await serving.read_body(
            receive, limit=_BODY_LIMIT, timeout_s=60.0
        )
        request = Request(
            scope["method"],
            scope["path"],
            _parse_query(scope),
            body,
            scope,
            send,
        )
        if request.path == "/faults":
            self.set_faults(request.read_json())
            await reply_json(send, dataclasses.asdict(self.faults))
            return
        await self.handle(request)

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Replace the given faults; the others stay."""
        self.faults = dataclasses.replace(self.faults, **changes)

    async def refuse_when_down(self, request: Request) -> bool:
        """Wait for `delay_s`, then answer 503 if `down` is set.

        Returns:
            Whether the request has been answered.
        """
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            await reply_json(request.send, {"error": "down"}, 503)
        return self.faults.down

    async def drop_answer(self, request: Request) -> bool:
        """Withhold the answer to an executed request if a fault says so.

        Returns:
            Whether 502 was sent in its place; with `hang` it never returns.
        """
        if self.faults.hang:
            await trio.sleep_forever()
        if self.faults.lose_answers == 0:
            return False
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
        await reply_json(request.send, {"error": "lost"}, 502)
        return True


async def reply_json(
    send: serving.Send,
    content: Any,
    status: int = 200,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a JSON response."""
    await serving.send_answer(
        send,
        status,
        msgspec.json.encode(content),
        [(b"content-type", b"application/json"), *(headers or [])],
    )


def _parse_query(scope: serving.Scope) -> dict[str, str]:
    raw = scope["query_string"].decode()
    pairs = (part.split("=", 1) for part in raw.split("&") if "=" in part)
    return {key: value for key, value in pairs}
