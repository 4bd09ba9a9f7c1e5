"""Identify requests and parts of prompts by digests that daemons agree on."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenquay_core.serving import calls, catalog

__all__ = ["digest_content", "digest_parts", "is_part"]

# A collision would quarantine a harmless content.
_DIGEST_BYTES = 16
_PART_PREFIX = "part-"
# Callers choose the number of parts.
_MAX_PARTS = 16


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


def digest_parts(call: calls.Call, service: str) -> tuple[str, ...]:
    """Return the ids of the shared parts of a prompt at one service.

    The last part belongs to the request alone and is left out.

    Args:
        call: The request.
        service: The service that it is forwarded to.
    """
    found = []
    for part in call.prompt[:-1][:_MAX_PARTS]:
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        digest.update(f"{service}\n{part.id}".encode())
        found.append(_PART_PREFIX + digest.hexdigest())
    return tuple(dict.fromkeys(found))


def is_part(content: str) -> bool:
    """Return whether a content is a part of prompts, not a whole request."""
    return content.startswith(_PART_PREFIX)
