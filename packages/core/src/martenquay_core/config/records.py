"""Encode and decode change records, signed by the operator's partner."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec
from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from martenquay_core.config import objects
from martenquay_core.util import decoding

__all__ = [
    "Change",
    "Signer",
    "SignedPayload",
    "Verifier",
    "create_signer",
    "create_verifier",
    "decode_change",
    "encode_change",
    "generate_key",
]


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One change that an operator requested.

    Attributes:
        partner: Partner of the operator.
        operator: Name of the operator.
        change_id: Idempotency key; a repeated id changes nothing.
        key_partner: Partner that owns the object.
        kind: Kind of the object.
        name: Name of the object.
        base_version: Version that the change is based on; 0 for a new object.
        fields: All fields of the new version; None to delete the object.
    """

    partner: str
    operator: str
    change_id: str
    key_partner: str
    kind: objects.Kind
    name: str
    base_version: int
    fields: dict[str, Any] | None

    @property
    def key(self) -> objects.ObjectKey:
        """Return the key of the object."""
        return objects.ObjectKey(self.key_partner, self.kind, self.name)


class SignedPayload(msgspec.Struct, frozen=True, array_like=True):
    """Signed bytes.

    Attributes:
        partner: Partner whose key made the signature.
        signature: Ed25519 signature of the body.
        body: Encoded content.
    """

    partner: str
    signature: bytes
    body: bytes


@dataclasses.dataclass(frozen=True)
class Signer:
    """Signs with one partner's key.

    Attributes:
        partner: Name of the partner.
        key: Private key of the partner.
    """

    partner: str
    key: ed25519.Ed25519PrivateKey

    def sign(self, body: bytes) -> bytes:
        """Return the body encoded as a `SignedPayload`."""
        payload = SignedPayload(self.partner, self.key.sign(body), body)
        return msgspec.msgpack.encode(payload)


@dataclasses.dataclass(frozen=True)
class Verifier:
    """Verifies partners' signatures.

    Attributes:
        keys: Public keys by partner.
    """

    keys: dict[str, ed25519.Ed25519PublicKey]

    def open(self, raw: bytes) -> SignedPayload | None:
        """Return the payload, or None if it is malformed or forged."""
        try:
            payload = decoding.decode_msgpack(raw, SignedPayload)
            self.keys[payload.partner].verify(payload.signature, payload.body)
        except (
            msgspec.MsgspecError,
            KeyError,
            exceptions.InvalidSignature,
        ):
            return None
        return payload


def create_signer(partner: str, private_key_hex: str) -> Signer:
    """Create a signer from a 32-byte private key in hexadecimal."""
    raw = bytes.fromhex(private_key_hex)
    return Signer(partner, ed25519.Ed25519PrivateKey.from_private_bytes(raw))


def create_verifier(public_keys_hex: dict[str, str]) -> Verifier:
    """Create a verifier from the partners' public keys in hexadecimal."""
    keys = {
        partner: ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(key))
        for partner, key in public_keys_hex.items()
    }
    return Verifier(keys)


def generate_key() -> tuple[str, str]:
    """Generate a key pair; return private and public key in hexadecimal."""
    key = ed25519.Ed25519PrivateKey.generate()
    public = key.public_key().public_bytes_raw()
    return key.private_bytes_raw().hex(), public.hex()


def encode_change(change: Change, signer: Signer) -> bytes:
    """Sign and encode a change for the log."""
    return signer.sign(msgspec.msgpack.encode(change))


def decode_change(raw: bytes, verifier: Verifier) -> Change | None:
    """Decode a change; None if it is malformed or its signature invalid.

    A change in another partner's name than the signer's is invalid too.
    """
    payload = verifier.open(raw)
    if payload is None:
        return None
    try:
        change = decoding.decode_msgpack(payload.body, Change)
    except msgspec.MsgspecError:
        return None
    return change if change.partner == payload.partner else None
