"""Records of a work stream, which refer to bodies in a content stream."""

from __future__ import annotations

import msgspec

from martenquay_core.util import decoding

__all__ = [
    "Accepted",
    "Completed",
    "WorkRecord",
    "split_content",
    "decode",
    "encode",
]

CHUNK_BYTES = 48_000


class Accepted(
    msgspec.Struct, frozen=True, array_like=True, tag="a", kw_only=True
):
    """A deferrable request was accepted.

    Attributes:
        ticket: ID of the request.
        team: Team that sent it.
        route: Name of the requested route.
        written_at: When the record was written, in seconds since the epoch.
        config_offset: Offset of the configuration in force when the request
            was accepted.
        offset: Offset of the body's first record in the content stream.
        count: Number of records of the body.
        is_carried: Whether this renews an earlier record, before the log's
            retention removes that one.
    """

    ticket: str
    team: str
    route: str
    written_at: float
    config_offset: int
    offset: int
    count: int
    is_carried: bool = False


class Completed(
    msgspec.Struct, frozen=True, array_like=True, tag="d", kw_only=True
):
    """A deferrable request was answered.

    Attributes:
        ticket: ID of the request.
        offset: Offset of the answer's first record in the content stream.
        count: Number of records of the answer.
    """

    ticket: str
    offset: int
    count: int


WorkRecord = Accepted | Completed

_DECODER = msgspec.msgpack.Decoder(WorkRecord)


def encode(record: WorkRecord) -> bytes:
    """Encode a record."""
    return msgspec.msgpack.encode(record)


def decode(raw: bytes) -> WorkRecord | None:
    """Decode a record; return None if the bytes are not a work record."""
    try:
        return decoding.decode_with(_DECODER.decode, raw)
    except msgspec.MsgspecError:
        return None


def split_content(content: bytes) -> list[bytes]:
    """Split a body or an answer into one or more chunks."""
    starts = range(0, max(len(content), 1), CHUNK_BYTES)
    return [content[start : start + CHUNK_BYTES] for start in starts]
