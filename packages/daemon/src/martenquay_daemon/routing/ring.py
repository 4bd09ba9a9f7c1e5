"""Consistent hashing of prompt prefixes to the runners of a pool."""

from __future__ import annotations

import bisect
import hashlib

__all__ = ["RunnerRing"]

_POINTS_PER_RUNNER = 32


class RunnerRing:
    """A consistent-hash ring over runner names.

    All daemons compute the same homes from the same list; otherwise each would
    fill the cache of another runner with the same prefix.
    """

    def __init__(self, runners: list[str]) -> None:
        points = sorted(
            (_hash_point(f"{name}#{index}"), name)
            for name in runners
            for index in range(_POINTS_PER_RUNNER)
        )
        self._keys = [point for point, _ in points]
        self._names = [name for _, name in points]
        self._count = len(runners)

    def find_homes(self, key: int, count: int) -> list[str]:
        """Return the first `count` different runners clockwise from a key."""
        wanted = min(count, self._count)
        homes: list[str] = []
        position = bisect.bisect(self._keys, key)
        while len(homes) < wanted:
            name = self._names[position % len(self._names)]
            if name not in homes:
                homes.append(name)
            position += 1
        return homes


def _hash_point(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
