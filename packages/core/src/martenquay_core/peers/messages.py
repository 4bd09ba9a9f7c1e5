"""Define the messages between daemons; msgpack with a tag each."""

from __future__ import annotations

import enum

import msgspec

__all__ = [
    "AnswerReply",
    "AppliedReply",
    "Acknowledged",
    "ConfigReply",
    "FetchAnswer",
    "FetchConfig",
    "FetchRows",
    "Heartbeat",
    "HeartbeatReply",
    "MemberState",
    "MemberUpdate",
    "Message",
    "ReportOutcome",
    "RowsReply",
    "RunnerLeaving",
    "SettleClaim",
    "SettleReply",
    "Settlement",
    "Unavailable",
    "Update",
    "WaitApplied",
    "WaitOutcome",
    "decode_message",
    "encode_message",
]


class MemberState(enum.IntEnum):
    """What is known of a daemon; of two reports the higher one holds."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class MemberUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag="m", kw_only=True
):
    """What is known of one daemon.

    Attributes:
        member: The daemon's id; a restarted process has a new one.
        partner: Its partner.
        zone: Its availability zone.
        address: Where its peer link listens.
        incarnation: Raised by the daemon itself to refute a false report.
        state: Its state.
    """

    member: str
    partner: str
    zone: str
    address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE


class RunnerLeaving(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """A runner that is being reclaimed or stopped; this is never taken back.

    Attributes:
        runner: The runner's name.
    """

    runner: str


Update = MemberUpdate | RunnerLeaving


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb"):
    """Say that the sender is alive and what changed since the last one.

    Attributes:
        member: The sender.
        applied: The offset of the configuration in force there.
        updates: What the receiver may not know yet.
        is_new: The sender does not know the receiver yet, so the reply
            should tell what the receiver knows.
    """

    member: str
    applied: int
    updates: list[Update]
    is_new: bool = False


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="hbr"):
    """Answer a heartbeat.

    Attributes:
        member: Who answers.
        applied: The offset of the configuration in force there.
        updates: What the asker has to refute about itself, or all that is
            known here if the asker is new.
    """

    member: str
    applied: int
    updates: list[Update]


class FetchConfig(msgspec.Struct, frozen=True, array_like=True, tag="fc"):
    """Ask a peer for configuration when the log cannot be read.

    Attributes:
        from_offset: The first offset that the asker lacks.
    """

    from_offset: int


class ConfigReply(msgspec.Struct, frozen=True, array_like=True, tag="fcr"):
    """What a peer has of the configuration.

    Attributes:
        chunks: Signed snapshots; empty if the records suffice.
        records: Offsets and raw records, in order, without a gap.
        applied: The offset in force at the peer.
    """

    chunks: list[bytes]
    records: list[tuple[int, bytes]]
    applied: int


class WaitApplied(msgspec.Struct, frozen=True, array_like=True, tag="wa"):
    """Ask to be told when an offset of the configuration is in force.

    Attributes:
        offset: The offset.
        wait_s: How long the asker waits.
    """

    offset: int
    wait_s: float


class AppliedReply(msgspec.Struct, frozen=True, array_like=True, tag="war"):
    """What is in force.

    Attributes:
        applied: The offset in force when the wait ended.
    """

    applied: int


class SettleClaim(
    msgspec.Struct, frozen=True, array_like=True, tag="sc", kw_only=True
):
    """Ask a follower of a claim stream to put a claim into it.

    Attributes:
        shard: The stream's number.
        key: The caller's key with its team and route.
        attempt: Names this claim.
        holder: Who will make the call.
        request_digest: Tells a repeat from another request of the same key.
    """

    shard: int
    key: str
    attempt: str
    holder: str
    request_digest: str


class Settlement(enum.IntEnum):
    """How a claim was settled by the log's order."""

    WON = 0
    HELD = 1
    DONE = 2
    MISMATCH = 3
    LOG_DOWN = 4
    FREE = 5


class SettleReply(
    msgspec.Struct, frozen=True, array_like=True, tag="scr", kw_only=True
):
    """How the claim was settled.

    Attributes:
        settlement: The decision.
        holder: Who has the claim, if it is held.
        status: The kept answer's HTTP status; 0 if the outcome is unknown.
        content_type: The kept answer's content type.
        body: The kept answer's body.
    """

    settlement: Settlement
    holder: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class WaitOutcome(
    msgspec.Struct, frozen=True, array_like=True, tag="wo", kw_only=True
):
    """Ask to be told when the held claim on a key has its outcome.

    Attributes:
        shard: The stream's number.
        key: The caller's key with its team and route.
        attempt: The asker's own claim.
        request_digest: Tells a repeat from another request of the same key.
        wait_s: How long the asker waits.
    """

    shard: int
    key: str
    attempt: str
    request_digest: str
    wait_s: float


class ReportOutcome(msgspec.Struct, frozen=True, array_like=True, tag="ro"):
    """Hand over a record on a claim to be put into its stream.

    Attributes:
        shard: The stream's number.
        record: The encoded claim record.
    """

    shard: int
    record: bytes


class FetchAnswer(msgspec.Struct, frozen=True, array_like=True, tag="fa"):
    """Ask a follower of a work stream for the answer to a ticket.

    Attributes:
        ticket: The ticket.
    """

    ticket: str


class AnswerReply(msgspec.Struct, frozen=True, array_like=True, tag="far"):
    """What is known of a ticket.

    Attributes:
        known: The ticket was accepted.
        answer: The answer's bytes, None while there is none.
    """

    known: bool
    answer: bytes | None


class FetchRows(msgspec.Struct, frozen=True, array_like=True, tag="fr"):
    """Ask for a daemon's own rows of a query.

    Attributes:
        noun: What to list.
        argument: A request id, or empty.
    """

    noun: str
    argument: str = ""


class RowsReply(msgspec.Struct, frozen=True, array_like=True, tag="frr"):
    """The rows asked for, as JSON.

    Attributes:
        rows: A JSON array of objects.
    """

    rows: bytes


class Acknowledged(msgspec.Struct, frozen=True, array_like=True, tag="ok"):
    """Done."""


class Unavailable(msgspec.Struct, frozen=True, array_like=True, tag="na"):
    """Cannot do that here.

    Attributes:
        reason: Why.
    """

    reason: str


Message = (
    Heartbeat
    | HeartbeatReply
    | FetchConfig
    | ConfigReply
    | WaitApplied
    | AppliedReply
    | SettleClaim
    | SettleReply
    | WaitOutcome
    | ReportOutcome
    | FetchAnswer
    | AnswerReply
    | FetchRows
    | RowsReply
    | Acknowledged
    | Unavailable
)

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return the message's bytes."""
    return _ENCODER.encode(message)


def decode_message(raw: bytes) -> Message:
    """Return the message.

    Raises:
        msgspec.MsgspecError: The bytes hold none.
    """
    return _DECODER.decode(raw)
