"""Demo: a small fleet of daemon processes that serves a few requests.

Two partners with three availability zones each and one daemon process in each
zone. The platform and the runners are fakes in the process of the demo.
"""

from __future__ import annotations

import dataclasses
import json
import os
import sys
from typing import TYPE_CHECKING, Any

import trio
from absl import app, flags

from martenquay_core.util import http
from martenquay_standins import partners, running, world

if TYPE_CHECKING:
    from martenquay_daemon import daemon

_KEEP_RUNNING = flags.DEFINE_bool(
    "hold", False, "Keep the fleet up until Ctrl-C, for use with the client."
)
_READY_POLL_S = 0.05
_STATUS_OK = 200


@dataclasses.dataclass(frozen=True)
class _DaemonAccess:
    """Addresses of a daemon and a credential for its operator API.

    Attributes:
        addresses: Where it listens.
        operator: Credential of an operator.
    """

    addresses: daemon.Addresses
    operator: str


def main(argv: list[str]) -> int:
    """Start the fleet, send one request of each kind and stop the fleet."""
    del argv
    return trio.run(_run)


async def _run() -> int:
    async with trio.open_nursery() as nursery, http.open_client() as client:
        test_world = world.World(nursery)
        await test_world.start_platform()
        test_world.put_standard_config()
        daemons = await _start_fleet(test_world)
        for process in daemons.values():
            await _wait_ready(client, process.addresses.callers)
        print(
            f"{len(daemons)} daemons are ready; they learned their routes "
            "from the log.\n"
        )
        all_succeeded = True
        for plan in test_world.plans:
            addresses = daemons[plan.zones[0]].addresses
            access = _DaemonAccess(addresses, plan.operator_credential)
            all_succeeded &= await _send_requests(client, plan, access)
        if _KEEP_RUNNING.value:
            _print_client_commands(test_world, daemons)
            await trio.sleep_forever()
        codes = await _stop_fleet(daemons)
        print(f"daemons stopped with exit codes {codes}")
        nursery.cancel_scope.cancel()
    return 0 if all_succeeded and not any(codes) else 1


async def _start_fleet(
    test_world: world.World,
) -> dict[str, running.DaemonProcess]:
    daemons: dict[str, running.DaemonProcess] = {}
    for plan in test_world.plans:
        for number in range(5):
            zone = plan.zones[number % len(plan.zones)]
            await test_world.add_engine(
                plan, zone, f"{plan.model_pool}-{number}"
            )
        for number, zone in enumerate(plan.zones):
            await test_world.add_service(
                plan, zone, f"{plan.service_pool}-{number}"
            )
        for zone in plan.zones:
            log_file = sys.stderr if os.environ.get("DEMO_LOGS") else None
            daemons[zone] = await test_world.start_process(
                plan, zone, f"entry-{zone}", log_file=log_file
            )
            print(
                f"started entry-{zone}: callers at "
                f"{daemons[zone].addresses.callers}"
            )
    return daemons


async def _wait_ready(client: http.HttpClient, address: str) -> None:
    while True:
        answer = await client.call("GET", f"http://{address}/readyz")
        if answer.is_ok() and answer.ok.status == _STATUS_OK:
            return
        await trio.sleep(_READY_POLL_S)


async def _send_requests(
    client: http.HttpClient, plan: partners.PartnerPlan, daemon: _DaemonAccess
) -> bool:
    headers = [(b"authorization", f"Bearer {plan.name}-counter".encode())]
    chat = _build_chat("chat", "Is the bracket in part 7 printable? " * 20)
    deferrable_chat = _build_chat("review", "Review this order history. " * 200)
    all_succeeded = await _send_and_print(
        client, "chat, whole", daemon, headers, chat
    )
    streamed = chat | {"stream": True}
    all_succeeded &= await _send_and_print(
        client, "chat, streamed", daemon, headers, streamed
    )
    all_succeeded &= await _send_and_print(
        client,
        "order status",
        daemon,
        headers,
        None,
        "/services/status/orders/7",
    )
    idempotent_headers = [*headers, (b"idempotency-key", b"slot-9-harvest")]
    for title_suffix in ("", ", sent again"):
        all_succeeded &= await _send_and_print(
            client,
            f"slot booking{title_suffix}",
            daemon,
            idempotent_headers,
            {"slot": 9},
            "/services/booking/slots",
        )
    return all_succeeded & await _send_deferrable(
        client, daemon.addresses.callers, headers, deferrable_chat
    )


def _build_chat(route: str, content: str) -> dict[str, Any]:
    message = {"role": "user", "content": content}
    return {"model": route, "messages": [message], "max_tokens": 12}


async def _send_and_print(
    client: http.HttpClient,
    title: str,
    daemon: _DaemonAccess,
    headers: http.Headers,
    content: dict[str, Any] | None,
    path: str = "/v1/chat/completions",
) -> bool:
    body = json.dumps(content).encode() if content else b""
    answer = await client.call(
        "POST" if content else "GET",
        f"http://{daemon.addresses.callers}{path}",
        headers=headers,
        body=body,
    )
    if answer.is_error():
        print(f"{title}: {answer.error.message}")
        return False
    request_id = dict(answer.ok.headers)[b"x-request-id"].decode()
    print(f"{title}: {answer.ok.status}")
    print(f"    {answer.ok.body.decode()[:150]!r}")
    for line in await _query_routing_reasons(client, daemon, request_id):
        print(f"    {line}")
    return answer.ok.status < 300


async def _query_routing_reasons(
    client: http.HttpClient, daemon: _DaemonAccess, request_id: str
) -> list[str]:
    """Return the runners of a request with the reason of each choice."""
    answer = await client.call(
        "POST",
        f"http://{daemon.addresses.operators}/v1/query",
        headers=[(b"authorization", f"Bearer {daemon.operator}".encode())],
        body=json.dumps({"text": f"why {request_id}"}).encode(),
    )
    if answer.is_error() or answer.ok.status != _STATUS_OK:
        return ["not run again: this is the kept answer"]
    rows = json.loads(answer.ok.body)["rows"]
    return [f"ran on {row['runner']}: {row['reason']}" for row in rows]


async def _send_deferrable(
    client: http.HttpClient,
    address: str,
    headers: http.Headers,
    content: dict[str, Any],
) -> bool:
    accepted = await client.call(
        "POST",
        f"http://{address}/v1/chat/completions",
        headers=headers,
        body=json.dumps(content).encode(),
    )
    ticket = json.loads(accepted.ok.body)["ticket"]
    print(f"review, deferrable: accepted as {ticket}")
    while True:
        answer = await client.call(
            "GET", f"http://{address}/v1/tickets/{ticket}", headers=headers
        )
        if answer.ok.status == _STATUS_OK:
            print(f"    {answer.ok.body.decode()[:150]!r}\n")
            return True
        await trio.sleep(_READY_POLL_S)


def _print_client_commands(
    test_world: world.World, daemons: dict[str, running.DaemonProcess]
) -> None:
    for plan in test_world.plans:
        address = daemons[plan.zones[0]].addresses.operators
        print(
            f"MARTENQUAY_CREDENTIAL={plan.operator_credential} "
            f"martenquay --daemon={address} show runners"
        )
    print("Ctrl-C ends the fleet.", flush=True)


async def _stop_fleet(
    daemons: dict[str, running.DaemonProcess],
) -> list[int | None]:
    for daemon in daemons.values():
        daemon.process.terminate()
    return [await daemon.process.wait() for daemon in daemons.values()]


if __name__ == "__main__":
    app.run(main)
