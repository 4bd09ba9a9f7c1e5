"""Append to a stream in groups, so that many records share one append."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio
from expression import Error, Ok, Result

if TYPE_CHECKING:
    from martenquay_core.platform import log, outcome
    from martenquay_daemon.journal import health

__all__ = ["StreamAppender"]

_MAX_GROUP_BYTES = 1_000_000


@dataclasses.dataclass
class _Pending:
    payloads: list[bytes]
    result: Result[int, outcome.PlatformFailure] | None = None
    done: trio.Event = dataclasses.field(default_factory=trio.Event)


class StreamAppender:
    """Group the records that wait while an append is under way.

    Attributes:
        stream: The stream's name.
        group_count: Appends made so far, for measurements.
    """

    def __init__(
        self,
        client: log.LogClient,
        stream: str,
        log_health: health.LogHealth,
        spacing_s: float,
    ) -> None:
        self.stream = stream
        self.group_count = 0
        self._client = client
        self._health = log_health
        self._spacing_s = spacing_s
        self._pending: list[_Pending] = []
        self._arrived = trio.Event()

    async def append(
        self, payload: bytes
    ) -> Result[int, outcome.PlatformFailure]:
        """Append one record and return its offset.

        Whoever is cancelled while it waits has to assume
        `Effect.UNKNOWN`: the record may go out all the same.
        """
        return await self.append_run([payload])

    async def append_run(
        self, payloads: list[bytes]
    ) -> Result[int, outcome.PlatformFailure]:
        """Append records side by side and return the first one's offset.

        Whoever is cancelled while it waits has to assume
        `Effect.UNKNOWN`: the record may go out all the same.
        """
        pending = _Pending(payloads)
        self._pending.append(pending)
        self._arrived.set()
        await pending.done.wait()
        assert pending.result is not None
        return pending.result

    async def run(self) -> None:
        """Append groups, at least `spacing_s` apart, until cancelled."""
        while True:
            await self._arrived.wait()
            group = self._take_group()
            result = await self._client.append(
                self.stream,
                [payload for pending in group for payload in pending.payloads],
            )
            self.group_count += 1
            self._settle(group, result)
            await trio.sleep(self._spacing_s)

    def _take_group(self) -> list[_Pending]:
        size = 0
        count = 0
        for pending in self._pending:
            size += sum(map(len, pending.payloads))
            if count and size > _MAX_GROUP_BYTES:
                break
            count += 1
        group = self._pending[:count]
        self._pending = self._pending[count:]
        if not self._pending:
            self._arrived = trio.Event()
        return group

    def _settle(
        self,
        group: list[_Pending],
        result: Result[int, outcome.PlatformFailure],
    ) -> None:
        if result.is_ok():
            self._health.note_answer()
        else:
            self._health.note_failure(result.error.message)
        place = 0
        for pending in group:
            pending.result = (
                Ok(result.ok + place) if result.is_ok() else Error(result.error)
            )
            place += len(pending.payloads)
            pending.done.set()
