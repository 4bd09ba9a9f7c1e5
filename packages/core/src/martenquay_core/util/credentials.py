"""Make and compare digests of credentials, so that none is kept in clear."""

from __future__ import annotations

import hashlib
import hmac

__all__ = ["DIGEST_PATTERN", "digest_credential", "match_credential"]

DIGEST_PATTERN = r"^sha256:[0-9a-f]{64}$"


def digest_credential(credential: str) -> str:
    """Return the digest under which a credential is kept."""
    return "sha256:" + hashlib.sha256(credential.encode()).hexdigest()


def match_credential(credential: str, digest: str) -> bool:
    """Tell in constant time whether the credential has this digest."""
    return hmac.compare_digest(digest_credential(credential), digest)
