"""Test case: one daemon that forwards requests to scripted runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
import trio

from martenquay_core.serving import catalog
from martenquay_standins.ports.runner import Script
from tests import serving_builders as builders
from tests import serving_scene

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = [
    "BROKEN",
    "CALL",
    "FAILED",
    "FULL",
    "GOOD",
    "NOT_RUN",
    "SEAL",
    "SILENT",
    "ForwarderTestCase",
    "build_answer",
]

_HANG_S = 30.0
CALL = (
    b"%s HTTP/1.1\r\nhost: desk.example\r\nattempt-id: call-1\r\n"
    b"deadline-ms: %d\r\n\r\n"
)


def build_answer(
    status: int, body: bytes = b"", *headers: bytes, call: bytes = b"call-1"
) -> bytes:
    lines = [
        b"HTTP/1.1 %d X" % status,
        b"attempt-id: " + call,
        b"content-length: %d" % len(body),
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


SEAL = b"server-seal: s1"
NOT_RUN = b"not-executed: 1"
GOOD = Script((build_answer(200, b"fine", SEAL),))
FULL = Script((build_answer(503, b"", NOT_RUN),))
BROKEN = Script((b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab",))
FAILED = Script((build_answer(500, b"oops", SEAL),))
SILENT = Script(is_held=True)


class ForwarderTestCase(testtools.TestCase):
    kind = catalog.CallKind.IDEMPOTENT
    attempts = 2

    def build_content(self, **changes) -> catalog.Catalog:
        route = builders.build_route(
            kind=self.kind, max_attempts=self.attempts, **changes
        )
        return builders.build_catalog(routes=(route,))

    def run_scene(
        self,
        scenario: Callable[[serving_scene.Scene], Awaitable[None]],
        *scripts: list[Script],
        content: catalog.Catalog | None = None,
        is_gated: bool = True,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(_HANG_S):
                async with serving_scene.open_scene(
                    content or self.build_content(),
                    *scripts,
                    is_gated=is_gated,
                ) as scene:
                    await scenario(scene)

        trio.run(run)

    def ask_once(
        self,
        *scripts: list[Script],
        budget_ms: int = 5000,
        content: catalog.Catalog | None = None,
    ) -> tuple[serving_scene.Reply, list[list[bytes]]]:
        """Send one request; return the reply and each runner's requests."""
        found = []

        async def scenario(scene: serving_scene.Scene) -> None:
            raw = CALL % (b"GET /lookup/7", budget_ms)
            found.append(await scene.ask(raw))
            found.append([runner.requests for runner in scene.runners])

        self.run_scene(scenario, *scripts, content=content)
        return found[0], found[1]
