"""Write and read change records, signed by the partner who owns the object."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec
from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from martenquay_core.config import objects

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
    """One change that an operator asked for.

    Attributes:
        partner: Whose operator asks.
        operator: Who asks.
        change_id: Names the change; the same id sent again changes nothing.
        key_partner: The owner of the object.
        kind: The object's kind.
        name: The object's name.
        base_version: The version that the operator saw; 0 for none.
        fields: The whole new object, or None to drop it.
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
        """Return the object's key."""
        return objects.ObjectKey(self.key_partner, self.kind, self.name)


class SignedPayload(msgspec.Struct, frozen=True, array_like=True):
    """Bytes and who vouches for them.

    Attributes:
        partner: Whose key signed.
        signature: Ed25519 over the body.
        body: The encoded content.
    """

    partner: str
    signature: bytes
    body: bytes


@dataclasses.dataclass(frozen=True)
class Signer:
    """Sign for one partner.

    Attributes:
        partner: Whose key it is.
        key: The private key.
    """

    partner: str
    key: ed25519.Ed25519PrivateKey

    def sign(self, body: bytes) -> bytes:
        """Return the body, encoded with its signature."""
        payload = SignedPayload(self.partner, self.key.sign(body), body)
        return msgspec.msgpack.encode(payload)


@dataclasses.dataclass(frozen=True)
class Verifier:
    """Check who signed.

    Attributes:
        keys: The partners' public keys.
    """

    keys: dict[str, ed25519.Ed25519PublicKey]

    def open(self, raw: bytes) -> SignedPayload | None:
        """Return the payload if its partner really signed it."""
        try:
            payload = msgspec.msgpack.decode(raw, type=SignedPayload)
            self.keys[payload.partner].verify(payload.signature, payload.body)
        except (
            msgspec.MsgspecError,
            KeyError,
            exceptions.InvalidSignature,
        ):
            return None
        return payload


def create_signer(partner: str, private_key_hex: str) -> Signer:
    """Return a signer for a private key of 32 bytes in hexadecimal."""
    raw = bytes.fromhex(private_key_hex)
    return Signer(partner, ed25519.Ed25519PrivateKey.from_private_bytes(raw))


def create_verifier(public_keys_hex: dict[str, str]) -> Verifier:
    """Return a verifier for the partners' public keys in hexadecimal."""
    keys = {
        partner: ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(key))
        for partner, key in public_keys_hex.items()
    }
    return Verifier(keys)


def generate_key() -> tuple[str, str]:
    """Return a new private key and its public key, both in hexadecimal."""
    key = ed25519.Ed25519PrivateKey.generate()
    public = key.public_key().public_bytes_raw()
    return key.private_bytes_raw().hex(), public.hex()


def encode_change(change: Change, signer: Signer) -> bytes:
    """Return the bytes of a change as they go to the log."""
    return signer.sign(msgspec.msgpack.encode(change))


def decode_change(raw: bytes, verifier: Verifier) -> Change | None:
    """Return the change, or None if it is malformed or its signature false.

    A change whose partner is not the signer counts as false too.
    """
    payload = verifier.open(raw)
    if payload is None:
        return None
    try:
        change = msgspec.msgpack.decode(payload.body, type=Change)
    except msgspec.MsgspecError:
        return None
    return change if change.partner == payload.partner else None
