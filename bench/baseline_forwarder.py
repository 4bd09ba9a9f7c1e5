"""Forward requests with hypercorn and httpcore alone.

The gateway benchmark compares a daemon's overhead with this baseline.
"""

from __future__ import annotations

import json

import trio
from absl import app, flags

from martenquay_core.util import http, server, serving

_WHOLE = flags.DEFINE_bool("whole", False, "Forward whole bodies at once.")
_TARGET = flags.DEFINE_string("target", None, "Host and port.", required=True)
_BODY_LIMIT = 10_000_000


def main(argv: list[str]) -> int:
    """Serve until killed."""
    del argv
    trio.run(_serve)
    return 0


async def _serve() -> None:
    async with http.open_client() as client, trio.open_nursery() as nursery:

        async def forward(
            scope: serving.Scope, receive: serving.Receive, send: serving.Send
        ) -> None:
            if scope["type"] == "lifespan":
                await serving.answer_lifespan(receive, send)
                return
            body = await serving.read_body(
                receive, limit=_BODY_LIMIT, timeout_s=10.0
            )
            if _WHOLE.value:
                url = f"http://{_TARGET.value}{scope['path']}"
                whole = await client.call(scope["method"], url, body=body)
                await serving.send_answer(send, whole.ok.status, whole.ok.body)
                return
            async with client.stream(
                scope["method"],
                f"http://{_TARGET.value}{scope['path']}",
                body=body,
            ) as answer:
                await send(
                    {
                        "type": "http.response.start",
                        "status": answer.status,
                        "headers": [],
                    }
                )
                async for line in answer.iterate_lines():
                    await send(
                        {
                            "type": "http.response.body",
                            "body": line + b"\n",
                            "more_body": True,
                        }
                    )
            await send({"type": "http.response.body", "body": b""})

        address = await nursery.start(
            lambda task_status: server.serve_app(
                forward,
                server.ServerOptions("127.0.0.1:0"),
                task_status=task_status,
            )
        )
        print(json.dumps({"address": address}), flush=True)


if __name__ == "__main__":
    app.run(main)
