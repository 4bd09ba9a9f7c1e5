"""Append records to a log stream in batches."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

if TYPE_CHECKING:
    from martenquay_core.platform import log, outcome
    from martenquay_daemon.journal import health

__all__ = ["StreamAppender"]

_MAX_BATCH_BYTES = 1_000_000


@dataclasses.dataclass
class _PendingAppend:
    payloads: list[bytes]
    result: Result[int, outcome.PlatformFailure] | None = None
    done: trio.Event = dataclasses.field(default_factory=trio.Event)


class StreamAppender:
    """Batches the records that arrive while an append is in progress.

    Attributes:
        stream: Name of the stream.
        batch_count: Number of batches sent to the log so far, including
            failed ones.
    """

    def __init__(
        self,
        client: log.LogClient,
        stream: str,
        log_health: health.LogHealth,
        min_interval_s: float,
    ) -> None:
        self.stream = stream
        self.batch_count = 0
        self._client = client
        self._health = log_health
        self._min_interval_s = min_interval_s
        self._pending: list[_PendingAppend] = []
        self._pending_added = trio.Event()

    async def append(
        self, payload: bytes
    ) -> Result[int, outcome.PlatformFailure]:
        """Append one record and return its offset.

        A caller that is cancelled must assume `Effect.UNKNOWN`: the record may
        still be appended.
        """
        return await self.append_contiguous([payload])

    async def append_contiguous(
        self, payloads: list[bytes]
    ) -> Result[int, outcome.PlatformFailure]:
        """Append records at contiguous offsets; return the first offset.

        A caller that is cancelled must assume `Effect.UNKNOWN`: the records
        may still be appended.
        """
        pending = _PendingAppend(payloads)
        self._pending.append(pending)
        self._pending_added.set()
        await pending.done.wait()
        assert pending.result is not None
        return pending.result

    async def run(self) -> None:
        """Append batches, at least `min_interval_s` apart, until cancelled."""
        while True:
            await self._pending_added.wait()
            batch = self._take_batch()
            result = await self._client.append(
                self.stream,
                [payload for pending in batch for payload in pending.payloads],
            )
            self.batch_count += 1
            self._complete_batch(batch, result)
            await trio.sleep(self._min_interval_s)

    def _take_batch(self) -> list[_PendingAppend]:
        size = 0
        count = 0
        for pending in self._pending:
            size += sum(map(len, pending.payloads))
            if count and size > _MAX_BATCH_BYTES:
                break
            count += 1
        batch = self._pending[:count]
        self._pending = self._pending[count:]
        if not self._pending:
            self._pending_added = trio.Event()
        return batch

    def _complete_batch(
        self,
        batch: list[_PendingAppend],
        result: Result[int, outcome.PlatformFailure],
    ) -> None:
        if result.is_ok():
            self._health.note_answer()
        else:
            self._health.note_failure(result.error.message)
        position = 0
        for pending in batch:
            pending.result = (
                Ok(result.ok + position) if result.is_ok() else Error(result.error)
            )
            position += len(pending.payloads)
            pending.done.set()
