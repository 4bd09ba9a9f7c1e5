"""Measure the marginal costs of requests and of their stored state."""

from __future__ import annotations

import itertools
import random
import tracemalloc

import trio
import trio.testing

from bench.capacity import measures
from martenquay_core.util import blocks
from martenquay_daemon.claims import records as claim_records
from martenquay_daemon.claims import table as claim_table
from martenquay_daemon.deferrable import records as deferrable_records
from martenquay_daemon.deferrable import table as deferrable_table
from martenquay_daemon.routing import prefixes, ring

__all__ = [
    "measure_claim",
    "measure_deferrable_request",
    "measure_prefix",
    "measure_request_state",
    "measure_ring",
]

_RUNNERS = 790
# ZeroMQ framing and TCP/IP headers of one small message.
_MESSAGE_OVERHEAD_BYTES = 60


def measure_ring() -> measures.Slope:
    """Measure one runner in a pool's hash ring while the ring is rebuilt."""

    def build(count: int) -> ring.RunnerRing:
        return ring.RunnerRing([f"runner-{n}" for n in range(count)])

    processor_s = (
        measures.time_call(lambda: build(_RUNNERS), 10)
        - measures.time_call(lambda: build(100), 10)
    ) / (_RUNNERS - 100)
    memory_bytes = (
        measures.measure_held_bytes(lambda: build(_RUNNERS))
        - measures.measure_held_bytes(lambda: build(100))
    ) / (_RUNNERS - 100)
    return measures.Slope("runner in a ring", processor_s, memory_bytes)


def measure_prefix() -> measures.Slope:
    """Measure one block of the prefix index: recorded and stored."""
    rng = random.Random(1)

    def build(count: int) -> prefixes.PrefixIndex:
        index = prefixes.PrefixIndex()
        for _ in range(count // 20):
            chain = [rng.getrandbits(64) for _ in range(20)]
            index.note_held(f"runner-{rng.randrange(16)}", chain)
        return index

    memory_bytes = measures.measure_held_bytes(
        lambda: build(40_000)
    ) - measures.measure_held_bytes(lambda: build(20_000))
    index = build(40_000)
    chain = [rng.getrandbits(64) for _ in range(20)]
    processor_s = (
        measures.time_call(lambda: index.note_held("runner-1", chain)) / 20
    )
    return measures.Slope(
        "block in the prefix index", processor_s, memory_bytes / 20_000
    )


def measure_claim() -> measures.Slope:
    """Measure a claim with its outcome: encoded, decoded and applied."""

    def build(count: int) -> claim_table.ClaimTable:
        claims = claim_table.ClaimTable(full_outcomes=100)
        for number in range(count):
            for position, encoded in enumerate(_encode_claim(number)):
                claims.apply(2 * number + position + 1, encoded)
        return claims

    memory_bytes = (
        measures.measure_held_bytes(lambda: build(9000))
        - measures.measure_held_bytes(lambda: build(1000))
    ) / 8000
    claims = claim_table.ClaimTable(full_outcomes=100)
    numbers = itertools.count()

    def run() -> None:
        number = next(numbers)
        for position, encoded in enumerate(_encode_claim(number)):
            claims.apply(2 * number + position + 1, encoded)

    wire_bytes = sum(map(len, _encode_claim(1)))
    return measures.Slope(
        "claim with its outcome",
        measures.time_call(run),
        memory_bytes,
        wire_bytes,
    )


def measure_deferrable_request() -> measures.Slope:
    """Measure a deferrable request and its answer: decoded and applied.

    Request and answer bodies are excluded: they are in a stream of their own
    that only the daemon that runs the request reads.
    """

    def encode(number: int) -> list[bytes]:
        ticket = f"workshops.{number:032x}"
        accepted = deferrable_records.Accepted(
            ticket=ticket,
            team="workshops",
            route="review",
            written_at=1.5e9,
            config_offset=123_456,
            offset=10 * number,
            count=1,
        )
        completed = deferrable_records.Completed(
            ticket=ticket, offset=10 * number + 5, count=1
        )
        return [
            deferrable_records.encode(accepted),
            deferrable_records.encode(completed),
        ]

    def build(count: int) -> deferrable_table.WorkTable:
        requests = deferrable_table.WorkTable()
        for number in range(count):
            for position, encoded in enumerate(encode(number)):
                requests.apply(2 * number + position + 1, encoded)
        return requests

    memory_bytes = (
        measures.measure_held_bytes(lambda: build(9000))
        - measures.measure_held_bytes(lambda: build(1000))
    ) / 8000
    requests = deferrable_table.WorkTable()
    numbers = itertools.count()

    def run() -> None:
        number = next(numbers)
        for position, encoded in enumerate(encode(number)):
            requests.apply(2 * number + position + 1, encoded)

    wire_bytes = sum(map(len, encode(1)))
    return measures.Slope(
        "deferrable request, answered",
        measures.time_call(run),
        memory_bytes,
        wire_bytes,
    )


async def measure_request_state() -> measures.Slope:
    """Measure the memory of a request in flight: task, prompt and tokens."""

    async def measure_in_flight(count: int) -> int:
        tracemalloc.start()
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(_hold_request)
            await trio.testing.wait_all_tasks_blocked()
            held_bytes = tracemalloc.get_traced_memory()[0]
            nursery.cancel_scope.cancel()
        tracemalloc.stop()
        return held_bytes

    memory_bytes = (
        await measure_in_flight(1200) - await measure_in_flight(200)
    ) / 1000
    return measures.Slope("request in flight", 0.0, memory_bytes)


async def _hold_request() -> None:
    prompt = " ".join(f"w{n}" for n in range(600))
    chain = blocks.chain_blocks(prompt)
    tokens = ["word "] * 275
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.sleep_forever)
        await trio.sleep_forever()
    del prompt, chain, tokens


def _encode_claim(number: int) -> list[bytes]:
    key = f"workshops/booking/harvest-{number:012d}"
    claim = claim_records.Claim(
        key, f"{number:016x}", "entry-serra-a-12.89ab12cd", "0" * 16
    )
    outcome = claim_records.Outcome(
        key, f"{number:016x}", 200, "application/json", b"z" * 120, "0" * 16
    )
    return [claim_records.encode(claim), claim_records.encode(outcome)]
