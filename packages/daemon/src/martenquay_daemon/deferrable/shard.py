"""Follow one work stream and keep its contents beside it."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_daemon.deferrable import records, table
from martenquay_daemon.journal import appender, archive, follower

if TYPE_CHECKING:
    from martenquay_core.platform import log, outcome
    from martenquay_daemon.journal import health

__all__ = ["WorkShard", "create_shard"]

_REVIEW_S = 1.0
# Contents written or read here are kept for a while, also for the time in
# which the log cannot be read.
_CACHE_BYTES = 4_000_000


class WorkShard:
    """One work stream: its fold, its appends, its contents.

    Attributes:
        works: The folded state.
        follower: Reads the stream.
    """

    def __init__(
        self,
        client: log.LogClient,
        stream_follower: follower.StreamFollower,
        index: appender.StreamAppender,
        contents: appender.StreamAppender,
        works: table.WorkTable,
    ) -> None:
        self.works = works
        self.follower = stream_follower
        self._client = client
        self._index = index
        self._contents = contents
        self._cache: OrderedDict[int, bytes] = OrderedDict()
        self._cached_bytes = 0

    async def run_appenders(self) -> None:
        """Append until cancelled; a daemon need not follow for that."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._index.run)
            nursery.start_soon(self._contents.run)

    async def run_follower(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            while True:
                await trio.sleep(_REVIEW_S)
                self.works.forget_before(self.follower.start)

    async def append(
        self, record: records.WorkRecord
    ) -> Result[int, outcome.PlatformFailure]:
        """Append a record to the work stream."""
        return await self._index.append(records.encode(record))

    async def write_content(
        self, content: bytes
    ) -> Result[archive.Place, outcome.PlatformFailure]:
        """Append a content and return where it stands."""
        pieces = records.cut_content(content)
        appended = await self._contents.append_run(pieces)
        if appended.is_ok():
            self._remember(appended.ok, content)
        return appended.map(lambda offset: archive.Place(offset, len(pieces)))

    async def read_content(self, place: archive.Place) -> bytes | None:
        """Return a content, or None if the log does not give it now."""
        kept = self._cache.get(place.offset)
        if kept is not None:
            return kept
        page = await self._client.read(
            self._contents.stream, place.offset, limit=place.count
        )
        match page:
            case Result(tag="ok", ok=found) if found.start <= place.offset:
                pieces = [r.payload for r in found.records[: place.count]]
                if len(pieces) < place.count:
                    return None
                content = b"".join(pieces)
                self._remember(place.offset, content)
                return content
            case _:
                return None

    async def catch_up(self, timeout_s: float) -> None:
        """Read up to the stream's present end, if the log answers."""
        page = await self._client.read(self.follower.stream, 1, limit=1)
        match page:
            case Result(tag="ok", ok=found):
                with trio.move_on_after(timeout_s):
                    await self.follower.applied.wait_for(found.end - 1)
            case _:
                return

    def _remember(self, offset: int, content: bytes) -> None:
        if offset in self._cache:
            return
        self._cache[offset] = content
        self._cached_bytes += len(content)
        while self._cached_bytes > _CACHE_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= len(dropped)


def create_shard(
    client: log.LogClient,
    stream: str,
    log_health: health.LogHealth,
    spacing_s: float,
) -> WorkShard:
    """Return a shard whose parts run once they are started."""
    works = table.WorkTable()
    return WorkShard(
        client,
        follower.StreamFollower(client, stream, log_health, works.apply),
        appender.StreamAppender(client, stream, log_health, spacing_s),
        appender.StreamAppender(
            client, f"{stream}-content", log_health, spacing_s
        ),
        works,
    )
