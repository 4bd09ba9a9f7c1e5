"""Spread keys over streams and streams over the daemons that follow them.

All daemons of a partner rank the same members by rendezvous hashing, so they
agree without asking. Where their views of the membership differ, two sets of
daemons follow the same stream, which costs a little and breaks nothing.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous

if TYPE_CHECKING:
    from martenquay_daemon.membership import table

__all__ = ["ShardMap"]


class ShardMap:
    """Which stream a key belongs to and who follows it."""

    def __init__(
        self,
        members: table.MemberTable,
        stream_prefix: str,
        shard_count: int,
        follower_count: int,
    ) -> None:
        self._members = members
        self._stream_prefix = stream_prefix
        self._shard_count = shard_count
        self._follower_count = follower_count

    def find_shard(self, key: str) -> int:
        """Return the number of the key's stream."""
        digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big") % self._shard_count

    def name_stream(self, shard: int) -> str:
        """Return a stream's name."""
        return f"{self._stream_prefix}-{self._members.me.partner}-{shard}"

    def list_followers(self, shard: int) -> list[str]:
        """Return the daemons that should follow a stream, best first.

        They are spread over the availability zones.
        """
        serving = self._members.list_serving(self._members.me.partner)
        zones = {member.member: member.zone for member in serving}
        return rendezvous.spread_over_zones(
            self.name_stream(shard), zones, self._follower_count
        )

    def list_own(self) -> list[int]:
        """Return the streams that this daemon should follow."""
        me = self._members.me.member
        return [
            shard
            for shard in range(self._shard_count)
            if me in self.list_followers(shard)
        ]
