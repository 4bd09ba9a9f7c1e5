"""Define the records of a work stream; large contents come in pieces."""

from __future__ import annotations

import msgspec

__all__ = [
    "PIECE_BYTES",
    "AcceptedPiece",
    "CompletedPiece",
    "WorkRecord",
    "decode",
    "encode_accepted",
    "encode_completed",
]

PIECE_BYTES = 48_000


class AcceptedPiece(
    msgspec.Struct, frozen=True, array_like=True, tag="a", kw_only=True
):
    """A piece of an accepted request.

    Attributes:
        ticket: Names the request.
        team: Who pays.
        route: What was asked for.
        written_at: When this was written, in seconds since the epoch.
        config_offset: The configuration by which it was accepted.
        index: The piece's place, from 0.
        count: How many pieces there are.
        piece: The bytes.
    """

    ticket: str
    team: str
    route: str
    written_at: float
    config_offset: int
    index: int
    count: int
    piece: bytes


class CompletedPiece(
    msgspec.Struct, frozen=True, array_like=True, tag="d", kw_only=True
):
    """A piece of an answer.

    Attributes:
        ticket: Names the request.
        attempt: Whose answer it is, when several daemons worked on it.
        index: The piece's place, from 0.
        count: How many pieces there are.
        piece: The bytes.
    """

    ticket: str
    attempt: str
    index: int
    count: int
    piece: bytes


WorkRecord = AcceptedPiece | CompletedPiece

_DECODER = msgspec.msgpack.Decoder(WorkRecord)


def encode_accepted(
    ticket: str,
    team: str,
    route: str,
    body: bytes,
    *,
    written_at: float,
    config_offset: int,
) -> list[bytes]:
    """Return the records that accept a request."""
    pieces = _cut(body)
    return [
        msgspec.msgpack.encode(
            AcceptedPiece(
                ticket=ticket,
                team=team,
                route=route,
                written_at=written_at,
                config_offset=config_offset,
                index=index,
                count=len(pieces),
                piece=piece,
            )
        )
        for index, piece in enumerate(pieces)
    ]


def encode_completed(ticket: str, attempt: str, answer: bytes) -> list[bytes]:
    """Return the records that answer a request."""
    pieces = _cut(answer)
    return [
        msgspec.msgpack.encode(
            CompletedPiece(
                ticket=ticket,
                attempt=attempt,
                index=index,
                count=len(pieces),
                piece=piece,
            )
        )
        for index, piece in enumerate(pieces)
    ]


def decode(raw: bytes) -> WorkRecord | None:
    """Return the record, or None if the bytes hold none."""
    try:
        return _DECODER.decode(raw)
    except msgspec.MsgspecError:
        return None


def _cut(content: bytes) -> list[bytes]:
    starts = range(0, max(len(content), 1), PIECE_BYTES)
    return [content[start : start + PIECE_BYTES] for start in starts]
