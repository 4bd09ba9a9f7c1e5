"""Measure what one more of each thing costs a node."""

from __future__ import annotations

import dataclasses
import itertools
import random
import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec
import trio
import trio.testing

from bench import figures
from martenquay_core.config import fold, objects, records, snapshot
from martenquay_core.peers import messages
from martenquay_core.platform import instances
from martenquay_core.util import blocks
from martenquay_daemon.claims import records as claim_records
from martenquay_daemon.claims import table as claim_table
from martenquay_daemon.configuration import store
from martenquay_daemon.deferrable import records as work_records
from martenquay_daemon.deferrable import table as work_table
from martenquay_daemon.membership import directory, table
from martenquay_daemon.routing import prefixes, ring

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Slope", "measure_all"]

_LISTED = 790
# ZeroMQ's framing and TCP's headers for one small message.
_MESSAGE_OVERHEAD = 60


@dataclasses.dataclass(frozen=True)
class Slope:
    """The cost of one more thing.

    Attributes:
        name: What there is one more of.
        seconds: Processor time each.
        memory: Bytes of memory each.
        wire: Bytes sent or received each.
    """

    name: str
    seconds: float = 0.0
    memory: float = 0.0
    wire: float = 0.0


async def measure_all() -> dict[str, Slope]:
    """Return all slopes by name."""
    found = [
        _measure_import(),
        _measure_heartbeat(),
        _measure_member(),
        _measure_change(),
        _measure_object(),
        _measure_verdict(),
        _measure_snapshot(),
        _measure_runner(),
        _measure_ring(),
        _measure_prefix(),
        _measure_claim(),
        _measure_work(),
        await _measure_request_state(),
    ]
    return {slope.name: slope for slope in found}


def _measure_import() -> Slope:
    """Return what an idle daemon's process holds, from its own status."""
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return Slope("this process", memory=int(line.split()[1]) * 1024)
    return Slope("this process")


def _measure_heartbeat() -> Slope:
    """One heartbeat and its reply without news, both ends of it."""
    beat = messages.Heartbeat("entry-lakes-a-12.89ab12cd", 123_456, [])
    reply = messages.HeartbeatReply("entry-lakes-b-7.89ab12cd", 123_456, [])
    members = _build_members(50)

    def run() -> None:
        members.changes_since(members.version, 500)
        raw = messages.encode_message(beat)
        received = messages.decode_message(raw)
        members.note_applied(received.member, received.applied)
        members.judge_sender(received.member)
        answer = messages.decode_message(messages.encode_message(reply))
        members.note_applied(answer.member, answer.applied)

    wire = (
        len(messages.encode_message(beat))
        + len(messages.encode_message(reply))
        + 2 * _MESSAGE_OVERHEAD
    )
    return Slope("heartbeat with its reply", _time(run), 0.0, wire)


def _measure_member() -> Slope:
    """One member's change of state: merged, kept and sent on."""
    small, large = 100, 1100
    memory = (
        _weigh(lambda: _build_members(large))
        - _weigh(lambda: _build_members(small))
    ) / (large - small)
    members = _build_members(400)
    numbers = itertools.count(1)

    def run() -> None:
        members.merge(_build_update(7, incarnation=next(numbers)))
        members.changes_since(members.version - 1, 500)

    wire = len(
        messages.encode_message(
            messages.Heartbeat("", 0, [_build_update(7, incarnation=3)])
        )
    )
    return Slope("daemon in the table", _time(run), memory, wire)


def _measure_change() -> Slope:
    """One change record: decoded, its signature checked, folded."""
    signer, verifier = _build_signer()
    state = fold.create_state(["serrana"])
    raws = [
        records.encode_change(_build_change(number), signer)
        for number in range(1, 501)
    ]
    offsets = itertools.count(1)

    def run() -> None:
        offset = next(offsets)
        fold.apply_record(state, offset, raws[offset % 500], verifier)

    return Slope("configuration change", _time(run), 0.0, len(raws[0]))


def _measure_object() -> Slope:
    """One object in force, with its verdict and its typed form."""

    def build(count: int) -> store.ConfigStore:
        signer, verifier = _build_signer()
        found = store.ConfigStore(["serrana"], verifier)
        for number in range(1, count + 1):
            change = _build_change(number)
            found.apply(number, records.encode_change(change, signer))
            found.find(change.key)
        return found

    memory = (_weigh(lambda: build(1200)) - _weigh(lambda: build(200))) / 1000
    return Slope("configured object", 0.0, memory)


def _measure_verdict() -> Slope:
    """One remembered verdict of a change that is no longer in force."""

    def build(count: int) -> fold.PartnerState:
        state = fold.PartnerState("serrana")
        for number in range(count):
            judged = fold.Judgement(fold.Verdict.ACCEPTED, number)
            state.judged[f"change-{number:016d}"] = judged
        return state

    memory = (_weigh(lambda: build(2048)) - _weigh(lambda: build(48))) / 2000
    return Slope("remembered verdict", 0.0, memory)


def _measure_snapshot() -> Slope:
    """One object in a snapshot: encoded, signed, restored."""
    signer, verifier = _build_signer()

    def span(count: int) -> tuple[float, float]:
        state = fold.create_state(["serrana"])
        for number in range(1, count + 1):
            raw = records.encode_change(_build_change(number), signer)
            fold.apply_record(state, number, raw, verifier)
        partner = state.partners["serrana"]

        def run() -> None:
            buffer = snapshot.SnapshotBuffer(verifier)
            for chunk in snapshot.encode_snapshot(partner, signer):
                buffer.add(chunk)

        size = sum(map(len, snapshot.encode_snapshot(partner, signer)))
        return _time(run, 20), size

    small, large = span(200), span(1200)
    return Slope(
        "object in a snapshot",
        (large[0] - small[0]) / 1000,
        0.0,
        (large[1] - small[1]) / 1000,
    )


def _measure_runner() -> Slope:
    """One runner of the instance list: decoded, compared and kept."""
    small = _time_list(100)
    large = _time_list(_LISTED)
    count = _LISTED - 100
    memory = (
        _weigh(lambda: _decode_list(_LISTED))
        - _weigh(lambda: _decode_list(100))
    ) / count
    wire = (len(_encode_list(_LISTED)) - len(_encode_list(100))) / count
    return Slope(
        "runner in one reading of the list",
        (large - small) / count,
        memory,
        wire,
    )


def _measure_ring() -> Slope:
    """One runner of a pool's ring, built anew."""

    def build(count: int) -> ring.RunnerRing:
        return ring.RunnerRing([f"runner-{n}" for n in range(count)])

    seconds = (
        _time(lambda: build(_LISTED), 10) - _time(lambda: build(100), 10)
    ) / (_LISTED - 100)
    memory = (_weigh(lambda: build(_LISTED)) - _weigh(lambda: build(100))) / (
        _LISTED - 100
    )
    return Slope("runner in a ring", seconds, memory)


def _measure_prefix() -> Slope:
    """One block of the prefix index: noted and kept."""
    rng = random.Random(1)

    def build(count: int) -> prefixes.PrefixIndex:
        index = prefixes.PrefixIndex()
        for _ in range(count // 20):
            chain = [rng.getrandbits(64) for _ in range(20)]
            index.note_held(f"runner-{rng.randrange(16)}", chain)
        return index

    memory = _weigh(lambda: build(40_000)) - _weigh(lambda: build(20_000))
    index = build(40_000)
    chain = [rng.getrandbits(64) for _ in range(20)]
    seconds = _time(lambda: index.note_held("runner-1", chain)) / 20
    return Slope("block in the prefix index", seconds, memory / 20_000)


def _measure_claim() -> Slope:
    """One claim with its outcome: encoded, read back, folded, kept."""

    def build(count: int) -> claim_table.ClaimTable:
        claims = claim_table.ClaimTable(full_outcomes=100)
        for number in range(count):
            for place, raw in enumerate(_encode_claim(number)):
                claims.apply(2 * number + place + 1, raw)
        return claims

    memory = (_weigh(lambda: build(9000)) - _weigh(lambda: build(1000))) / 8000
    claims = claim_table.ClaimTable(full_outcomes=100)
    numbers = itertools.count()

    def run() -> None:
        number = next(numbers)
        for place, raw in enumerate(_encode_claim(number)):
            claims.apply(2 * number + place + 1, raw)

    wire = sum(map(len, _encode_claim(1)))
    return Slope("claim with its outcome", _time(run), memory, wire)


def _measure_work() -> Slope:
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

    memory = (_weigh(lambda: build(9000)) - _weigh(lambda: build(1000))) / 8000
    works = work_table.WorkTable()
    numbers = itertools.count()

    def run() -> None:
        number = next(numbers)
        for place, raw in enumerate(encode(number)):
            works.apply(2 * number + place + 1, raw)

    wire = sum(map(len, encode(1)))
    return Slope("deferrable request, answered", _time(run), memory, wire)


async def _measure_request_state() -> Slope:
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
    return Slope("request in flight", 0.0, memory)


async def _hold_request() -> None:
    prompt = " ".join(f"w{n}" for n in range(600))
    chain = blocks.chain_blocks(prompt)
    tokens = ["word "] * 275
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.sleep_forever)
        await trio.sleep_forever()
    del prompt, chain, tokens


def _build_update(number: int, incarnation: int = 0) -> messages.MemberUpdate:
    return messages.MemberUpdate(
        member=f"entry-lakes-a-{number}.89ab12cd",
        partner="lindqvist",
        zone="lakes-a",
        address=f"10.12.1.{number % 250}:7000",
        incarnation=incarnation,
    )


def _build_members(count: int) -> table.MemberTable:
    members = table.MemberTable(_build_update(0), 5)
    for number in range(1, count):
        members.merge(_build_update(number))
    return members


def _build_signer() -> tuple[records.Signer, records.Verifier]:
    private, public = records.generate_key()
    signer = records.create_signer("serrana", private)
    return signer, records.create_verifier({"serrana": public})


def _build_change(number: int) -> records.Change:
    return records.Change(
        "serrana",
        "ines",
        f"change-{number:016d}",
        "serrana",
        objects.Kind.ROUTE,
        f"route-{number}",
        0,
        {"pool": "reviews", "urgency": "interactive", "deadline_s": 30.0},
    )


def _encode_claim(number: int) -> list[bytes]:
    key = f"workshops/booking/harvest-{number:012d}"
    claim = claim_records.Claim(
        key, f"{number:016x}", "entry-serra-a-12.89ab12cd", "0" * 16
    )
    outcome = claim_records.Outcome(
        key, f"{number:016x}", 200, "application/json", b"z" * 120, "0" * 16
    )
    return [claim_records.encode(claim), claim_records.encode(outcome)]


def _encode_list(count: int) -> bytes:
    return msgspec.json.encode(
        [
            instances.Instance(
                f"runner-{number}",
                instances.InstanceKind.RUNNER,
                "serrana",
                f"zone-{number % 7}",
                f"10.1.{number // 250}.{number % 250}:80",
                pool=f"pool-{number % 20}",
            )
            for number in range(count)
        ]
    )


def _decode_list(count: int) -> list[instances.Instance]:
    return msgspec.json.decode(
        _encode_list(count), type=list[instances.Instance]
    )


def _time_list(count: int) -> float:
    raw = _encode_list(count)
    config = store.ConfigStore(["serrana"], records.create_verifier({}))
    runners = directory.RunnerDirectory(config, _build_members(1))

    def run() -> None:
        listed = msgspec.json.decode(raw, type=list[instances.Instance])
        runners.replace_all(listed)

    return _time(run, 50)


def _time(run: Callable[[], object], repeats: int = 400) -> float:
    """Return the median processor time of one call, in seconds."""
    spans = []
    for _ in range(repeats):
        started = time.process_time_ns()
        run()
        spans.append((time.process_time_ns() - started) / 1e9)
    return figures.compute_percentile(spans, 50)


def _weigh(build: Callable[[], object]) -> int:
    """Return the bytes that what is built holds."""
    tracemalloc.start()
    built = build()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return held
