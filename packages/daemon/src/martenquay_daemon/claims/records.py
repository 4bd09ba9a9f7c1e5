"""Records of a claim stream and their encoding."""

from __future__ import annotations

import msgspec

from martenquay_core.util import decoding

__all__ = ["Claim", "ClaimRecord", "Outcome", "Release", "decode", "encode"]


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A daemon's claim on an idempotency key; the first in the log wins.

    Attributes:
        key: The caller's idempotency key, qualified by team and route.
        attempt: Random ID of this claim.
        holder: Daemon that makes the call if the claim wins.
        request_digest: Digest of the request; detects a reused key.
    """

    key: str
    attempt: str
    holder: str
    request_digest: str


class Release(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The daemon that made a claim will never make the call.

    Attributes:
        key: The claimed key.
        attempt: ID of the claim, which may follow the release in the log.
    """

    key: str
    attempt: str


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """The call was made, with this answer.

    Attributes:
        key: The claimed key.
        attempt: ID of the claim that won.
        status: HTTP status of the answer; 0 if it was lost or too large.
        content_type: Content type of the answer.
        body: Body of the answer.
        request_digest: Copied from the claim, because an archived outcome is
            read without it.
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
    """Encode a record."""
    return msgspec.msgpack.encode(record)


def decode(raw: bytes) -> ClaimRecord | None:
    """Decode a record; return None if the bytes are not a claim record."""
    try:
        return decoding.decode_with(_DECODER.decode, raw)
    except msgspec.MsgspecError:
        return None
