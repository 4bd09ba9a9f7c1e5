"""Identify a request's content by a digest that all daemons agree on."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import calls, catalog

__all__ = ["digest_content"]

# A collision would quarantine a harmless content.
_DIGEST_BYTES = 16


def digest_content(call: calls.Call, team: catalog.Team | None) -> str:
    """Return the hex digest of a request's content.

    It covers the team, method, host, path with query, and body, but no other
    headers: ids, deadlines and keys differ between retries.

    Args:
        call: The request with its whole body.
        team: The team that the request's key belongs to; None on routes
            without keys.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    names = (team.name if team else "", call.method, call.host, call.target)
    for part in (*map(str.encode, names), call.body):
        # Without its length, the end of one part could pass for the beginning
        # of the next.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
