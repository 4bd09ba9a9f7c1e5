"""Rendezvous hashing, so that all daemons choose the same candidates."""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["rank_candidates", "score_candidate", "spread_over_zones"]


@functools.lru_cache(maxsize=65_536)
def score_candidate(key: str, candidate: str) -> int:
    """Return a candidate's hash score for a key; the highest wins."""
    content = f"{key}\x00{candidate}".encode()
    digest = hashlib.blake2b(content, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, best first."""
    return sorted(
        candidates,
        key=lambda candidate: (score_candidate(key, candidate), candidate),
        reverse=True,
    )


def spread_over_zones(
    key: str, zones_by_candidate: dict[str, str], count: int
) -> list[str]:
    """Choose `count` candidates, best first, from as many zones as possible.

    The loss of one availability zone then leaves candidates in the others.
    """
    ranked = rank_candidates(key, zones_by_candidate)
    chosen: list[str] = []
    rest = ranked
    while rest and len(chosen) < count:
        seen: set[str] = set()
        skipped: list[str] = []
        for candidate in rest:
            zone = zones_by_candidate[candidate]
            if zone in seen:
                skipped.append(candidate)
            else:
                seen.add(zone)
                chosen.append(candidate)
        rest = skipped
    return chosen[:count]
