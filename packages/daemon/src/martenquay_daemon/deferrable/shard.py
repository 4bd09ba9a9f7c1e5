"""Read and append one work stream and its content stream."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import trio
from expression import Result

from martenquay_daemon.deferrable import records, table
from martenquay_daemon.journal import appender, follower, offset_index

if TYPE_CHECKING:
    from martenquay_core.platform import log, outcome
    from martenquay_daemon.journal import health

__all__ = ["WorkShard", "create_shard"]

_CLEANUP_INTERVAL_S = 1.0
# Cached contents also stay readable while the log does not answer.
_MAX_CACHE_BYTES = 4_000_000


class WorkShard:
    """Follower, appenders, request table and content cache of one shard.

    Followers read only the small records of the work stream. Bodies and answers
    are in a content stream of their own and are read when needed.

    Attributes:
        requests: Requests and answers read from the work stream so far.
        follower: Reads the work stream.
    """

    def __init__(
        self,
        client: log.LogClient,
        stream_follower: follower.StreamFollower,
        record_appender: appender.StreamAppender,
        content_appender: appender.StreamAppender,
        requests: table.WorkTable,
    ) -> None:
        self.requests = requests
        self.follower = stream_follower
        self._client = client
        self._record_appender = record_appender
        self._content_appender = content_appender
        self._content_cache: OrderedDict[int, bytes] = OrderedDict()
        self._cached_bytes = 0

    async def run_appenders(self) -> None:
        """Append to both streams until cancelled, followed or not."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._record_appender.run)
            nursery.start_soon(self._content_appender.run)

    async def run_follower(self) -> None:
        """Follow the work stream until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            while True:
                await trio.sleep(_CLEANUP_INTERVAL_S)
                self.requests.forget_before(self.follower.oldest_offset)

    async def append(
        self, record: records.WorkRecord
    ) -> Result[int, outcome.PlatformFailure]:
        """Append a record to the work stream."""
        return await self._record_appender.append(records.encode(record))

    async def write_content(
        self, content: bytes
    ) -> Result[offset_index.RecordRange, outcome.PlatformFailure]:
        """Append a body or an answer and return its records' offsets."""
        chunks = records.split_content(content)
        appended = await self._content_appender.append_contiguous(chunks)
        if appended.is_ok():
            self._cache_content(appended.ok, content)
        return appended.map(
            lambda offset: offset_index.RecordRange(offset, len(chunks))
        )

    async def read_content(
        self, location: offset_index.RecordRange
    ) -> bytes | None:
        """Return a body or an answer, or None if the log cannot be read."""
        cached = self._content_cache.get(location.offset)
        if cached is not None:
            return cached
        page = await self._client.read(
            self._content_appender.stream, location.offset, limit=location.count
        )
        match page:
            case Result(tag="ok", ok=found) if found.start <= location.offset:
                chunks = [r.payload for r in found.records[: location.count]]
                if len(chunks) < location.count:
                    return None
                content = b"".join(chunks)
                self._cache_content(location.offset, content)
                return content
            case _:
                return None

    async def catch_up(self, timeout_s: float) -> None:
        """Wait until the work stream is read to its current end.

        Returns early if the log does not answer or after `timeout_s` seconds.
        """
        page = await self._client.read(self.follower.stream, 1, limit=1)
        match page:
            case Result(tag="ok", ok=found):
                with trio.move_on_after(timeout_s):
                    await self.follower.applied.wait_for(found.end - 1)
            case _:
                return

    def _cache_content(self, offset: int, content: bytes) -> None:
        if offset in self._content_cache:
            return
        self._content_cache[offset] = content
        self._cached_bytes += len(content)
        while self._cached_bytes > _MAX_CACHE_BYTES:
            _, dropped = self._content_cache.popitem(last=False)
            self._cached_bytes -= len(dropped)


def create_shard(
    client: log.LogClient,
    stream: str,
    log_health: health.LogHealth,
    min_interval_s: float,
) -> WorkShard:
    """Create a shard, to be started with its `run_` methods."""
    requests = table.WorkTable()
    return WorkShard(
        client,
        follower.StreamFollower(client, stream, log_health, requests.apply),
        appender.StreamAppender(client, stream, log_health, min_interval_s),
        appender.StreamAppender(
            client, f"{stream}-content", log_health, min_interval_s
        ),
        requests,
    )
