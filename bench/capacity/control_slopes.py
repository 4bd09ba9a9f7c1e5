"""Measure the marginal costs of membership, configuration and discovery."""

from __future__ import annotations

import itertools

import msgspec

from bench.capacity import measures
from martenquay_core.config import fold, objects, records, snapshot
from martenquay_core.peers import messages
from martenquay_core.platform import instances
from martenquay_daemon.configuration import store
from martenquay_daemon.membership import directory, table

__all__ = [
    "measure_change",
    "measure_heartbeat",
    "measure_member",
    "measure_object",
    "measure_process",
    "measure_runner",
    "measure_snapshot",
    "measure_verdict",
]

_RUNNERS = 790
# ZeroMQ framing and TCP/IP headers of one small message.
_MESSAGE_OVERHEAD_BYTES = 60


def measure_process() -> measures.Slope:
    """Return this process's resident memory, about that of an idle daemon."""
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return measures.Slope(
                    "this process", memory_bytes=int(line.split()[1]) * 1024
                )
    return measures.Slope("this process")


def measure_heartbeat() -> measures.Slope:
    """Measure a heartbeat and its reply without changes, at both ends."""
    heartbeat = messages.Heartbeat("entry-lakes-a-12.89ab12cd", 123_456, [])
    reply = messages.HeartbeatReply("entry-lakes-b-7.89ab12cd", 123_456, [])
    members = _build_members(50)

    def run() -> None:
        members.list_changes_since(members.version, 500)
        encoded = messages.encode_message(heartbeat)
        received = messages.decode_message(encoded)
        members.note_applied(received.member, received.applied)
        members.list_reports_to_refute(received.member)
        received_reply = messages.decode_message(messages.encode_message(reply))
        members.note_applied(received_reply.member, received_reply.applied)

    wire_bytes = (
        len(messages.encode_message(heartbeat))
        + len(messages.encode_message(reply))
        + 2 * _MESSAGE_OVERHEAD_BYTES
    )
    return measures.Slope(
        "heartbeat with its reply", measures.time_call(run), 0.0, wire_bytes
    )


def measure_member() -> measures.Slope:
    """Measure one member's state change: merged, stored and forwarded."""
    small, large = 100, 1100
    memory_bytes = (
        measures.measure_held_bytes(lambda: _build_members(large))
        - measures.measure_held_bytes(lambda: _build_members(small))
    ) / (large - small)
    members = _build_members(400)
    numbers = itertools.count(1)

    def run() -> None:
        members.merge(_build_update(7, incarnation=next(numbers)))
        members.list_changes_since(members.version - 1, 500)

    wire_bytes = len(
        messages.encode_message(
            messages.Heartbeat("", 0, [_build_update(7, incarnation=3)])
        )
    )
    return measures.Slope(
        "daemon in the table", measures.time_call(run), memory_bytes, wire_bytes
    )


def measure_change() -> measures.Slope:
    """Measure one change record: decoded, verified and applied."""
    signer, verifier = _build_signer()
    state = fold.create_state(["serrana"])
    encoded_changes = [
        records.encode_change(_build_change(number), signer)
        for number in range(1, 501)
    ]
    offsets = itertools.count(1)

    def run() -> None:
        offset = next(offsets)
        fold.apply_record(
            state, offset, encoded_changes[offset % 500], verifier
        )

    return measures.Slope(
        "configuration change",
        measures.time_call(run),
        0.0,
        len(encoded_changes[0]),
    )


def measure_object() -> measures.Slope:
    """Measure one object in force, with its verdict and its decoded form."""

    def build(count: int) -> store.ConfigStore:
        signer, verifier = _build_signer()
        config = store.ConfigStore(["serrana"], verifier)
        for number in range(1, count + 1):
            change = _build_change(number)
            config.apply(number, records.encode_change(change, signer))
            config.find(change.key)
        return config

    memory_bytes = (
        measures.measure_held_bytes(lambda: build(1200))
        - measures.measure_held_bytes(lambda: build(200))
    ) / 1000
    return measures.Slope("configured object", 0.0, memory_bytes)


def measure_verdict() -> measures.Slope:
    """Measure one stored verdict of a change that is no longer in force."""

    def build(count: int) -> fold.PartnerState:
        state = fold.PartnerState("serrana")
        for number in range(count):
            judged = fold.Judgement(fold.Verdict.ACCEPTED, number)
            state.judged[f"change-{number:016d}"] = judged
        return state

    memory_bytes = (
        measures.measure_held_bytes(lambda: build(2048))
        - measures.measure_held_bytes(lambda: build(48))
    ) / 2000
    return measures.Slope("remembered verdict", 0.0, memory_bytes)


def measure_snapshot() -> measures.Slope:
    """Measure one object in a snapshot: encoded, signed and restored."""
    signer, verifier = _build_signer()

    def measure(count: int) -> tuple[float, float]:
        state = fold.create_state(["serrana"])
        for number in range(1, count + 1):
            record = records.encode_change(_build_change(number), signer)
            fold.apply_record(state, number, record, verifier)
        partner = state.partners["serrana"]

        def run() -> None:
            buffer = snapshot.SnapshotBuffer(verifier)
            for chunk in snapshot.encode_snapshot(partner, signer):
                buffer.add(chunk)

        size = sum(map(len, snapshot.encode_snapshot(partner, signer)))
        return measures.time_call(run, 20), size

    small, large = measure(200), measure(1200)
    return measures.Slope(
        "object in a snapshot",
        (large[0] - small[0]) / 1000,
        0.0,
        (large[1] - small[1]) / 1000,
    )


def measure_runner() -> measures.Slope:
    """Measure one runner of the instance list: decoded, compared and stored."""
    small = _time_list(100)
    large = _time_list(_RUNNERS)
    count = _RUNNERS - 100
    memory_bytes = (
        measures.measure_held_bytes(lambda: _decode_list(_RUNNERS))
        - measures.measure_held_bytes(lambda: _decode_list(100))
    ) / count
    wire_bytes = (len(_encode_list(_RUNNERS)) - len(_encode_list(100))) / count
    return measures.Slope(
        "runner in one reading of the list",
        (large - small) / count,
        memory_bytes,
        wire_bytes,
    )


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
    encoded = _encode_list(count)
    config = store.ConfigStore(["serrana"], records.create_verifier({}))
    runners = directory.RunnerDirectory(config, _build_members(1))

    def run() -> None:
        listed = msgspec.json.decode(encoded, type=list[instances.Instance])
        runners.replace_all(listed)

    return measures.time_call(run, 50)
