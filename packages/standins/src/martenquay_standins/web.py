"""Give every stand-in the same small HTTP shell with switchable faults."""

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
    """What a stand-in does wrong; all can be switched while it runs.

    Attributes:
        down: Refuse every call with 503, doing nothing.
        lose_answers: Do what is asked, then answer 502, this many times;
            -1 for always.
        hang: Do what is asked, then never answer.
        delay_s: Seconds to wait before each call.
    """

    down: bool = False
    lose_answers: int = 0
    hang: bool = False
    delay_s: float = 0.0


@dataclasses.dataclass
class Request:
    """One request to a stand-in.

    Attributes:
        method: The HTTP method.
        path: The path without the query.
        query: The query's fields.
        body: The whole body.
        scope: The ASGI scope.
        send: Sends the answer.
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
    """Answer `/faults` and pass the rest to `handle`.

    Attributes:
        faults: What goes wrong now.
    """

    def __init__(self) -> None:
        self.faults: Any = Faults()

    async def handle(self, request: Request) -> None:
        """Answer one request; each stand-in says how."""
        raise NotImplementedError

    async def __call__(
        self,
        scope: serving.Scope,
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Serve as an ASGI app."""
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
        """Change some faults and leave the others."""
        self.faults = dataclasses.replace(self.faults, **changes)

    async def refuse_when_down(self, request: Request) -> bool:
        """Answer 503 when down; tell whether that was done."""
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            await reply_json(request.send, {"error": "down"}, 503)
        return self.faults.down

    async def drop_answer(self, request: Request) -> bool:
        """Lose the answer to what was done; tell whether it was lost."""
        if self.faults.hang:
            await trio.sleep_forever()
        if self.faults.lose_answers == 0:
            return False
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
        await reply_json(request.send, {"error": "lost"}, 502)
        return True


async def reply_json(
    send: serving.Send, content: Any, status: int = 200
) -> None:
    """Answer with JSON."""
    await serving.send_answer(
        send,
        status,
        msgspec.json.encode(content),
        [(b"content-type", b"application/json")],
    )


def _parse_query(scope: serving.Scope) -> dict[str, str]:
    raw = scope["query_string"].decode()
    pairs = (part.split("=", 1) for part in raw.split("&") if "=" in part)
    return {key: value for key, value in pairs}
