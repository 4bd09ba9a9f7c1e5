"""Chaos run: callers and operators at work while faults are injected."""

from __future__ import annotations

import dataclasses
import json
import random
from typing import TYPE_CHECKING, Any

import trio

from martenquay_core.util import http
from martenquay_standins import engine, partners, running, world
from martenquay_standins.chaos import faults, history, readings

if TYPE_CHECKING:
    from martenquay_standins import service

__all__ = ["ChaosPlan", "ChaosReport", "run_chaos"]

_MAX_BOOKING_TRIES = 4
_CHAT_TOKENS = 25
_ENGINE_SHAPE = engine.EngineShape(token_s=0.004)
_PENDING_CODE = 1002
_ACCEPTED_CODE = 1001
_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class ChaosPlan:
    """Parameters of a chaos run.

    Attributes:
        seed: Seed of the faults and of the callers' choices.
        faults: Number of faults to inject.
        callers: Booking callers, and as many chat callers, per partner.
        settle_s: Time limit for deferrable answers after the faults have ended.
    """

    seed: int
    faults: int = 9
    callers: int = 2
    settle_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class ChaosReport:
    """Result of a chaos run.

    Attributes:
        history: The outcomes seen by callers and operators.
        breaches: Messages on violated guarantees.
        faults: Names of the injected faults in order.
    """

    history: history.History
    breaches: list[str]
    faults: list[str]


async def run_chaos(plan: ChaosPlan) -> ChaosReport:
    """Run one seed and check its history."""
    async with (
        trio.open_nursery() as nursery,
        http.open_client(reuse=False) as client,
    ):
        test_world = world.World(nursery, with_network=True)
        run = _ChaosRun(plan, test_world, client)
        try:
            report = await run.perform()
        finally:
            test_world.end_processes()
        nursery.cancel_scope.cancel()
    return report


class _ChaosRun:
    """One run: its test environment, workload and history."""

    def __init__(
        self, plan: ChaosPlan, test_world: world.World, client: http.HttpClient
    ) -> None:
        self._plan = plan
        self._world = test_world
        self._client = client
        self._history = history.History()
        self._random = random.Random(plan.seed + 1)
        self._daemons: dict[str, list[running.DaemonProcess]] = {}
        self._reader = readings.ConfigReader(self._query_daemon)
        self._services: list[service.ServiceStandIn] = []
        self._expected: dict[str, str] = {}
        self._owners: dict[str, str] = {}
        self._count = 0

    async def perform(self) -> ChaosReport:
        """Start the fleet, run the workload under faults, check the history."""
        await self._start()
        injector = faults.FaultInjector(
            self._world, self._daemons, self._plan.seed
        )
        async with trio.open_nursery() as nursery:
            for partner in self._world.plans:
                for _ in range(self._plan.callers):
                    nursery.start_soon(self._run_booking_caller, partner)
                    nursery.start_soon(self._run_chat_caller, partner)
                nursery.start_soon(self._run_deferrable_caller, partner)
                nursery.start_soon(self._run_operator, partner)
                nursery.start_soon(self._run_observer, partner)
            await injector.inject_faults(self._plan.faults)
            nursery.cancel_scope.cancel()
        await self._collect_final_state()
        for app in self._services:
            self._history.runs.update(app.runs)
        breaches = history.find_breaches(self._history)
        return ChaosReport(self._history, breaches, injector.done)

    async def _start(self) -> None:
        await self._world.start_platform()
        self._world.put_standard_config()
        for partner in self._world.plans:
            for zone in partner.zones:
                await self._world.add_engine(
                    partner, zone, f"model-{partner.name}-{zone}", _ENGINE_SHAPE
                )
                self._services.append(
                    await self._world.add_service(
                        partner, zone, f"service-{partner.name}-{zone}"
                    )
                )
            self._daemons[partner.name] = [
                await self._world.start_process(partner, zone, f"entry-{zone}")
                for zone in partner.zones
            ]
        for daemons in self._daemons.values():
            for daemon in daemons:
                await self._wait_ready(daemon)

    async def _wait_ready(self, daemon: running.DaemonProcess) -> None:
        url = f"http://{daemon.addresses.callers}/readyz"
        while True:
            answer = await self._client.call("GET", url, timeout_s=1.0)
            if answer.is_ok() and answer.ok.status == 200:
                return
            await trio.sleep(_POLL_S)

    def _choose_daemon(
        self, partner: partners.PartnerPlan
    ) -> running.DaemonProcess:
        return self._random.choice(self._daemons[partner.name])

    def _next_name(self, kind: str) -> str:
        self._count += 1
        return f"{kind}-{self._count}"

    async def _run_booking_caller(self, partner: partners.PartnerPlan) -> None:
        while True:
            key = self._next_name("slot")
            # Callers retry a key at another daemon, at times before the first
            # response; without these, no two attempts would race.
            if self._random.random() < 0.3:
                async with trio.open_nursery() as nursery:
                    for _ in range(2):
                        nursery.start_soon(self._book, partner, key)
            for _ in range(self._random.randint(1, _MAX_BOOKING_TRIES)):
                if await self._book(partner, key) == 1000:
                    break
            await trio.sleep(0.02)

    async def _book(self, partner: partners.PartnerPlan, key: str) -> int:
        code, body = 0, b""
        try:
            answer = await self._post(
                partner, "/services/booking/slots", b"slot", key
            )
            if answer is not None:
                code, body = _read_result_code(answer), answer.body
        finally:
            # A cancelled attempt may have been executed, so it is recorded.
            reply = history.BookingReply(key, code, body)
            self._history.bookings.append(reply)
        return code

    async def _run_chat_caller(self, partner: partners.PartnerPlan) -> None:
        while True:
            prompt = f"{self._next_name('order')} with a long history " * 10
            answer = await self._post(
                partner,
                "/v1/chat/completions",
                _build_chat("chat", prompt, stream=True),
                "",
            )
            self._history.chats.append(_build_chat_reply(prompt, answer))
            await trio.sleep(0.02)

    async def _run_deferrable_caller(
        self, partner: partners.PartnerPlan
    ) -> None:
        while True:
            prompt = f"{self._next_name('review')} of a part " * 5
            key = self._next_name("night")
            answer = await self._post(
                partner,
                "/v1/chat/completions",
                _build_chat("review", prompt, stream=False),
                key,
            )
            if (
                answer is not None
                and _read_result_code(answer) == _ACCEPTED_CODE
            ):
                ticket = json.loads(answer.body)["ticket"]
                self._history.accepted.add(ticket)
                self._expected[ticket] = _generate_expected_text(prompt)
                self._owners[ticket] = partner.name
            await trio.sleep(0.1)

    async def _run_operator(self, partner: partners.PartnerPlan) -> None:
        while True:
            weight = float(self._random.randint(1, 500))
            answer = await self._send_statement(
                partner, "command", f"set team counter weight={weight}"
            )
            version = 0
            if answer is not None and answer.status == 200:
                version = json.loads(answer.body)["version"]
            self._history.changes.append(
                history.ChangeReply(partner.name, version, weight)
            )
            await trio.sleep(0.1)

    async def _run_observer(self, partner: partners.PartnerPlan) -> None:
        while True:
            self._history.observations += await self._reader.read(
                partner.name, self._choose_daemon(partner)
            )
            await trio.sleep(0.05)

    async def _collect_final_state(self) -> None:
        """Read the final configuration and the answers of accepted tickets."""
        found = await readings.read_finals(
            self._reader, self._world.log, self._daemons
        )
        self._history.observations += found
        with trio.move_on_after(self._plan.settle_s):
            async with trio.open_nursery() as nursery:
                for ticket in self._history.accepted:
                    nursery.start_soon(self._fetch_from_all_daemons, ticket)
        answered = {reply.ticket for reply in self._history.tickets}
        for ticket in self._history.accepted - answered:
            self._history.tickets.append(
                history.TicketReply(ticket, self._expected[ticket], None, b"")
            )

    async def _fetch_from_all_daemons(self, ticket: str) -> None:
        """Fetch the answer of a ticket from every daemon of its partner."""
        partner = next(
            p for p in self._world.plans if p.name == self._owners[ticket]
        )
        for daemon in self._daemons[partner.name]:
            while True:
                answer = await self._call(
                    partner, daemon, "GET", f"/v1/tickets/{ticket}", b"", ""
                )
                if answer is not None and answer.status == 200:
                    break
                await trio.sleep(_POLL_S)
            text = _read_text(answer.body)
            self._history.tickets.append(
                history.TicketReply(
                    ticket,
                    self._expected[ticket],
                    text,
                    answer.body,
                )
            )

    async def _post(
        self, partner: partners.PartnerPlan, path: str, body: bytes, key: str
    ) -> http.Answer | None:
        daemon = self._choose_daemon(partner)
        return await self._call(partner, daemon, "POST", path, body, key)

    async def _call(
        self,
        partner: partners.PartnerPlan,
        daemon: running.DaemonProcess,
        method: str,
        path: str,
        body: bytes,
        key: str,
    ) -> http.Answer | None:
        credential = f"Bearer {partner.name}-counter".encode()
        headers = [(b"authorization", credential)]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        answer = await self._client.call(
            method,
            f"http://{daemon.addresses.callers}{path}",
            headers=headers,
            body=body,
            timeout_s=20.0,
        )
        return answer.default_value(None)

    async def _query_daemon(
        self, partner: str, text: str, daemon: running.DaemonProcess
    ) -> http.Answer | None:
        plan = next(p for p in self._world.plans if p.name == partner)
        return await self._send_statement(plan, "query", text, daemon)

    async def _send_statement(
        self,
        partner: partners.PartnerPlan,
        kind: str,
        text: str,
        daemon: running.DaemonProcess | None = None,
    ) -> http.Answer | None:
        daemon = daemon or self._choose_daemon(partner)
        credential = f"Bearer {partner.operator_credential}".encode()
        answer = await self._client.call(
            "POST",
            f"http://{daemon.addresses.operators}/v1/{kind}",
            headers=[(b"authorization", credential)],
            body=json.dumps({"text": text}).encode(),
        )
        return answer.default_value(None)


def _read_result_code(answer: http.Answer) -> int:
    return int(dict(answer.headers).get(b"x-martenquay-result", b"0"))


def _build_chat(route: str, prompt: str, *, stream: bool) -> bytes:
    content: dict[str, Any] = {
        "model": route,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": _CHAT_TOKENS,
        "stream": stream,
    }
    return json.dumps(content).encode()


def _generate_expected_text(prompt: str) -> str:
    text = f"user: {prompt}"
    return "".join(
        engine.make_token(text, index) for index in range(_CHAT_TOKENS)
    )


def _read_text(body: bytes) -> str:
    """Return the text of a chat completion, or the body of any other JSON."""
    content = json.loads(body)
    if "choices" not in content:
        return body.decode()
    return content["choices"][0]["message"]["content"]


def _build_chat_reply(
    prompt: str, answer: http.Answer | None
) -> history.ChatReply:
    expected = _generate_expected_text(prompt)
    if answer is None or answer.status != 200:
        return history.ChatReply(expected, "", False, has_error=True)
    text = ""
    for line in answer.body.split(b"\n"):
        if line.startswith(b'data: {"id"'):
            chunk = json.loads(line.removeprefix(b"data: "))
            text += chunk["choices"][0]["delta"]["content"]
    is_whole = answer.body.endswith(b"data: [DONE]\n\n")
    return history.ChatReply(
        expected, text, is_whole, has_error=b"event: error" in answer.body
    )
