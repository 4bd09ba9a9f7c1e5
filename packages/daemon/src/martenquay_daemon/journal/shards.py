"""Assign keys to stream shards and shards to the daemons that follow them."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from martenquay_core.util import rendezvous

if TYPE_CHECKING:
    from martenquay_daemon.membership import table

__all__ = ["ShardMap"]


class ShardMap:
    """Maps keys to shards, each a log stream, and shards to daemons.

    All daemons of a partner rank the members by rendezvous hashing and so agree
    without coordination. While their views of the membership differ, more
    daemons than needed follow a shard, which is harmless.
    """

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
        """Return the shard number of a key."""
        digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big") % self._shard_count

    def name_stream(self, shard: int) -> str:
        """Return the name of a shard's stream."""
        return f"{self._stream_prefix}-{self._members.me.partner}-{shard}"

    def list_followers(self, shard: int) -> list[str]:
        """Return the daemons that should follow a shard, by preference.

        They are spread over the availability zones.
        """
        serving = self._members.list_serving(self._members.me.partner)
        zones = {member.member: member.zone for member in serving}
        return rendezvous.spread_over_zones(
            self.name_stream(shard), zones, self._follower_count
        )

    def list_own(self) -> list[int]:
        """Return the shards that this daemon should follow."""
        me = self._members.me.member
        return [
            shard
            for shard in range(self._shard_count)
            if me in self.list_followers(shard)
        ]
