"""Run test scenarios against daemons and a simulated platform."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

import testtools
import trio

from martenquay_core.util import http
from martenquay_standins import partners, running, world

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["Caller", "CallerReply", "Scene", "ScenarioTestCase"]

_HANG_S = 120.0
_POLL_S = 0.02


@dataclasses.dataclass(frozen=True)
class CallerReply:
    """An HTTP answer as a caller receives it.

    Attributes:
        status: HTTP status; 0 if the call failed.
        headers: Response headers.
        body: Response body, or the error message of a failed call.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def code(self) -> int:
        """Result code in the headers, 0 if there is none."""
        return int(self.headers.get(b"x-martenquay-result", b"0"))

    def read_json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    def read_text(self) -> str:
        """Return the generated text, whether streamed or not."""
        if not self.body.startswith((b"data:", b"event:")):
            return self.read_json()["choices"][0]["message"]["content"]
        text = ""
        for line in self.body.split(b"\n"):
            if line.startswith(b'data: {"id"'):
                chunk = json.loads(line.removeprefix(b"data: "))
                text += chunk["choices"][0]["delta"]["content"]
        return text

    def is_unbroken(self) -> bool:
        """Return whether a streamed answer has its end marker."""
        return self.body.endswith(b"data: [DONE]\n\n")


class Caller:
    """Sends requests of one team to any daemon."""

    def __init__(self, client: http.HttpClient, credential: str) -> None:
        self._client = client
        self._headers = [(b"authorization", f"Bearer {credential}".encode())]

    async def chat(
        self,
        daemon: Any,
        route: str = "chat",
        prompt: str = "hello",
        *,
        max_tokens: int = 8,
        stream: bool = False,
        key: str = "",
    ) -> CallerReply:
        """Send a chat completion request."""
        content = {
            "model": route,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        body = json.dumps(content).encode()
        return await self.send(
            daemon, "POST", "/v1/chat/completions", body, key
        )

    async def book(
        self, daemon: Any, key: str, body: bytes = b"slot"
    ) -> CallerReply:
        """Send a booking, a non-idempotent call."""
        path = "/services/booking/slots"
        return await self.send(daemon, "POST", path, body, key)

    async def fetch(self, daemon: Any, ticket: str) -> CallerReply:
        """Fetch the state of a ticket once."""
        return await self.send(daemon, "GET", f"/v1/tickets/{ticket}")

    async def fetch_answer(self, daemon: Any, ticket: str) -> CallerReply:
        """Poll a ticket until it is no longer pending."""
        while True:
            reply = await self.fetch(daemon, ticket)
            if reply.code != 1002:
                return reply
            await trio.sleep(_POLL_S)

    async def send(
        self,
        daemon: Any,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = "",
    ) -> CallerReply:
        """Send an HTTP request; a failed call has status 0."""
        headers = list(self._headers)
        if key:
            headers.append((b"idempotency-key", key.encode()))
        answer = await self._client.call(
            method,
            f"http://{daemon.addresses.callers}{path}",
            headers=headers,
            body=body,
            timeout_s=60.0,
        )
        if answer.is_error():
            return CallerReply(0, {}, answer.error.message.encode())
        found = answer.ok
        return CallerReply(found.status, dict(found.headers), found.body)


class Scene:
    """A simulated platform with daemons and one caller of each partner.

    Attributes:
        world: The simulated platform; starts runners and daemons.
        nursery: Runs background tasks of the test.
        client: HTTP client of the test.
        caller: Caller of partner Serrana.
        florist: Caller of partner Lindqvist.
    """

    def __init__(
        self,
        platform_world: world.World,
        nursery: trio.Nursery,
        client: http.HttpClient,
    ) -> None:
        self.world = platform_world
        self.nursery = nursery
        self.client = client
        self.caller = Caller(client, "serrana-counter")
        self.florist = Caller(client, "lindqvist-counter")

    async def start_daemons(
        self, plan: partners.PartnerPlan, count: int, **sections: Any
    ) -> list[running.LocalDaemon]:
        """Start daemons in this process, round-robin over the zones."""
        return await self._start(self.world.start_daemon, plan, count, sections)

    async def start_processes(
        self, plan: partners.PartnerPlan, count: int, **sections: Any
    ) -> list[running.DaemonProcess]:
        """Start daemons as processes, round-robin over the zones."""
        return await self._start(
            self.world.start_process, plan, count, sections
        )

    async def _start(
        self,
        start: Callable[..., Awaitable[Any]],
        plan: partners.PartnerPlan,
        count: int,
        sections: dict[str, Any],
    ) -> list[Any]:
        daemons = []
        for number in range(count):
            zone = plan.zones[number % len(plan.zones)]
            name = f"entry-{plan.name}-{number}"
            daemons.append(await start(plan, zone, name, **sections))
        await self.wait_ready(daemons)
        return daemons

    async def wait_ready(self, daemons: list[Any]) -> None:
        """Wait until all daemons are ready and list each other as alive."""
        for daemon in daemons:
            await self.wait_until(self._is_ready, daemon)
        for daemon in daemons:
            await self.wait_until(self._knows_members, daemon, len(daemons))

    async def wait_until(
        self, condition: Callable[..., Awaitable[bool]], *args: Any
    ) -> None:
        """Poll a condition until it is true."""
        while not await condition(*args):
            await trio.sleep(_POLL_S)

    async def ask(
        self,
        daemon: Any,
        text: str,
        operator: str = "serrana-operator",
        **fields: Any,
    ) -> CallerReply:
        """Send a query or command to the operator API."""
        kind = (
            "query"
            if text.split(maxsplit=1)[0] in {"show", "why"}
            else "command"
        )
        answer = await self.client.call(
            "POST",
            f"http://{daemon.addresses.operators}/v1/{kind}",
            headers=[(b"authorization", f"Bearer {operator}".encode())],
            body=json.dumps({"text": text} | fields).encode(),
            timeout_s=60.0,
        )
        found = answer.ok
        return CallerReply(found.status, dict(found.headers), found.body)

    async def list_rows(
        self, daemon: Any, text: str, operator: str = "serrana-operator"
    ) -> list[dict[str, Any]]:
        """Return the rows of an operator's query."""
        return (await self.ask(daemon, text, operator)).read_json()["rows"]

    async def _is_ready(self, daemon: Any) -> bool:
        url = f"http://{daemon.addresses.callers}/readyz"
        answer = await self.client.call("GET", url)
        return answer.is_ok() and answer.ok.status == 200

    async def _knows_members(self, daemon: Any, count: int) -> bool:
        for operator in ("serrana-operator", "lindqvist-operator"):
            reply = await self.ask(daemon, "show daemons", operator)
            if reply.status == 200:
                rows = reply.read_json()["rows"]
                alive = [row for row in rows if row["state"] == "alive"]
                return len(alive) >= count
        return False


class ScenarioTestCase(testtools.TestCase):
    """Base class of tests that run scenarios, each in a new `Scene`."""

    def run_scene(
        self, scenario: Callable[[Scene], Awaitable[None]], **options: Any
    ) -> None:
        """Run a scenario in a new scene and stop everything afterwards."""
        trio.run(self._run_scene, scenario, options)

    async def _run_scene(
        self,
        scenario: Callable[[Scene], Awaitable[None]],
        options: dict[str, Any],
    ) -> None:
        with trio.fail_after(_HANG_S):
            async with (
                http.open_client(reuse=False) as client,
                trio.open_nursery() as nursery,
            ):
                platform_world = world.World(nursery, **options)
                await platform_world.start_platform()
                platform_world.put_standard_config()
                try:
                    await scenario(Scene(platform_world, nursery, client))
                finally:
                    platform_world.end_processes()
                nursery.cancel_scope.cancel()
