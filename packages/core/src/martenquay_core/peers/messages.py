"""Messages between daemons, encoded as tagged msgpack arrays."""

from __future__ import annotations

import enum

import msgspec

from martenquay_core.util import decoding

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
    """State of a daemon in the membership.

    Of two reports with equal incarnations the higher state wins.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class MemberUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag="m", kw_only=True
):
    """Gossiped membership entry of one daemon.

    Attributes:
        member: Id of the daemon; a restarted process has a new one.
        partner: Partner that runs the daemon.
        zone: Availability zone.
        address: Address that its socket for other daemons listens on.
        incarnation: Number that the daemon raises to refute a false report.
        state: State of the daemon.
    """

    member: str
    partner: str
    zone: str
    address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE


class RunnerLeaving(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Gossip that a runner is being reclaimed or stopped; never withdrawn.

    Attributes:
        runner: Name of the runner.
    """

    runner: str


Update = MemberUpdate | RunnerLeaving


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb"):
    """Heartbeat with membership updates for the receiver.

    Attributes:
        member: Id of the sender.
        applied: Offset of the configuration in force at the sender.
        updates: Updates that the receiver may not have yet.
        is_new: The sender has just joined the receiver, so the reply must
            hold all that the receiver knows.
    """

    member: str
    applied: int
    updates: list[Update]
    is_new: bool = False


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="hbr"):
    """Reply to a heartbeat.

    Attributes:
        member: Id of the daemon that replies.
        applied: Offset of the configuration in force there.
        updates: Reports that the sender must refute about itself, or all
            known updates if the sender is new.
    """

    member: str
    applied: int
    updates: list[Update]


class FetchConfig(msgspec.Struct, frozen=True, array_like=True, tag="fc"):
    """Request configuration from a peer while the log cannot be read.

    Attributes:
        from_offset: First offset that the requesting daemon lacks.
    """

    from_offset: int


class ConfigReply(msgspec.Struct, frozen=True, array_like=True, tag="fcr"):
    """Reply to `FetchConfig`.

    Attributes:
        chunks: Signed snapshot chunks; empty if the records suffice.
        records: Offsets and raw records, in order and without gaps.
        applied: Offset of the configuration in force at the peer.
    """

    chunks: list[bytes]
    records: list[tuple[int, bytes]]
    applied: int


class WaitApplied(msgspec.Struct, frozen=True, array_like=True, tag="wa"):
    """Wait until a configuration offset is in force at the peer.

    Attributes:
        offset: Offset to wait for.
        wait_s: Maximum wait in seconds.
    """

    offset: int
    wait_s: float


class AppliedReply(msgspec.Struct, frozen=True, array_like=True, tag="war"):
    """Reply to `WaitApplied`.

    Attributes:
        applied: Offset in force when the wait ended.
    """

    applied: int


class SettleClaim(
    msgspec.Struct, frozen=True, array_like=True, tag="sc", kw_only=True
):
    """Request that a follower of a claim stream appends a claim to it.

    Attributes:
        shard: Number of the claim stream.
        key: Idempotency key, with team and route.
        attempt: Unique id of this claim.
        holder: Daemon that will send the request to a runner.
        request_digest: Digest that distinguishes a repeated request from
            another one with the same key.
    """

    shard: int
    key: str
    attempt: str
    holder: str
    request_digest: str


class Settlement(enum.IntEnum):
    """Outcome of a claim, decided by the order of the log."""

    WON = 0
    HELD = 1
    DONE = 2
    MISMATCH = 3
    LOG_DOWN = 4
    FREE = 5


class SettleReply(
    msgspec.Struct, frozen=True, array_like=True, tag="scr", kw_only=True
):
    """Reply to `SettleClaim` and `WaitOutcome`.

    Attributes:
        settlement: Outcome of the claim.
        holder: Daemon that holds the key, if another one does.
        status: HTTP status of the stored answer; 0 if the outcome is unknown.
        content_type: Content type of the stored answer.
        body: Body of the stored answer.
    """

    settlement: Settlement
    holder: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class WaitOutcome(
    msgspec.Struct, frozen=True, array_like=True, tag="wo", kw_only=True
):
    """Wait for the outcome of another daemon's claim on a key.

    Attributes:
        shard: Number of the claim stream.
        key: Idempotency key, with team and route.
        attempt: Id of the requesting daemon's own claim.
        request_digest: Digest that distinguishes a repeated request from
            another one with the same key.
        wait_s: Maximum wait in seconds.
    """

    shard: int
    key: str
    attempt: str
    request_digest: str
    wait_s: float


class ReportOutcome(msgspec.Struct, frozen=True, array_like=True, tag="ro"):
    """Request that a follower appends a claim record to its stream.

    Attributes:
        shard: Number of the claim stream.
        record: Encoded claim record.
    """

    shard: int
    record: bytes


class FetchAnswer(msgspec.Struct, frozen=True, array_like=True, tag="fa"):
    """Request the result of a deferrable request from a follower.

    Attributes:
        ticket: Ticket of the deferrable request.
    """

    ticket: str


class AnswerReply(msgspec.Struct, frozen=True, array_like=True, tag="far"):
    """Reply to `FetchAnswer`.

    Attributes:
        known: The stream holds the ticket.
        answer: Encoded answer; None until there is one.
    """

    known: bool
    answer: bytes | None


class FetchRows(msgspec.Struct, frozen=True, array_like=True, tag="fr"):
    """Request a daemon's own rows for an operator's query.

    Attributes:
        noun: Kind of rows to list, as in the operators' language.
        argument: Request id, or empty.
    """

    noun: str
    argument: str = ""


class RowsReply(msgspec.Struct, frozen=True, array_like=True, tag="frr"):
    """Reply to `FetchRows`.

    Attributes:
        rows: JSON array of objects.
    """

    rows: bytes


class Acknowledged(msgspec.Struct, frozen=True, array_like=True, tag="ok"):
    """Reply that the request was carried out."""


class Unavailable(msgspec.Struct, frozen=True, array_like=True, tag="na"):
    """Reply that the peer cannot carry out the request.

    Attributes:
        reason: Reason, for logs and error messages.
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
    """Encode a message as msgpack."""
    return _ENCODER.encode(message)


def decode_message(raw: bytes) -> Message:
    """Decode a message.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid message.
    """
    return decoding.decode_with(_DECODER.decode, raw)
