"""Define the records of a work stream; contents stand in one of their own.

Followers read only the small records here. Bodies and answers are read from
the content stream by whoever needs them.
"""

from __future__ import annotations

import msgspec

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
    """A request is accepted.

    Attributes:
        ticket: Names the request.
        team: Who pays.
        route: What was asked for.
        written_at: When this was written, in seconds since the epoch.
        config_offset: The configuration by which it was accepted.
        offset: Where its body stands in the content stream.
        count: How many records the body has.
        is_carried: Written again before the log forgets the first one.
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
    """A request is answered.

    Attributes:
        ticket: Names the request.
        offset: Where the answer stands in the content stream.
        count: How many records the answer has.
    """

    ticket: str
    offset: int
    count: int


WorkRecord = Accepted | Completed

_DECODER = msgspec.msgpack.Decoder(WorkRecord)


def encode(record: WorkRecord) -> bytes:
    """Return a record's bytes."""
    return msgspec.msgpack.encode(record)


def decode(raw: bytes) -> WorkRecord | None:
    """Return the record, or None if the bytes hold none."""
    try:
        return _DECODER.decode(raw)
    except msgspec.MsgspecError:
        return None


def split_content(content: bytes) -> list[bytes]:
    """Return a content's pieces, at least one."""
    starts = range(0, max(len(content), 1), CHUNK_BYTES)
    return [content[start : start + CHUNK_BYTES] for start in starts]
