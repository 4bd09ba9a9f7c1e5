"""Fake backend server of a plain service, such as counter or dispatch."""

from __future__ import annotations

import collections
import dataclasses

import trio

from martenquay_core.util import serving
from martenquay_standins import web

__all__ = ["ServiceStandIn"]


@dataclasses.dataclass
class ServiceFaults(web.Faults):
    """Faults and options of a service besides the common faults.

    Attributes:
        checks_keys: Execute each idempotency key once and repeat its answer.
        break_answers: Execute each request, then reset the connection.
    """

    break_answers: bool = False
    checks_keys: bool = False


class ServiceStandIn(web.StandIn):
    """Answers every request and counts executions by idempotency key.

    Attributes:
        runs: Number of executions by idempotency key.
    """

    def __init__(self, name: str) -> None:
        super().__init__()
        self.faults: ServiceFaults = ServiceFaults()
        self.runs: collections.Counter[str] = collections.Counter()
        self._name = name
        self._answers: dict[str, dict[str, object]] = {}

    async def handle(self, request: web.Request) -> None:
        """Execute a request; with `checks_keys`, once for each key."""
        if request.path == "/runs":
            await web.reply_json(request.send, dict(self.runs))
            return
        if await self.refuse_when_down(request):
            return
        key = serving.find_header(request.scope, b"idempotency-key") or ""
        answer = self._answers.get(key) if self.faults.checks_keys else None
        if answer is None:
            answer = await self._run(request, key)
        if self.faults.break_answers:
            await _break_answer(request)
        if not await self.drop_answer(request):
            await web.reply_json(request.send, answer)

    async def _run(self, request: web.Request, key: str) -> dict[str, object]:
        self.runs[key] += 1
        run = sum(self.runs.values())
        answer = {
            "service": self._name,
            "method": request.method,
            "path": request.path,
            "run": run,
            "body": request.body.decode("utf-8", "replace"),
        }
        self._answers[key] = answer
        await trio.lowlevel.checkpoint()
        return answer


async def _break_answer(request: web.Request) -> None:
    """Send the head of a response and reset the connection."""
    length = (b"content-length", b"1000")
    await request.send(
        {"type": "http.response.start", "status": 200, "headers": [length]}
    )
    raise ConnectionResetError("connection reset by the fault break_answers")
