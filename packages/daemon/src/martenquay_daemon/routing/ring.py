"""Give each prompt prefix a home among a pool's runners.

All daemons compute the same homes from the same list without asking each
other, which is what keeps many daemons from each warming another runner.
"""

from __future__ import annotations

import bisect
import hashlib

__all__ = ["RunnerRing"]

_POINTS = 32


class RunnerRing:
    """A consistent-hash ring over runner names."""

    def __init__(self, runners: list[str]) -> None:
        points = sorted(
            (_hash_point(f"{name}#{index}"), name)
            for name in runners
            for index in range(_POINTS)
        )
        self._keys = [point for point, _ in points]
        self._names = [name for _, name in points]
        self._count = len(runners)

    def find_homes(self, key: int, count: int) -> list[str]:
        """Return the first `count` different runners from a key on."""
        wanted = min(count, self._count)
        homes: list[str] = []
        place = bisect.bisect(self._keys, key)
        while len(homes) < wanted:
            name = self._names[place % len(self._names)]
            if name not in homes:
                homes.append(name)
            place += 1
        return homes


def _hash_point(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
