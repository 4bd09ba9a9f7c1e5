"""Measure what a daemon adds to a call, beside a bare forwarder.

Service calls and streamed answers go to the same runner directly, through a
bare forwarder of hypercorn and httpcore, and through a daemon, in turn and in
one run, so that the ratios hold on a noisy machine.
"""

from __future__ import annotations

import json

import trio
from absl import app, flags

from bench import figures, processes
from martenquay_core.platform import instances
from martenquay_core.util import http
from martenquay_standins import partners, world

_SECONDS = flags.DEFINE_float("seconds", 3.0, "Seconds a measurement.")
_ROUNDS = flags.DEFINE_integer("rounds", 3, "Rounds of all measurements.")
_CLIENTS = flags.DEFINE_integer("clients", 16, "Callers at once.")
_STREAMS = 16
_STREAM_TOKENS = 400
_WAYS = ("direct", "forwarder", "daemon")


def main(argv: list[str]) -> int:
    """Run all measurements and print one table."""
    del argv
    trio.run(_run)
    return 0


async def _run() -> None:
    async with trio.open_nursery() as nursery, http.open_client() as client:
        place = world.World(nursery, plans=(partners.SERRANA,))
        await place.start_platform()
        place.put_standard_config()
        service = await processes.start_program(
            "martenquay_standins", "service"
        )
        engine = await processes.start_program(
            "martenquay_standins", "engine", "--token_s=0", "--slots=64"
        )
        for name, pool, program in (
            ("desk-1", "counter", service),
            ("model-1", "reviews", engine),
        ):
            place.instances.put(
                instances.Instance(
                    name,
                    instances.InstanceKind.RUNNER,
                    "serrana",
                    "serra-a",
                    program.address,
                    pool=pool,
                    slots=64,
                )
            )
        daemon = await place.start_process(
            partners.SERRANA,
            "serra-a",
            "entry-1",
            timing={"load_poll_s": 0.5, "list_poll_s": 1.0, "heartbeat_s": 1.0},
        )
        await trio.sleep(2.0)
        idle_mb = processes.read_resident_mb(daemon.process.pid)
        to_service = await processes.start_program(
            "bench.baseline_forwarder", f"--target={service.address}", "--whole"
        )
        to_engine = await processes.start_program(
            "bench.baseline_forwarder", f"--target={engine.address}"
        )
        calls = {
            "direct": f"http://{service.address}/orders/7",
            "forwarder": f"http://{to_service.address}/orders/7",
            "daemon": f"http://{daemon.addresses.callers}"
            "/services/status/orders/7",
        }
        streams = {
            "direct": f"http://{engine.address}/v1/generate",
            "forwarder": f"http://{to_engine.address}/v1/generate",
            "daemon": f"http://{daemon.addresses.callers}/v1/chat/completions",
        }
        await _measure(client, calls, streams)
        busy_mb = processes.read_resident_mb(daemon.process.pid)
        print(
            f"\nresident memory of the daemon: idle {idle_mb:.1f} MB, "
            f"after the load {busy_mb:.1f} MB"
        )
        for program in (service, engine, to_service, to_engine):
            program.end()
        place.end_processes()
        nursery.cancel_scope.cancel()


async def _measure(
    client: http.HttpClient, calls: dict[str, str], streams: dict[str, str]
) -> None:
    latency: dict[str, list[float]] = {way: [] for way in _WAYS}
    rate: dict[str, list[float]] = {way: [] for way in _WAYS}
    tokens: dict[str, list[float]] = {way: [] for way in _WAYS}
    for _ in range(_ROUNDS.value):
        for way in _WAYS:
            latency[way] += await _call_for(client, calls[way], 1)
            times = await _call_for(client, calls[way], _CLIENTS.value)
            rate[way].append(len(times) / _SECONDS.value)
            tokens[way].append(await _stream_tokens(client, streams[way]))
    base = {
        "rate": _median(rate["forwarder"]),
        "tokens": _median(tokens["forwarder"]),
    }
    rows = []
    for way in _WAYS:
        mean_rate = _median(rate[way])
        mean_tokens = _median(tokens[way])
        rows.append(
            [
                way,
                f"{figures.compute_percentile(latency[way], 50) * 1000:.2f}",
                f"{figures.compute_percentile(latency[way], 95) * 1000:.2f}",
                f"{mean_rate:.0f}",
                f"{mean_rate / base['rate']:.2f}",
                f"{mean_tokens:.0f}",
                f"{mean_tokens / base['tokens']:.2f}",
            ]
        )
    figures.print_table(
        [
            "way",
            "p50 ms",
            "p95 ms",
            f"calls/s at {_CLIENTS.value}",
            "of forwarder",
            "tokens/s",
            "of forwarder",
        ],
        rows,
    )


async def _call_for(
    client: http.HttpClient, url: str, callers: int
) -> list[float]:
    times: list[float] = []
    headers = [(b"authorization", b"Bearer serrana-counter")]

    async def call_again_and_again() -> None:
        while True:
            started = trio.current_time()
            answer = await client.call("GET", url, headers=headers)
            assert answer.is_ok() and answer.ok.status == 200, answer
            times.append(trio.current_time() - started)

    with trio.move_on_after(_SECONDS.value):
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(call_again_and_again)
    return times


async def _stream_tokens(client: http.HttpClient, url: str) -> float:
    """Return tokens a second over many streams at once."""
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(_STREAMS):
            nursery.start_soon(_read_stream, client, url, number)
    elapsed = trio.current_time() - started
    return _STREAMS * _STREAM_TOKENS / elapsed


async def _read_stream(client: http.HttpClient, url: str, number: int) -> None:
    if url.endswith("generate"):
        content = {
            "request_id": f"r{number}",
            "attempt": 1,
            "prompt": "a brief",
            "max_tokens": _STREAM_TOKENS,
            "priority": 1,
            "generated": [],
        }
    else:
        content = {
            "model": "chat",
            "max_tokens": _STREAM_TOKENS,
            "stream": True,
            "messages": [{"role": "user", "content": "a brief"}],
        }
    headers = [(b"authorization", b"Bearer serrana-counter")]
    body = json.dumps(content).encode()
    lines = 0
    async with client.stream("POST", url, headers=headers, body=body) as answer:
        async for _ in answer.iterate_lines():
            lines += 1
    assert lines >= _STREAM_TOKENS, f"only {lines} lines from {url}"


def _median(values: list[float]) -> float:
    return figures.compute_percentile(values, 50)


if __name__ == "__main__":
    app.run(main)
