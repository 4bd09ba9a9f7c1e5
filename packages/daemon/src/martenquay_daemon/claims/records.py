"""Define the records of a claim stream."""

from __future__ import annotations

import msgspec

__all__ = ["Claim", "ClaimRecord", "Outcome", "Release", "decode", "encode"]


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A daemon asks to make the call.

    Attributes:
        key: The caller's key with its team and route.
        attempt: Names this claim.
        holder: The daemon that would make the call.
        request_digest: Tells a repeat from another request of the same key.
    """

    key: str
    attempt: str
    holder: str
    request_digest: str


class Release(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The holder will never make the call.

    Attributes:
        key: The key.
        attempt: The claim given up. It may come later in the log than this.
    """

    key: str
    attempt: str


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """What the call came to.

    Attributes:
        key: The key.
        attempt: The claim under which it was made.
        status: The answer's HTTP status; 0 if the answer was lost.
        content_type: The answer's content type.
        body: The answer's body.
        request_digest: The claim's; an old outcome stands alone.
    """

    key: str
    attempt: str
    status: int
    content_type: str
    body: bytes
    request_digest: str


ClaimRecord = Claim | Release | Outcome

_DECODER = msgspec.msgpack.Decoder(ClaimRecord)


def encode(record: ClaimRecord) -> bytes:
    """Return a record's bytes."""
    return msgspec.msgpack.encode(record)


def decode(raw: bytes) -> ClaimRecord | None:
    """Return the record, or None if the bytes hold none."""
    try:
        return _DECODER.decode(raw)
    except msgspec.MsgspecError:
        return None
