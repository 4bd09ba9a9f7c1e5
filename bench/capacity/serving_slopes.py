"""Measure what requests and what is kept of them cost a node."""

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
from martenquay_daemon.deferrable import records as work_records
from martenquay_daemon.deferrable import table as work_table
from martenquay_daemon.routing import prefixes, ring

__all__ = [
    "measure_claim",
    "measure_prefix",
    "measure_request_state",
    "measure_ring",
    "measure_work",
]

_LISTED = 790
# ZeroMQ's framing and TCP's headers for one small message.
_MESSAGE_OVERHEAD = 60


def measure_ring() -> measures.Slope:
    """One runner of a pool's ring, built anew."""

    def build(count: int) -> ring.RunnerRing:
        return ring.RunnerRing([f"runner-{n}" for n in range(count)])

    seconds = (
        measures.time_call(lambda: build(_LISTED), 10)
        - measures.time_call(lambda: build(100), 10)
    ) / (_LISTED - 100)
    memory = (
        measures.weigh(lambda: build(_LISTED))
        - measures.weigh(lambda: build(100))
    ) / (_LISTED - 100)
    return measures.Slope("runner in a ring", seconds, memory)


def measure_prefix() -> measures.Slope:
    """One block of the prefix index: noted and kept."""
    rng = random.Random(1)

    def build(count: int) -> prefixes.PrefixIndex:
        index = prefixes.PrefixIndex()
        for _ in range(count // 20):
            chain = [rng.getrandbits(64) for _ in range(20)]
            index.note_held(f"runner-{rng.randrange(16)}", chain)
        return index

    memory = measures.weigh(lambda: build(40_000)) - measures.weigh(
        lambda: build(20_000)
    )
    index = build(40_000)
    chain = [rng.getrandbits(64) for _ in range(20)]
    seconds = (
        measures.time_call(lambda: index.note_held("runner-1", chain)) / 20
    )
    return measures.Slope("block in the prefix index", seconds, memory / 20_000)


def measure_claim() -> measures.Slope:
    """One claim with its outcome: encoded, read back, folded, kept."""

    def build(count: int) -> claim_table.ClaimTable:
        claims = claim_table.ClaimTable(full_outcomes=100)
        for number in range(count):
            for place, raw in enumerate(_encode_claim(number)):
                claims.apply(2 * number + place + 1, raw)
        return claims

    memory = (
        measures.weigh(lambda: build(9000))
        - measures.weigh(lambda: build(1000))
    ) / 8000
    claims = claim_table.ClaimTable(full_outcomes=100)
    numbers = itertools.count()

    def run() -> None:
        number = next(numbers)
        for place, raw in enumerate(_encode_claim(number)):
            claims.apply(2 * number + place + 1, raw)

    wire = sum(map(len, _encode_claim(1)))
    return measures.Slope(
        "claim with its outcome", measures.time_call(run), memory, wire
    )


def measure_work() -> measures.Slope:
    """One accepted request and its answer: read, folded and kept.

    Only the small records: bodies and answers stand in a stream of their own
    and are read by whoever works on them.
    """

    def encode(number: int) -> list[bytes]:
        ticket = f"workshops.{number:032x}"
        accepted = work_records.Accepted(
            ticket=ticket,
            team="workshops",
            route="review",
            written_at=1.5e9,
            config_offset=123_456,
            offset=10 * number,
            count=1,
        )
        completed = work_records.Completed(
            ticket=ticket, offset=10 * number + 5, count=1
        )
        return [work_records.encode(accepted), work_records.encode(completed)]

    def build(count: int) -> work_table.WorkTable:
        works = work_table.WorkTable()
        for number in range(count):
            for place, raw in enumerate(encode(number)):
                works.apply(2 * number + place + 1, raw)
        return works

    memory = (
        measures.weigh(lambda: build(9000))
        - measures.weigh(lambda: build(1000))
    ) / 8000
    works = work_table.WorkTable()
    numbers = itertools.count()

    def run() -> None:
        number = next(numbers)
        for place, raw in enumerate(encode(number)):
            works.apply(2 * number + place + 1, raw)

    wire = sum(map(len, encode(1)))
    return measures.Slope(
        "deferrable request, answered", measures.time_call(run), memory, wire
    )


async def measure_request_state() -> measures.Slope:
    """One request in flight: its task, its prompt and its tokens."""

    async def hold(count: int) -> int:
        tracemalloc.start()
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(_hold_request)
            await trio.testing.wait_all_tasks_blocked()
            held = tracemalloc.get_traced_memory()[0]
            nursery.cancel_scope.cancel()
        tracemalloc.stop()
        return held

    memory = (await hold(1200) - await hold(200)) / 1000
    return measures.Slope("request in flight", 0.0, memory)


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
