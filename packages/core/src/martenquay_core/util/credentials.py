"""Hash credentials for storage and compare them with stored digests."""

from __future__ import annotations

import hashlib
import hmac

__all__ = ["DIGEST_PATTERN", "digest_credential", "match_credential"]

DIGEST_PATTERN = r"^sha256:[0-9a-f]{64}$"


def digest_credential(credential: str) -> str:
    """Return the digest that is stored for a credential."""
    return "sha256:" + hashlib.sha256(credential.encode()).hexdigest()


def match_credential(credential: str, digest: str) -> bool:
    """Return whether a credential has this digest, in constant time."""
    return hmac.compare_digest(digest_credential(credential), digest)
