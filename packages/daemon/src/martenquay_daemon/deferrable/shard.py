"""Follow one work stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from martenquay_daemon.deferrable import table
from martenquay_daemon.journal import follower

if TYPE_CHECKING:
    from martenquay_core.platform import log
    from martenquay_daemon.journal import health

__all__ = ["WorkShard", "create_shard"]

_REVIEW_S = 1.0


class WorkShard:
    """One work stream and its fold.

    Attributes:
        works: The folded state.
        follower: Reads the stream.
    """

    def __init__(
        self, stream_follower: follower.StreamFollower, works: table.WorkTable
    ) -> None:
        self.works = works
        self.follower = stream_follower

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            while True:
                await trio.sleep(_REVIEW_S)
                self.works.forget_before(self.follower.start)


def create_shard(
    client: log.LogClient, stream: str, log_health: health.LogHealth
) -> WorkShard:
    """Return a shard that follows the stream once it runs."""
    works = table.WorkTable()
    stream_follower = follower.StreamFollower(
        client, stream, log_health, works.apply
    )
    return WorkShard(stream_follower, works)
